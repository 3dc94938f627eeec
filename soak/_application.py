"""One soak from its start to its verdict, on one loop."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec
from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from chivefall.net import HttpClient
from chivefall.runtime import LoopClock, gather, sleep, spawn
from soak._callers import Caller, KeyProbe, ask_state
from soak._faults import make_plan, play_fault
from soak._oracle import Oracle
from soak._site import DOMAINS, Site
from standins.run_history import IncarnationHistory

if TYPE_CHECKING:
    from pathlib import Path

    from soak._model import Seed, SoakSize

__all__ = ["Soak"]

CHECK_SECONDS = 1.0  # between two looks at what workers ran


class Soak(BaseComponent):
    """Plays the plan of one seed and collects what was broken."""

    def __init__(self, seed: Seed, size: SoakSize, directory: Path) -> None:
        super().__init__(channel="soak")
        EPoll().register(self)
        self._size = size
        self._seed = seed
        self.clock = LoopClock()
        self.clock.timer_component.register(self)
        self._http = HttpClient(self.clock).register(self)
        self.oracle = Oracle(self.clock)
        self.site = Site(size, directory, self.clock, self._http, self.oracle).register(self)
        self._playing = True

    @handler("started")
    def _on_started(self, *_: object) -> None:
        spawn(self._play(), self._on_error)

    @handler("signal", channel="*")
    def _on_signal(self, *_: object) -> None:
        self.oracle.report("the soak was interrupted by a signal")
        self._end()

    def _on_error(self, exc: BaseException) -> None:
        self.oracle.report(f"the soak itself failed: {exc!r}")
        self._end()

    def _end(self) -> None:
        self._playing = False
        self.site.end()
        self.stop()

    async def _play(self) -> None:
        await self.site.start()
        self.oracle.begun_at = begun_at = self.clock.now()
        spawn(self._check_runs(), self._on_error)
        until = begun_at + self._size.seconds
        callers = [
            Caller(self._http, self.clock, self.site, self.oracle, self._rng(f"caller {number}"))
            for number in range(self._size.callers)
        ]
        probe = KeyProbe(self._http, self.clock, self.site, self.oracle)
        plan = make_plan(self._seed, self._size)
        tasks = [spawn(caller.run(until)) for caller in callers]
        tasks.append(spawn(probe.run(until)))
        tasks += [spawn(play_fault(item, self.site, self.oracle)) for item in plan]
        await gather(tasks)
        await self._settle()
        self.oracle.check_service()
        self.oracle.check_rest(await self._read_histories())
        self._end()

    def _rng(self, use: str) -> random.Random:
        return random.Random(f"{use} {self._seed}")

    async def _check_runs(self) -> None:
        domains = {
            f"w{number}": DOMAINS[number % len(DOMAINS)] for number in range(self._size.workers)
        }
        while self._playing:
            self.oracle.check_runs(await self._read_histories(), domains)
            await sleep(self.clock, CHECK_SECONDS)

    async def _read_histories(self) -> list[IncarnationHistory]:
        content = await self.site.control("GET", "lives")
        return msgspec.json.decode(content, type=list[IncarnationHistory])

    async def _settle(self) -> None:
        """Wait until all accepted jobs are completed, as each of the instances shows them."""
        limit = self.clock.now() + self._size.settle_seconds
        rng = self._rng("settle")
        while waiting := self.oracle.unfinished():
            for story in waiting:
                instance = rng.choice(self.site.instances)
                await ask_state(self._http, self.clock, self.oracle, instance, story)
            if self.clock.now() > limit:
                for story in self.oracle.unfinished():
                    self.oracle.report(f"job {story.job} was accepted and did not complete")
                return
            await sleep(self.clock, CHECK_SECONDS)
