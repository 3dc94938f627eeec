"""Stand-in of the platform: store and workers over HTTP, for tests of real processes."""

from __future__ import annotations

import argparse
import base64
import random
from collections import defaultdict
from dataclasses import replace
from enum import Enum
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
from chivefall.runtime import Future, sleep, wait_for
from chivefall.workers import (
    IncarnationMismatch,
    OrderAccepted,
    OrderRefusalReason,
    OrderRefused,
    RunOrder,
    RunReport,
)
from standins._service import Service
from standins.run_workers import RunWorker, RunWorkers
from standins.store import KeyValueState
from standins.store_faults import CallKind, StoreFaults, decode_faults

if TYPE_CHECKING:
    from collections.abc import Sequence

    from chivefall.model import ConnectionId
    from chivefall.net import HttpReply, HttpRequest
    from chivefall.runtime import Clock

__all__ = ["PlatformService", "WorkerAction"]

SERVICE = ServiceId("pool")
WORKER_CAPACITY = Resources(32_000, 131_072, 8)
DEFAULT_WORKERS = 4
HELD_SHARE = 0.5  # of the starts
REFUSED_SHARE = 0.4  # of the other starts, and of the stops
MIN_HELD_SECONDS, MAX_HELD_SECONDS = 2.0, 5.0
UNLISTED_SECONDS = 0.3  # between removal and re-addition of a worker's entry
# From a report of an end to the restart: it has left the process, and no poll has followed yet.
REPORT_TO_RESTART_SECONDS = 0.005
_CALL_KINDS = {
    "kv-key": CallKind.READ,
    "kv-range": CallKind.READ,
    "kv-watch": CallKind.WATCH,
    "kv-txn": CallKind.WRITE,
}
_REFUSAL_REASONS = {
    OrderRefusalReason.FENCED: "fence",
    OrderRefusalReason.OUTDATED: "old",
    OrderRefusalReason.LATE: "late",
    OrderRefusalReason.NO_ROOM: "room",
}


def worker_body(entry: WorkerEntry) -> dict[str, Any]:
    """Return the platform's entry of a worker."""
    capacity = entry.capacity
    return {
        "service": entry.service,
        "addr": entry.address,
        "zone": entry.domain,
        "state": entry.status.value,
        "capacity": {
            "cpu": capacity.cpu,
            "mem_mb": capacity.memory,
            "gpu": capacity.accelerators,
        },
        "labels": ["a", entry.rack],
        "born": entry.incarnation,
        "seq": entry.incarnation,
    }


class WorkerAction(Enum):
    """Actions of a test on a worker.

    RESTART replaces it by a new incarnation, RESTART_AFTER_REPORT does so once, right after
    its next report that lists an end and before the acknowledgement, LIST_ANEW deletes its
    entry from the store and writes it again, FAIL makes its runs end as failed, HANG stops
    their progress, HOLD leaves starts unanswered and executes them seconds later, REFUSE
    refuses starts and stops, both a part of them, and RECOVER ends FAIL, HANG, HOLD and REFUSE.
    """

    RESTART = "restart"
    RESTART_AFTER_REPORT = "restart_after_report"
    LIST_ANEW = "list_anew"
    FAIL = "fail"
    HANG = "hang"
    HOLD = "hold"
    REFUSE = "refuse"
    RECOVER = "recover"


