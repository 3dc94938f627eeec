"""Faults that are injected into the testbed, and the fault plan of a seed."""

from __future__ import annotations

import json
import random
import signal
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from chivefall.runtime import sleep
from soak._model import FaultKind, LinkState, PlannedFault, Seed, SoakSize
from soak._testbed import DOMAINS, REVOKED_KEY, VALID_KEY
from standins.odd_entries import ODD_ENTRIES
from standins.platform import MAX_HELD_SECONDS, WorkerAction

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.model import DomainId
    from soak._oracle import Oracle
    from soak._proxy import LinkProxy
    from soak._testbed import Instance, Testbed

__all__ = ["FAULTS", "Fault", "inject_fault", "make_plan"]

# From well below to far above the leader lease of 1.5 s.
MIN_FAULT_SECONDS, MAX_FAULT_SECONDS = 0.3, 6.0
FAULT_FREE_START_SECONDS = 3.0  # every instance serves requests before the first fault
SERIES_SHARE = 0.3  # of the drawn faults; they are injected several times in a row
MAX_SERIES_LENGTH = 3
SERIES_PAUSE_SECONDS = 0.5
LOST_WRITE_DELAY_SECONDS = 3.0  # by then, callers have given the submission up and cancelled it
# From a restart after a report to the worker's new entry; chosen by the target of the fault.
ENTRY_DELAYS_SECONDS = (0.0, 1.0, 3.0)

# Kinds that were added after seeds had been recorded.
_ADDED_KINDS = (
    FaultKind.ODD_ENTRIES,
    FaultKind.ORDERS_DISTURBED,
    FaultKind.RESTARTED_AFTER_REPORT,
)

FAULTS: dict[FaultKind, type[Fault]] = {}


def _register(kind: FaultKind) -> Callable[[type[Fault]], type[Fault]]:
    def add(cls: type[Fault]) -> type[Fault]:
        FAULTS[kind] = cls
        return cls

    return add


class Fault(ABC):
    """Base class of the faults; each injects one kind into one target of a testbed."""

    def __init__(self, testbed: Testbed, oracle: Oracle, target: int) -> None:
        self._testbed = testbed
        self._oracle = oracle
        self._target = target

    @property
    def _instance(self) -> Instance:
        return self._testbed.instances[self._target % len(self._testbed.instances)]

    @property
    def _link(self) -> LinkProxy:
        links = self._testbed.links.all()
        return links[self._target % len(links)]

    @property
    def _worker(self) -> int:
        return self._target % self._testbed.worker_count

    @property
    def _domain(self) -> DomainId:
        return DOMAINS[self._target % len(DOMAINS)]

    @abstractmethod
    async def begin(self) -> None:
        """Inject the fault."""

    async def end(self) -> None:  # noqa: B027 - some faults end by themselves
        """Remove the fault."""


@_register(FaultKind.INSTANCE_KILLED)
class _InstanceKilled(Fault):
    async def begin(self) -> None:
        self._testbed.kill(self._instance)

    async def end(self) -> None:
        self._testbed.restart(self._instance)


@_register(FaultKind.INSTANCE_PAUSED)
class _InstancePaused(Fault):
    async def begin(self) -> None:
        self._instance.pause(self._testbed.clock.now())

    async def end(self) -> None:
        self._instance.resume(self._testbed.clock.now())


@_register(FaultKind.INSTANCE_STOPPED)
class _InstanceStopped(Fault):
    async def begin(self) -> None:
        self._testbed.stop(self._instance)

    async def end(self) -> None:
        process = self._instance.process
        while process is not None and process.poll() is None and self._instance.stop_requested_at:
            await sleep(self._testbed.clock, SERIES_PAUSE_SECONDS)
        self._testbed.restart(self._instance)


@_register(FaultKind.INSTANCE_RELOADED)
class _InstanceReloaded(Fault):
    async def begin(self) -> None:
        self._instance.send(signal.SIGHUP)


@_register(FaultKind.PLATFORM_PAUSED)
class _PlatformPaused(Fault):
    async def begin(self) -> None:
        self._testbed.pause_platform(paused=True)

    async def end(self) -> None:
        self._testbed.pause_platform(paused=False)


