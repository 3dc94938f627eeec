"""Stand-in of the users' platform: store and workers over HTTP, for tests of real processes."""

from __future__ import annotations

import argparse
import base64
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import msgspec

from chivefall.batch import (
    Checkpoint,
    EndSequence,
    Incarnation,
    Resources,
    RunId,
    RunNumber,
    TaskKey,
    WorkerEntry,
    WorkerStatus,
)
from chivefall.config import Address
from chivefall.model import DomainId, Epoch, JobId, RackId, ServiceId, WorkerId
from chivefall.net import json_reply
from chivefall.runtime import wait_for
from chivefall.workers import Ran, RefusalReason, RunOrder, RunRefused, RunReport
from standins._service import Service
from standins.run_workers import RunWorker
from standins.store import KeyValueState

if TYPE_CHECKING:
    from chivefall.net import HttpReply, HttpRequest

__all__ = ["PlatformService"]

SERVICE = ServiceId("pool")
WORKER_ROOM = Resources(32_000, 131_072, 8)
_REASONS = {
    RefusalReason.FENCED: "fence",
    RefusalReason.OUTDATED: "old",
    RefusalReason.LATE: "late",
    RefusalReason.NO_ROOM: "room",
}


class PlatformService(Service):
    """The store, and all workers at one address, told apart by X-Target-Instance.

    ``PUT /control/key?key=K`` writes as operators do; ``GET /control/history``
    returns what workers started and ended.
    """

    def __init__(self, address: Address, workers: int, seconds: float) -> None:
        super().__init__(address)
        self._state = KeyValueState(self.clock)
        self._workers: dict[str, RunWorker] = {}
        for number in range(workers):
            self._add_worker(f"w{number}", str(address), seconds)

    def _add_worker(self, name: str, address: str, seconds: float) -> None:
        entry = WorkerEntry(
            WorkerId(name),
            SERVICE,
            address,
            DomainId("zarcero"),
            Incarnation(1),
            WorkerStatus.READY,
            WORKER_ROOM,
            RackId("r1-1"),
        )
        self._workers[name] = RunWorker(entry, self.clock, seconds)
        body = {
            "service": SERVICE,
            "addr": address,
            "zone": "zarcero",
            "state": "ready",
            "capacity": {"cpu": 32_000, "mem_mb": 131_072, "gpu": 8},
            "labels": ["a", "r1-1"],
            "born": 1,
            "seq": 1,
        }
        self._state.write_all([(f"servers/{name}", msgspec.json.encode(body), None)], [])

    async def handle(self, req: HttpRequest) -> HttpReply:
        """Return the reply to a request."""
        query = {key: values[0] for key, values in parse_qs(req.query).items()}
        body = msgspec.json.decode(req.body) if req.body and req.method == "POST" else {}
        match (req.method, *req.path.strip("/").split("/")):
            case ("PUT", "control", "key"):
                self._state.write_all([(query["key"], req.body, None)], [])
                return json_reply(200, {})
            case ("GET", "control", "history"):
                return self._history()
            case (_, "chivefall", call, *rest) if call.startswith("kv-"):
                return await self._store_call([call, *rest], query, body)
            case ("POST", "chivefall", call):
                return await self._order(call, body, req.headers.get("x-target-instance", ""))
        return json_reply(404, {"error": "no such call"})

    # The store.

    async def _store_call(
        self, call: list[str], query: dict[str, str], body: dict[str, Any]
    ) -> HttpReply:
        match call:
            case ["kv-key"]:
                return self._read(query["key"])
            case ["kv-range"]:
                return self._range(query)
            case ["kv-watch"]:
                return await self._watch(query)
            case ["kv-txn"]:
                return self._transact(body)
        return self._lease(call, body)

    def _item(self, key: str, item: Any) -> dict[str, Any]:
        value = base64.b64encode(item.value).decode()
        return {"key": key, "value": value, "revision": item.version, "lease_id": 0}

    def _read(self, key: str) -> HttpReply:
        item = self._state.get(key)
        if item is None:
            return json_reply(404, {"at_rev": self._state.version})
        return json_reply(200, {**self._item(key, item), "at_rev": self._state.version})

    def _range(self, query: dict[str, str]) -> HttpReply:
        items = [
            self._item(key, item)
            for key, item in self._state.list(query["prefix"])
            if key > query.get("after", "")
        ]
        page = items[:2]  # small pages, so that callers have to follow them
        body = {"items": page, "has_more": len(items) > len(page), "at_rev": self._state.version}
        return json_reply(200, body)

    async def _watch(self, query: dict[str, str]) -> HttpReply:
        prefix, after = query["prefix"], int(query["after"])
        if not any(self._state.changes(prefix, after)):
            wait = int(query.get("wait_ms", "0")) / 1000
            await wait_for(self.clock, self._state.watch(prefix), wait, None)
        written, deleted = self._state.changes(prefix, after)
        events = [self._item(key, item) for key, item in written]
        events += [{"key": key, "revision": 0, "deleted": True} for key in deleted]
        return json_reply(200, {"events": events, "at_rev": self._state.version})

    def _transact(self, body: dict[str, Any]) -> HttpReply:
        conditions = {row["key"]: row["revision"] for row in body["expected_rev"]}
        if not self._state.holds(conditions):
            found = ((key, self._state.get(key)) for key in conditions)
            items = [
                self._item(key, item) if item else {"key": key, "revision": 0}
                for key, item in found
            ]
            return json_reply(412, {"items": items})
        puts = [
            (row["key"], base64.b64decode(row["value"]), _lease_name(row.get("lease_id")))
            for row in body["puts"]
        ]
        version = self._state.write_all(puts, body["remove"])
        return json_reply(404, {}) if version is None else json_reply(200, {"revision": version})

    def _lease(self, call: list[str], body: dict[str, Any]) -> HttpReply:
        if call == ["kv-lease"]:
            name = self._state.grant(body["ttl_ms"] / 1000)
            lease = int(name.removeprefix("lease-"))
            return json_reply(200, {"lease_id": lease, "ttl_ms": body["ttl_ms"]})
        act = self._state.renew if call[0] == "kv-keep" else self._state.revoke
        ttl = act(f"lease-{call[1]}")
        return json_reply(404, {}) if ttl is None else json_reply(200, {"ttl_ms": ttl * 1000})

    # The workers.

    async def _order(self, call: str, body: dict[str, Any], name: str) -> HttpReply:
        worker = self._workers.get(name)
        if worker is None:
            return json_reply(421, {"clock_ms": self.clock.now() * 1000})
        epoch = Epoch(body.get("fence_token", 0))
        if call == "hold":
            return await self._hold(worker, epoch, body)
        run = _run(body)
        if call == "run-start":
            order = RunOrder(
                run,
                body["task_spec"],
                body["deadline_ms"] / 1000,
                Checkpoint(body.get("checkpoint", "")),
            )
            return self._reply(worker.start(order, epoch, Resources()))
        return self._reply(worker.stop(run, epoch))

    async def _hold(self, worker: RunWorker, epoch: Epoch, body: dict[str, Any]) -> HttpReply:
        deadline = body["deadline_ms"] / 1000 if "deadline_ms" in body else None
        seen = EndSequence(body.get("last_seen", 0))
        report = worker.report(epoch, deadline, seen)
        if isinstance(report, RunReport) and not report.ends and body.get("wait_ms"):
            await wait_for(self.clock, worker.next_end(), body["wait_ms"] / 1000, None)
            report = worker.report(epoch, None, seen)
        if not isinstance(report, RunReport):
            return self._reply(report)
        running = [
            [_name(item.run), item.run.number, item.checkpoint, round(item.share * 100), 0]
            for item in report.running
        ]
        finished = [
            [end.sequence, _name(end.run), end.run.number, end.kind.value, end.checkpoint]
            for end in report.ends
        ]
        clock = self.clock.now() * 1000
        return json_reply(
            200, {"clock_ms": clock, "running": running, "finished": finished, "born": 1}
        )

    def _reply(self, outcome: Ran | RunRefused) -> HttpReply:
        clock = self.clock.now() * 1000
        if isinstance(outcome, Ran):
            return json_reply(200, {"clock_ms": clock})
        return json_reply(409, {"clock_ms": clock, "reason": _REASONS[outcome.reason]})

    def _history(self) -> HttpReply:
        rows = [
            [round(time, 3), kind, _name(run), run.number, worker.entry.worker_id]
            for worker in self._workers.values()
            for time, kind, run in worker.history
        ]
        return json_reply(200, sorted(rows))


def _lease_name(lease: int | None) -> str | None:
    return f"lease-{lease}" if lease else None


def _run(body: dict[str, Any]) -> RunId:
    job, occurrence, step, index = body["task"].split(".")
    key = TaskKey(int(occurrence), int(step), int(index))
    return RunId(JobId(job), key, RunNumber(body["run_id"]))


def _name(run: RunId) -> str:
    return f"{run.job}.{run.task.occurrence}.{run.task.step}.{run.task.index}"


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=1.0, help="run time of every task")
    args = parser.parse_args()
    PlatformService(Address.parse(args.listen), args.workers, args.seconds).run()


if __name__ == "__main__":
    main()