class PlatformService(Service):
    """The store, and workers that are addressed by the X-Target-Instance header.

    Control interface below ``/control``: ``PUT key?key=K`` and ``DELETE key?key=K``
    write to the store as operators do, ``PUT faults`` sets the faults of the store
    (see :class:`StoreFaults`), ``PUT worker?name=W&act=A`` applies a
    :class:`WorkerAction` (the entry of a worker that restarts is written ``delay`` seconds
    later, if that parameter is given), ``GET lives`` returns the run histories of all worker
    incarnations, and ``GET history`` the events of the current ones.

    Parameters
    ----------
    worker_addresses : sequence of str
        Address in the entry of each worker; may be that of a proxy of this service.
    domains : sequence of str
        Failure domains, to which the workers are assigned in rotation.
    run_seconds : float
        Run time of each task.
    """

    def __init__(
        self,
        address: Address,
        worker_addresses: Sequence[str],
        domains: Sequence[str],
        run_seconds: float,
        clock: Clock | None = None,
    ) -> None:
        super().__init__(address, clock)
        self._state = KeyValueState(self.clock)
        self._faults = StoreFaults()
        self._workers = RunWorkers(self.clock)
        self._holding: set[WorkerId] = set()
        self._refusing: set[WorkerId] = set()
        self._restarting: dict[WorkerId, float] = {}  # delay of the entry in seconds
        self._connections: dict[WorkerId, set[ConnectionId]] = defaultdict(set)
        self._random = random.Random(0)
        for number, worker_address in enumerate(worker_addresses):
            entry = WorkerEntry(
                WorkerId(f"w{number}"),
                SERVICE,
                worker_address,
                DomainId(domains[number % len(domains)]),
                Incarnation(1),
                WorkerStatus.READY,
                WORKER_CAPACITY,
                RackId(f"r{number % len(domains) + 1}-1"),
            )
            self._workers.add(entry).run_seconds = run_seconds
            self._write_entry(entry)

    def _write_entry(self, entry: WorkerEntry) -> None:
        key = f"servers/{entry.worker_id}"
        self._state.write_all([(key, msgspec.json.encode(worker_body(entry)), None)], [])

    async def handle(self, req: HttpRequest) -> HttpReply:
        """Return the reply to a request."""
        query = {key: values[0] for key, values in parse_qs(req.query).items()}
        body = msgspec.json.decode(req.body) if req.body and req.method == "POST" else {}
        match (req.method, *req.path.strip("/").split("/")):
            case (method, "control", resource):
                return self._control(method, resource, query, req.body)
            case (_, "chivefall", call, *rest) if call.startswith("kv-"):
                return await self._store_call([call, *rest], query, body)
            case ("POST", "chivefall", call):
                name = WorkerId(req.headers.get("x-target-instance", ""))
                self._connections[name].add(req.connection)
                return await self._handle_order(call, body, name)
        return json_reply(404, {"error": "no such call"})

    def _control(
        self, method: str, resource: str, query: dict[str, str], content: bytes
    ) -> HttpReply:
        match (method, resource):
            case ("PUT", "key"):
                self._state.write_all([(query["key"], content, None)], [])
            case ("DELETE", "key"):
                self._state.write_all([], [query["key"]])
            case ("PUT", "faults"):
                self._faults = decode_faults(content)
            case ("PUT", "worker"):
                delay = float(query.get("delay", "0"))
                self._change_worker(WorkerId(query["name"]), WorkerAction(query["act"]), delay)
            case ("GET", "lives"):
                return json_reply(200, self._workers.histories())
            case ("GET", "history"):
                return self._history()
            case _:
                return json_reply(404, {"error": "no such call"})
        return json_reply(200, {})

    def _write_current_entry(self, name: WorkerId, delay: float) -> None:
        """Write the entry that a worker has after ``delay`` seconds; it may restart meanwhile."""
        self.clock.call_later(delay, lambda: self._write_entry(self._workers.workers[name].entry))

    def _restart(self, worker: RunWorker, delay: float) -> None:
        """Replace a worker by its next incarnation, whose entry follows after ``delay`` seconds."""
        name = worker.entry.worker_id
        if self._workers.workers[name] is not worker:
            return
        incarnation = Incarnation(worker.entry.incarnation + 1)
        entry = replace(worker.entry, incarnation=incarnation)
        self._workers.add(entry).run_seconds = worker.run_seconds
        # A connection does not outlive the worker's process.
        self.server.close_connections(self._connections.pop(name, ()))
        self._write_current_entry(name, delay)

    def _change_worker(self, name: WorkerId, action: WorkerAction, delay: float) -> None:
        worker = self._workers.workers[name]
        if action is WorkerAction.RESTART:
            self._restart(worker, delay)
        elif action is WorkerAction.RESTART_AFTER_REPORT:
            self._restarting[name] = delay
        elif action is WorkerAction.LIST_ANEW:
            self._state.write_all([], [f"servers/{name}"])
            self._write_current_entry(name, UNLISTED_SECONDS)
        elif action is WorkerAction.HOLD:
            self._holding.add(name)
        elif action is WorkerAction.REFUSE:
            self._refusing.add(name)
        else:
            self._holding.discard(name)
            self._refusing.discard(name)
            worker.fails = action is WorkerAction.FAIL
            if worker.hangs:
                worker.resume()
            worker.hangs = action is WorkerAction.HANG

    async def _store_call(
        self, call: list[str], query: dict[str, str], body: dict[str, Any]
    ) -> HttpReply:
        """Return the reply to a store call, subject to the injected faults."""
        kind = _CALL_KINDS.get(call[0], CallKind.LEASE)
        if self._faults.delay:
            await sleep(self.clock, self._faults.delay)
        if self._faults.refuses(kind):
            return json_reply(503, {"error": "the stand-in store is set to be down"})
        is_lost = self._faults.loses_reply(kind)
        if delay := self._faults.effect_delay(kind, is_lost=is_lost):
            await sleep(self.clock, delay)
        reply = await self._serve_call(call, query, body)
        if self._faults.reply_delay:
            await sleep(self.clock, self._faults.reply_delay)
        if is_lost:
            await Future()
        return reply

    async def _serve_call(
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

    def _encode_item(self, key: str, item: Any) -> dict[str, Any]:
        value = base64.b64encode(item.value).decode()
        return {"key": key, "value": value, "revision": item.version, "lease_id": 0}

    def _read(self, key: str) -> HttpReply:
        item = self._state.get(key)
        if item is None:
            return json_reply(404, {"at_rev": self._state.version})
        return json_reply(200, {**self._encode_item(key, item), "at_rev": self._state.version})

    def _range(self, query: dict[str, str]) -> HttpReply:
        items = [
            self._encode_item(key, item)
            for key, item in self._state.list(query["prefix"])
            if key > query.get("after", "")
        ]
        page = items[:2]  # small pages, so that tests cover paging
        body = {"items": page, "has_more": len(items) > len(page), "at_rev": self._state.version}
        return json_reply(200, body)

    async def _watch(self, query: dict[str, str]) -> HttpReply:
        prefix, after = query["prefix"], int(query["after"])
        if not any(self._state.changes(prefix, after)):
            wait = int(query.get("wait_ms", "0")) / 1000
            await wait_for(self.clock, self._state.watch(prefix), wait, None)
        written, deleted = self._state.changes(prefix, after)
        events = [self._encode_item(key, item) for key, item in written]
        events += [{"key": key, "revision": 0, "deleted": True} for key in deleted]
        return json_reply(200, {"events": events, "at_rev": self._state.version})

    def _transact(self, body: dict[str, Any]) -> HttpReply:
        conditions = {row["key"]: row["revision"] for row in body["expected_rev"]}
        if not self._state.versions_match(conditions):
            found = ((key, self._state.get(key)) for key in conditions)
            items = [
                self._encode_item(key, item) if item else {"key": key, "revision": 0}
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

    async def _handle_order(self, call: str, body: dict[str, Any], name: WorkerId) -> HttpReply:
        worker = self._workers.workers.get(name)
        if worker is None:
            return json_reply(421, {})
        epoch = Epoch(body.get("fence_token", 0))
        if call == "hold":
            return await self._renew_leases(worker, epoch, body)
        run = _decode_run(body)
        if call != "run-start":
            if self._refuses(worker):
                return json_reply(503, {})
            return _order_reply(worker, worker.stop(run, epoch))
        order = RunOrder(
            run,
            body["task_spec"],
            body["deadline_ms"] / 1000,
            Checkpoint(body.get("checkpoint", "")),
        )
        if worker.entry.worker_id in self._holding and self._random.random() < HELD_SHARE:
            self.clock.call_later(
                self._random.uniform(MIN_HELD_SECONDS, MAX_HELD_SECONDS),
                lambda: worker.start(order, epoch, Resources()),
            )
            await Future()
        if self._refuses(worker):
            return json_reply(503, {})
        return _order_reply(worker, worker.start(order, epoch, Resources()))

    def _refuses(self, worker: RunWorker) -> bool:
        return worker.entry.worker_id in self._refusing and self._random.random() < REFUSED_SHARE

    async def _renew_leases(
        self, worker: RunWorker, epoch: Epoch, body: dict[str, Any]
    ) -> HttpReply:
        deadline = body["deadline_ms"] / 1000 if "deadline_ms" in body else None
        acknowledged = EndSequence(body.get("last_seen", 0))
        report = worker.renew_leases(epoch, deadline, acknowledged)
        if isinstance(report, RunReport) and not report.ends and body.get("wait_ms"):
            await wait_for(self.clock, worker.next_end(), body["wait_ms"] / 1000, None)
            if worker.crashed:
                await Future()  # The process that held the call no longer answers.
            report = worker.renew_leases(epoch, None, acknowledged)
        if not isinstance(report, RunReport):
            return _order_reply(worker, report)
        name = worker.entry.worker_id
        if report.ends and name in self._restarting:
            delay = self._restarting.pop(name)
            self.clock.call_later(REPORT_TO_RESTART_SECONDS, lambda: self._restart(worker, delay))
        running = [
            [_task_name(item.run), item.run.number, item.checkpoint, round(item.progress * 100), 0]
            for item in report.running
        ]
        finished = [
            [end.sequence, _task_name(end.run), end.run.number, end.kind.value, end.checkpoint]
            for end in report.ends
        ]
        return json_reply(
            200,
            {
                "clock_ms": worker.own_clock * 1000,
                "running": running,
                "finished": finished,
                "born": worker.entry.incarnation,
            },
        )

    def _history(self) -> HttpReply:
        rows = [
            [round(time, 3), kind, _task_name(run), run.number, worker.entry.worker_id]
            for worker in self._workers.workers.values()
            for time, kind, run in worker.history
        ]
        return json_reply(200, sorted(rows))


def _order_reply(
    worker: RunWorker, outcome: OrderAccepted | OrderRefused | IncarnationMismatch
) -> HttpReply:
    if isinstance(outcome, IncarnationMismatch):
        return json_reply(421, {})
    clock = worker.own_clock * 1000
    if isinstance(outcome, OrderAccepted):
        return json_reply(200, {"clock_ms": clock})
    return json_reply(409, {"clock_ms": clock, "reason": _REFUSAL_REASONS[outcome.reason]})


def _lease_name(lease: int | None) -> str | None:
    return f"lease-{lease}" if lease else None


def _decode_run(body: dict[str, Any]) -> RunId:
    job, occurrence, step, index = body["task"].split(".")
    key = TaskKey(int(occurrence), int(step), int(index))
    return RunId(JobId(job), key, RunNumber(body["run_id"]))


def _task_name(run: RunId) -> str:
    return f"{run.job}.{run.task.occurrence}.{run.task.step}.{run.task.index}"


def main() -> None:
    """Run the stand-in of the platform."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--workers", help="comma-separated addresses of the workers")
    parser.add_argument(
        "--domains", default="zarcero", help="comma-separated names of failure domains"
    )
    parser.add_argument("--seconds", type=float, default=1.0, help="run time of each task")
    args = parser.parse_args()
    workers = args.workers.split(",") if args.workers else [args.listen] * DEFAULT_WORKERS
    domains = args.domains.split(",")
    PlatformService(Address.parse(args.listen), workers, domains, args.seconds).run()


if __name__ == "__main__":
    main()