class _LinkFault(Fault):
    state: LinkState

    async def begin(self) -> None:
        self._testbed.set_link(self._link, self.state)

    async def end(self) -> None:
        self._testbed.set_link(self._link, LinkState.OPEN)


@_register(FaultKind.LINK_DELAYED)
class _LinkDelayed(_LinkFault):
    state = LinkState.DELAYED


@_register(FaultKind.LINK_CUT)
class _LinkCut(_LinkFault):
    state = LinkState.CUT


@_register(FaultKind.LINK_CUT_ONE_WAY)
class _LinkCutOneWay(_LinkFault):
    @property
    def state(self) -> LinkState:
        return LinkState.NO_REQUESTS if self._target % 2 else LinkState.NO_REPLIES


@_register(FaultKind.LINK_RESET)
class _LinkReset(Fault):
    async def begin(self) -> None:
        self._link.reset()


@_register(FaultKind.LINK_SILENCED)
class _LinkSilenced(Fault):
    async def begin(self) -> None:
        self._link.silence()


class _StoreFault(Fault):
    faults: dict[str, bool | float]

    async def begin(self) -> None:
        await self._testbed.control("PUT", "faults", self.faults)

    async def end(self) -> None:
        await self._testbed.control("PUT", "faults", {})


@_register(FaultKind.STORE_DOWN)
class _StoreDown(_StoreFault):
    faults = {"down": True}  # noqa: RUF012


@_register(FaultKind.STORE_SLOW)
class _StoreSlow(_StoreFault):
    faults = {"delay": 0.2, "reply_delay": 0.1}  # noqa: RUF012


@_register(FaultKind.STORE_REPLIES_LOST)
class _StoreRepliesLost(_StoreFault):
    faults = {  # noqa: RUF012
        "lose_replies": 3,
        "lose_lease_replies": 2,
        "lost_write_delay": LOST_WRITE_DELAY_SECONDS,
    }


class _WorkerFault(Fault):
    action: WorkerAction

    async def begin(self) -> None:
        await self._testbed.change_worker(self._worker, self.action)

    async def end(self) -> None:
        await self._testbed.change_worker(self._worker, WorkerAction.RECOVER)


@_register(FaultKind.WORKER_RESTARTED)
class _WorkerRestarted(_WorkerFault):
    action = WorkerAction.RESTART


@_register(FaultKind.RESTARTED_AFTER_REPORT)
class _RestartedAfterReport(_StoreSlow):
    """Restarts workers between the report of an end and its acknowledgement.

    An end is acknowledged once it is written, so while the store is slow, starts that were
    recorded before reach the new incarnation, and short runs end there, ahead of the next poll.
    """

    async def begin(self) -> None:
        await super().begin()
        delay = ENTRY_DELAYS_SECONDS[self._target % len(ENTRY_DELAYS_SECONDS)]
        for number in range(self._testbed.worker_count):
            await self._testbed.change_worker(number, WorkerAction.RESTART_AFTER_REPORT, delay)


@_register(FaultKind.WORKER_LISTED_ANEW)
class _WorkerListedAnew(_WorkerFault):
    action = WorkerAction.LIST_ANEW


@_register(FaultKind.WORKER_FAILS)
class _WorkerFails(_WorkerFault):
    action = WorkerAction.FAIL


@_register(FaultKind.WORKER_HANGS)
class _WorkerHangs(_WorkerFault):
    action = WorkerAction.HANG


@_register(FaultKind.DOMAIN_EVACUATED)
class _DomainEvacuated(Fault):
    async def begin(self) -> None:
        await self._testbed.control("PUT", f"key?key=op/evacuate/{self._domain}", {})
        self._oracle.record_evacuation(self._domain)

    async def end(self) -> None:
        self._oracle.record_evacuation_end(self._domain)
        await self._testbed.control("DELETE", f"key?key=op/evacuate/{self._domain}")


