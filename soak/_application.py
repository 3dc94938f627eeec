"""Run of one seed on one event loop."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec
from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from chivefall.net import HttpClient
from chivefall.runtime import LoopClock, gather, sleep, spawn
from soak._callers import Caller, KeyProbe, request_job_status
from soak._faults import inject_fault, make_plan
from soak._oracle import Oracle
from soak._testbed import DOMAINS, Testbed
from standins.run_history import IncarnationHistory

if TYPE_CHECKING:
    from pathlib import Path

    from soak._model import Seed, SoakSize

__all__ = ["Soak"]

CHECK_INTERVAL_SECONDS = 1.0  # between checks of the run histories of the workers


class Soak(BaseComponent):
    """Injects the fault plan of one seed under traffic and collects the violations."""

    def __init__(self, seed: Seed, size: SoakSize, directory: Path) -> None:
        super().__init__(channel="soak")
        EPoll().register(self)
        self._size = size
        self._seed = seed
        self.clock = LoopClock()
        self.clock.timer_component.register(self)
        self._http = HttpClient(self.clock).register(self)
        self.oracle = Oracle(self.clock)
        self.testbed = Testbed(size, directory, self.clock, self._http, self.oracle).register(self)
        self._checking = True

    @handler("started")
    def _on_started(self, *_: object) -> None:
        spawn(self._run_plan(), self._on_error)

    @handler("signal", channel="*")
    def _on_signal(self, *_: object) -> None:
        self.oracle.report("the soak test was interrupted by a signal")
        self._end()

    def _on_error(self, exc: BaseException) -> None:
        self.oracle.report(f"the soak test itself failed: {exc!r}")
        self._end()

    def _end(self) -> None:
        self._checking = False
        self.testbed.end()
        self.stop()

    async def _run_plan(self) -> None:
        await self.testbed.start()
        self.oracle.started_at = started_at = self.clock.now()
        spawn(self._check_runs(), self._on_error)
        until = started_at + self._size.seconds
        callers = [
            Caller(self._http, self.clock, self.testbed, self.oracle, self._rng(f"caller {number}"))
            for number in range(self._size.callers)
        ]
        probe = KeyProbe(self._http, self.clock, self.testbed, self.oracle)
        plan = make_plan(self._seed, self._size)
        tasks = [spawn(caller.run(until)) for caller in callers]
        tasks.append(spawn(probe.run(until)))
        tasks += [spawn(inject_fault(item, self.testbed, self.oracle)) for item in plan]
        await gather(tasks)
        await self._wait_for_completion()
        self.oracle.check_completed_share()
        self.oracle.check_cancelled_runs_ended(await self._read_histories())
        self._end()

    def _rng(self, use: str) -> random.Random:
        return random.Random(f"{use} {self._seed}")

    async def _check_runs(self) -> None:
        domains = {
            f"w{number}": DOMAINS[number % len(DOMAINS)] for number in range(self._size.workers)
        }
        while self._checking:
            self.oracle.check_runs(await self._read_histories(), domains)
            await sleep(self.clock, CHECK_INTERVAL_SECONDS)

    async def _read_histories(self) -> list[IncarnationHistory]:
        content = await self.testbed.control("GET", "lives")
        return msgspec.json.decode(content, type=list[IncarnationHistory])

    async def _wait_for_completion(self) -> None:
        """Wait until random instances have reported every accepted job as completed."""
        limit = self.clock.now() + self._size.completion_timeout_seconds
        rng = self._rng("settle")
        while waiting := self.oracle.unfinished():
            for history in waiting:
                instance = rng.choice(self.testbed.instances)
                await request_job_status(self._http, self.clock, self.oracle, instance, history)
            if self.clock.now() > limit:
                for history in self.oracle.unfinished():
                    self.oracle.report(f"accepted job {history.job} did not complete")
                return
            await sleep(self.clock, CHECK_INTERVAL_SECONDS)
