"""Stand-in of one worker; run as a process: worker.py SETTINGS, a JSON object.

Keys of the settings: id, port, store (port), zone, rack, kind, gpu, events (a file to which
events are appended), faults (a file that holds a JSON object and may change at any time).

A task runs for as many milliseconds as its ``task_spec`` says, and then fails if that ends
with `` crash``. ``faults`` may set:

- ``fail``: every run fails after FAIL_SECONDS; the other members of its gang end broken. A
  run belongs to a gang if its ``task_spec`` ends with `` gang``.
- ``late``: share of the starts that get no answer and are carried out 2 to 5 s later.
- ``shed``: share of the other starts that are refused with 503, which does nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import itertools
import json
import random
import sys
import time
from pathlib import Path
from typing import Any

from http_server import NO_REPLY, Request, serve

HEARTBEAT_SECONDS = 1.5
LATE_SECONDS = 2.0, 5.0
LOST_SECONDS = 60.0  # for which the channel of an unanswered call stays open
MAX_HOLD_MS = 10_000
FAIL_SECONDS = 0.5
STOP_SECONDS = 0.5  # the bound stop_grace_ms allows 0.9


class Worker:
    """One lifetime of a worker."""

    def __init__(self, cfg: dict[str, Any]) -> None:
        self.cfg = cfg
        self.started = time.monotonic()
        self.born = round(time.time() * 1000)
        self.fence = 0
        self.deadline_ms = 0.0
        self.running: dict[tuple[str, int], float] = {}  # start by run
        self.specs: dict[tuple[str, int], float] = {}  # milliseconds by run
        self.closed: dict[str, int] = {}  # highest run stopped or ended by task
        self.ends: list[list[Any]] = []
        self.numbers = itertools.count(1)
        self.watchers: dict[tuple[str, int], asyncio.Task[None]] = {}
        self.ended = asyncio.Event()
        self.seq = itertools.count(1)

    def log(self, kind: str, **fields: Any) -> None:
        """Append an event."""
        row = {"at": time.time(), "worker": self.cfg["id"], "born": self.born, "event": kind}
        with Path(self.cfg["events"]).open("a") as file:
            file.write(json.dumps({**row, **fields}) + "\n")

    def faults(self) -> dict[str, Any]:
        """Return the faults in force."""
        with contextlib.suppress(OSError, ValueError):
            return json.loads(Path(self.cfg["faults"]).read_text())
        return {}

    def clock_ms(self) -> float:
        """Return this lifetime's steady clock in milliseconds."""
        return round((time.monotonic() - self.started) * 1000)

    async def handle(self, req: Request) -> tuple[int, Any]:
        """Return status and body of the response to a call."""
        if not req.path.startswith("/chivefall/"):
            return 200, {}
        if req.headers.get("x-target-instance", self.cfg["id"]) != self.cfg["id"]:
            return 421, {"clock_ms": self.clock_ms()}
        return await self.order(req.path.rpartition("/")[2], req.body)

    async def order(self, call: str, body: dict[str, Any]) -> tuple[int, Any]:
        """Carry out an order."""
        if call == "run-start":
            faults = self.faults()
            if random.random() < faults.get("late", 0):
                self.log("held", task=body["task"], run=body["run_id"])
                await asyncio.sleep(random.uniform(*LATE_SECONDS))
                if body.get("fence_token", 0) >= self.fence:
                    self.start(body)
                await asyncio.sleep(LOST_SECONDS)
                return NO_REPLY
            if random.random() < faults.get("shed", 0):
                self.log("refused", task=body["task"], run=body["run_id"], status=503)
                return 503, {"clock_ms": self.clock_ms()}
        if body.get("fence_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = body.get("fence_token", 0)
        if call == "run-start":
            return self.start(body)
        if call == "run-stop":
            self.stop((body["task"], body["run_id"]))
            return 200, {"clock_ms": self.clock_ms()}
        if call == "hold":
            return 200, await self.hold(body)
        return 404, {}

    def extend(self, deadline_ms: float | None) -> None:
        """Extend the lease of all runs."""
        if deadline_ms is not None:
            limit = min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)
            self.deadline_ms = max(self.deadline_ms, limit)

    def start(self, body: dict[str, Any]) -> tuple[int, Any]:
        """Start a run."""
        run = body["task"], body["run_id"]
        clock = self.clock_ms()
        if run in self.running:
            return 200, {"clock_ms": clock}
        if body["run_id"] <= self.closed.get(body["task"], 0):
            self.extend(body["deadline_ms"])
            return 409, {"clock_ms": clock, "reason": "old"}
        if body["deadline_ms"] <= clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        self.extend(body["deadline_ms"])
        self.running[run] = time.monotonic()
        self.specs[run] = float(body["task_spec"].split()[0])
        self.log("start", task=run[0], run=run[1])
        loop = asyncio.get_running_loop()
        how = "failed" if body["task_spec"].endswith(" crash") else "done"
        loop.call_later(self.specs[run] / 1000, lambda: self.end(run, how))
        marker = None
        if body["task_spec"].endswith(" gang"):
            gang = f"{run[0].rpartition('.')[0]}-{run[1]}"
            marker = Path(self.cfg["events"]).with_name(f"failed-{gang}")
        self.watchers[run] = loop.create_task(self.watch_faults(run, marker))
        return 200, {"clock_ms": clock}

    async def watch_faults(self, run: tuple[str, int], marker: Path | None) -> None:
        """End a run that fails, or whose gang has lost a member."""
        began = time.monotonic()
        while run in self.running:
            if marker is not None and marker.exists():
                self.end(run, "broken")
            elif self.faults().get("fail") and time.monotonic() - began >= FAIL_SECONDS:
                if marker is not None:
                    marker.touch()
                self.end(run, "failed")
            await asyncio.sleep(0.05)

    def stop(self, run: tuple[str, int]) -> None:
        """Stop a run; if it is not there yet, its start will be refused."""
        self.closed[run[0]] = max(run[1], self.closed.get(run[0], 0))
        if run in self.running:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_SECONDS, lambda: self.end(run, "stopped"))

    def end(self, run: tuple[str, int], how: str) -> None:
        """End a run."""
        if self.running.pop(run, None) is None:
            return
        self.closed[run[0]] = max(run[1], self.closed.get(run[0], 0))
        self.ends.append([next(self.numbers), run[0], run[1], how, ""])
        self.log("end", task=run[0], run=run[1], how=how)
        self.ended.set()
        self.ended = asyncio.Event()

    async def hold(self, body: dict[str, Any]) -> dict[str, Any]:
        """Extend the lease and return the lists of runs."""
        self.extend(body.get("deadline_ms"))
        seen = body.get("last_seen", 0)
        for row in self.ends:
            if row[0] <= seen:
                self.log("noted", task=row[1], run=row[2], how=row[3])
        self.ends = [row for row in self.ends if row[0] > seen]
        if body.get("wait_ms") and not self.ends:
            with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
                await asyncio.wait_for(self.ended.wait(), body["wait_ms"] / 1000)
        now = time.monotonic()
        rows = [
            [
                task,
                run,
                "",
                min(100, round(100_000 * (now - at) / max(1, self.specs[task, run]))),
                0,
            ]
            for (task, run), at in self.running.items()
        ]
        return {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": rows,
            "finished": self.ends[:500],
        }

    async def expire(self) -> None:
        """End everything when the lease expires."""
        while True:
            await asyncio.sleep(0.05)
            if self.running and self.clock_ms() > self.deadline_ms:
                self.log("lapse")
                for run in list(self.running):
                    self.end(run, "lapsed")

    def write_entry(self) -> None:
        """Write the worker's entry to the store."""
        cfg = self.cfg
        entry = {
            "service": "pool",
            "addr": f"127.0.0.1:{cfg['port']}",
            "zone": cfg["zone"],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": next(self.seq),
            "born": self.born,
            "capacity": {"cpu": 128_000, "mem_mb": 262_144, "gpu": cfg["gpu"]},
            "labels": [cfg["kind"], cfg["rack"]],
        }
        conn = http.client.HTTPConnection("127.0.0.1", cfg["store"], timeout=2)
        conn.request("PUT", f"/control/key?key=servers/{cfg['id']}", json.dumps(entry))
        conn.getresponse().read()
        conn.close()

    async def heartbeat(self) -> None:
        """Write the entry at the start and then at each interval."""
        while True:
            with contextlib.suppress(OSError):
                await asyncio.to_thread(self.write_entry)
            await asyncio.sleep(HEARTBEAT_SECONDS)


async def main() -> None:
    """Serve until the process is ended."""
    worker = Worker(json.loads(sys.argv[1]))
    worker.log("born")
    server = await serve(worker.cfg["port"], worker.handle)
    await asyncio.gather(server.serve_forever(), worker.expire(), worker.heartbeat())


if __name__ == "__main__":
    asyncio.run(main())