@_register(FaultKind.KEY_REVOKED)
class _KeyRevoked(Fault):
    async def begin(self) -> None:
        await self._testbed.write_catalog((VALID_KEY,))
        self._oracle.revoked_at = self._testbed.clock.now()

    async def end(self) -> None:
        self._oracle.revoked_at = None
        await self._testbed.write_catalog((VALID_KEY, REVOKED_KEY))


@_register(FaultKind.ODD_ENTRIES)
class _OddEntries(Fault):
    async def begin(self) -> None:
        values = list(ODD_ENTRIES.values())
        for number, value in enumerate(values):
            await self._testbed.write_key(f"servers/odd-{number}", value)
        value = values[self._target % len(values)]
        await self._testbed.write_key(f"servers/w{self._worker}", value)

    async def end(self) -> None:
        await self._testbed.change_worker(self._worker, WorkerAction.LIST_ANEW)
        for number in range(len(ODD_ENTRIES)):
            await self._testbed.control("DELETE", f"key?key=servers/odd-{number}")


@_register(FaultKind.ORDERS_DISTURBED)
class _OrdersDisturbed(Fault):
    async def begin(self) -> None:
        self._since = self._oracle.record_held_orders()
        for number in range(self._testbed.worker_count):
            await self._testbed.change_worker(number, WorkerAction.HOLD)
        await self._testbed.change_worker(self._worker, WorkerAction.REFUSE)

    async def end(self) -> None:
        for number in range(self._testbed.worker_count):
            await self._testbed.change_worker(number, WorkerAction.RECOVER)
        await sleep(self._testbed.clock, MAX_HELD_SECONDS)
        self._oracle.record_held_orders_end(self._since)


def make_plan(seed: Seed, size: SoakSize) -> list[PlannedFault]:
    """Return the planned faults of a seed; some are repeated in series, and many overlap."""
    rng = random.Random(f"plan {seed}")
    plan = []
    kinds = [kind for kind in FaultKind if kind not in _ADDED_KINDS]
    while len(plan) < size.faults:
        kind = rng.choice(kinds)
        at = rng.uniform(FAULT_FREE_START_SECONDS, size.seconds)
        target = rng.randrange(1000)
        times = rng.randint(2, MAX_SERIES_LENGTH) if rng.random() < SERIES_SHARE else 1
        for _ in range(times):
            seconds = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
            plan.append(PlannedFault(kind, round(at, 2), round(seconds, 2), target))
            at += seconds + SERIES_PAUSE_SECONDS
    # Drawn separately, so that the other faults of a recorded seed stay as they were.
    plan += _draw(f"odd entries {seed}", FaultKind.ODD_ENTRIES, size.odd_entries, size)
    plan += _draw(f"orders {seed}", FaultKind.ORDERS_DISTURBED, size.disturbed_orders, size)
    plan += _draw(f"restarts {seed}", FaultKind.WORKER_RESTARTED, size.restarts, size)
    reported = FaultKind.RESTARTED_AFTER_REPORT
    plan += _draw(f"reported {seed}", reported, size.reported_restarts, size)
    return sorted(plan, key=lambda item: item.at)


def _draw(source: str, kind: FaultKind, count: int, size: SoakSize) -> list[PlannedFault]:
    """Return faults of one kind, drawn from their own source of random numbers."""
    rng = random.Random(source)
    plan = []
    for _ in range(count):
        at = rng.uniform(FAULT_FREE_START_SECONDS, size.seconds)
        seconds = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        target = rng.randrange(1000)
        plan.append(PlannedFault(kind, round(at, 2), round(seconds, 2), target))
    return plan


async def inject_fault(planned: PlannedFault, testbed: Testbed, oracle: Oracle) -> None:
    """Wait for the time of a planned fault, inject it and remove it again."""
    fault = FAULTS[planned.kind](testbed, oracle, planned.target)
    await sleep(testbed.clock, planned.at)
    _log(planned, "begins")
    await fault.begin()
    await sleep(testbed.clock, planned.seconds)
    await fault.end()
    _log(planned, "has ended")


def _log(planned: PlannedFault, what: str) -> None:
    line = {"fault": planned.kind.value, "target": planned.target, "what": what, "at": planned.at}
    print(json.dumps(line), flush=True)
