"""Stand-in workers that execute runs under leases, and their client on a manual clock."""

from __future__ import annotations

import itertools
import math
import re
from collections import defaultdict
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import msgspec

from chivefall.batch import (
    NO_CHECKPOINT,
    EndKind,
    EndSequence,
    Incarnation,
    Resources,
    RunId,
    RunNumber,
    TaskKey,
    WorkerEntry,
)
from chivefall.model import ConnectionId, Epoch, JobId, WorkerId
from chivefall.runtime import Clock, Future, sleep, spawn, wait_for
from chivefall.workers import (
    Acknowledgement,
    IncarnationMismatch,
    NoResponse,
    NotSent,
    OrderAccepted,
    OrderOutcome,
    OrderPermission,
    OrderRefusalReason,
    OrderRefused,
    PollMode,
    RenewalOutcome,
    RunClient,
    RunEnd,
    RunOrder,
    RunReport,
    RunStatus,
)
from standins.run_history import IncarnationHistory

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

__all__ = ["Gangs", "MemoryRunClient", "RunWorker", "RunWorkers"]

MAX_LEASE_SECONDS = 10.0  # limit for the deadline of a renewal
MAX_LISTED_ENDS = 500
START_DELAY_SECONDS = 3.0
RESPONSE_TIMEOUT_SECONDS = 0.8
QUICK_TIMEOUT_SECONDS = 0.1
_connection_numbers = itertools.count(1)
_RUN_TIME = re.compile(r"run ([0-9]+) ms")  # payload of tasks that state their run time


@dataclass
class _Running:
    started_at: float
    seconds: float


@dataclass
class RunWorker:
    """One incarnation of a worker.

    Attributes
    ----------
    gangs : Gangs or None
        The gangs that all workers share; without them, members of gangs run independently.
    run_seconds : float
        Run time of each task whose payload is not ``run N ms``.
    max_lease : float
        Longest lease in seconds; longer ones are shortened.
    stop_seconds : float
        Time from a stop order to the end of the run.
    fails : bool
        Whether runs end as failed.
    hangs : bool
        Whether runs make no progress.
    max_listed_ends : int
        Number of ends that a report lists at most.
    clock_origin : float
        Unix time in seconds at which the clock of this incarnation showed 0.
    """

    entry: WorkerEntry
    clock: Clock
    gangs: Gangs | None = None
    run_seconds: float = 2.0
    max_lease: float = MAX_LEASE_SECONDS
    stop_seconds: float = 0.0
    fails: bool = False
    hangs: bool = False
    max_listed_ends: int = MAX_LISTED_ENDS
    crashed: bool = False
    clock_origin: float = field(init=False)
    highest_epoch: Epoch = Epoch(0)
    lease_until: float = 0.0
    running: dict[RunId, _Running] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    fenced_runs: dict[tuple[JobId, TaskKey], RunNumber] = field(default_factory=dict)
    history: list[tuple[float, str, RunId]] = field(default_factory=list)
    lapses: list[float] = field(default_factory=list)
    peak_usage: Resources = field(default_factory=Resources)
    allocations: dict[RunId, Resources] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._sequence = itertools.count(1)
        self._waiters: list[Future[None]] = []
        self.clock_origin = self.clock.now()

    @property
    def own_clock(self) -> float:
        """Return the clock of this incarnation, in seconds since its start."""
        return self.clock.now() - self.clock_origin

    def start(self, order: RunOrder, epoch: Epoch, resources: Resources) -> OrderOutcome:
        """Start a run; a repeated order is accepted again."""
        refusal = self._check(epoch)
        if refusal is not None:
            return refusal
        run = order.run
        if run in self.running:
            return OrderAccepted(self.own_clock)
        if run.number <= self.fenced_runs.get((run.job, run.task), 0):
            return OrderRefused(OrderRefusalReason.OUTDATED)
        if order.deadline < self.own_clock:
            return OrderRefused(OrderRefusalReason.LATE)
        self._extend_leases(order.deadline)
        self.allocations[run] = resources
        used = sum((self.allocations[name] for name in self.running), resources)
        self.peak_usage = Resources(
            max(self.peak_usage.cpu, used.cpu),
            max(self.peak_usage.memory, used.memory),
            max(self.peak_usage.accelerators, used.accelerators),
        )
        run_time = _RUN_TIME.fullmatch(order.payload)
        seconds = int(run_time[1]) / 1000 if run_time else self.run_seconds
        self.running[run] = _Running(self.clock.now(), seconds)
        self.history.append((self.clock.now(), "start", run))
        if self.gangs is not None and self.gangs.size_of(run) > 1:
            self.gangs.join(self, run)
        elif not self.hangs:
            self.clock.call_later(seconds, lambda: self._finish(run))
        return OrderAccepted(self.own_clock)

    def resume(self) -> None:
        """Stop hanging; runs that were started meanwhile begin their work now."""
        self.hangs = False
        for run, item in self.running.items():
            item.started_at = self.clock.now()
            self.clock.call_later(item.seconds, lambda run=run: self._finish(run))

    def stop(self, run: RunId, epoch: Epoch) -> OrderOutcome:
        """Stop a run; a later order to start it is refused."""
        refusal = self._check(epoch)
        if refusal is not None:
            return refusal
        self._fence_run(run)
        if self.stop_seconds:
            self.clock.call_later(self.stop_seconds, lambda: self._end(run, EndKind.STOPPED))
        else:
            self._end(run, EndKind.STOPPED)
        return OrderAccepted(self.own_clock)

    def renew_leases(
        self, epoch: Epoch, deadline: float | None, acknowledged: EndSequence
    ) -> RenewalOutcome:
        """Extend the leases, discard acknowledged ends and return the report."""
        refusal = self._check(epoch)
        if refusal is not None:
            return refusal
        if deadline is not None:
            self._extend_leases(deadline)
        for end in self.ends:
            if end.sequence <= acknowledged:
                self.history.append((self.clock.now(), "noted", end.run))
        self.ends = [end for end in self.ends if end.sequence > acknowledged]
        return RunReport(
            self.own_clock,
            self.entry.incarnation,
            tuple(
                RunStatus(run, NO_CHECKPOINT, self._progress(item))
                for run, item in self.running.items()
            ),
            tuple(self.ends[: self.max_listed_ends]),
            is_complete=len(self.ends) < self.max_listed_ends,
        )

    def crash(self) -> None:
        """End all runs without a report and refuse all further orders, as after a power loss."""
        self.crashed = True
        for run in list(self.running):
            self._end(run, EndKind.BROKEN)
        self.ends = []

    def incarnation_history(self) -> IncarnationHistory:
        """Return the events of this incarnation."""
        return IncarnationHistory(self.entry.worker_id, self.history, self.lapses)

    def next_end(self) -> Future[None]:
        """Return a future that is done at the next end of a run."""
        fut: Future[None] = Future()
        self._waiters.append(fut)
        return fut

    def _progress(self, item: _Running) -> float:
        if self.hangs:
            return 0.0
        return min(1.0, (self.clock.now() - item.started_at) / item.seconds)

    def _check(self, epoch: Epoch) -> IncarnationMismatch | OrderRefused | None:
        if self.crashed:
            return IncarnationMismatch()
        if epoch < self.highest_epoch:
            return OrderRefused(OrderRefusalReason.FENCED)
        self.highest_epoch = epoch
        return None

    def _extend_leases(self, deadline: float) -> None:
        limit = min(self.clock_origin + deadline, self.clock.now() + self.max_lease)
        if limit > self.lease_until:
            self.lease_until = limit
            self.clock.call_later(limit - self.clock.now(), self._expire_leases)

    def _expire_leases(self) -> None:
        if self.clock.now() >= self.lease_until:
            self.lapses.append(self.clock.now())
            for run in list(self.running):
                self._end(run, EndKind.LAPSED)

    def _finish(self, run: RunId) -> None:
        self._end(run, EndKind.FAILED if self.fails else EndKind.DONE)

    def _fence_run(self, run: RunId) -> None:
        key = (run.job, run.task)
        self.fenced_runs[key] = max(run.number, self.fenced_runs.get(key, RunNumber(0)))

    def _end(self, run: RunId, kind: EndKind) -> None:
        if self.running.pop(run, None) is None:
            return
        self._fence_run(run)
        self.history.append((self.clock.now(), kind.value, run))
        self.ends.append(RunEnd(EndSequence(next(self._sequence)), run, kind, NO_CHECKPOINT))
        if self.gangs is not None:
            self.gangs.leave(run)
        waiters, self._waiters = self._waiters, []
        for fut in waiters:
            fut.set_result(None)


class Gangs:
    """Gangs of all workers, whose members work together and end together.

    Parameters
    ----------
    size_of : callable
        Returns the number of members of a run; 1 if its task is not a member of a gang.
    wait_seconds : float
        Time for which a member waits for the others.
    """

    def __init__(self, clock: Clock, size_of: Callable[[RunId], int], wait_seconds: float) -> None:
        self.size_of = size_of
        self._clock = clock
        self._wait_seconds = wait_seconds
        self._members: dict[tuple, dict[RunId, RunWorker]] = {}

    def join(self, worker: RunWorker, run: RunId) -> None:
        """Add a member; the gang starts to work when the last one joins."""
        key = _gang_of(run)
        members = self._members.setdefault(key, {})
        members[run] = worker
        if len(members) == self.size_of(run):
            self._clock.call_later(worker.run_seconds, lambda: self._finish(key, members))
        else:
            self._clock.call_later(self._wait_seconds, lambda: self._give_up(key, run))

    def leave(self, run: RunId) -> None:
        """End the other members of a gang after the end of one."""
        for member, worker in self._members.pop(_gang_of(run), {}).items():
            worker._end(member, EndKind.BROKEN)

    def _finish(self, key: tuple, members: dict[RunId, RunWorker]) -> None:
        if self._members.get(key) is members:
            del self._members[key]
            for member, worker in members.items():
                worker._end(member, EndKind.DONE)

    def _give_up(self, key: tuple, run: RunId) -> None:
        members = self._members.get(key, {})
        if run in members and len(members) < self.size_of(run):
            members[run]._end(run, EndKind.ALONE)


def _gang_of(run: RunId) -> tuple:
    return (run.job, run.task.occurrence, run.task.step, run.number)


class RunWorkers:
    """All stand-in workers of a test by id, shared by the clients of all instances."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.workers: dict[WorkerId, RunWorker] = {}
        self.past_incarnations: list[RunWorker] = []
        self.resources_of: Callable[[RunId], Resources] = lambda _: Resources()
        self.gangs: Gangs | None = None

    def add(self, entry: WorkerEntry) -> RunWorker:
        """Add a worker, or a new incarnation of one, which ends all runs of the previous one."""
        worker = RunWorker(entry, self.clock, self.gangs)
        old = self.workers.get(entry.worker_id)
        if old is not None:
            self.past_incarnations.append(old)
            old.crash()
        self.workers[entry.worker_id] = worker
        return worker

    def histories(self) -> list[IncarnationHistory]:
        """Return the events of all incarnations of all workers."""
        return [
            worker.incarnation_history()
            for worker in (*self.past_incarnations, *self.workers.values())
        ]

    def encode(self, worker: RunWorker) -> bytes:
        """Return the entry of a worker in the encoding of the tests' platform codec."""
        return msgspec.json.encode(worker.entry)

    def starts_of(self, job: JobId) -> dict[TaskKey, list[tuple[float, RunId]]]:
        """Return the times and runs of all starts of a job by task, in order of time."""
        starts: dict[TaskKey, list[tuple[float, RunId]]] = defaultdict(list)
        for worker in [*self.past_incarnations, *self.workers.values()]:
            for time, kind, run in worker.history:
                if kind == "start" and run.job == job:
                    starts[run.task].append((time, run))
        return {task: sorted(rows, key=lambda row: row[0]) for task, rows in starts.items()}


class MemoryRunClient(RunClient):
    """Run client of one instance, with faults that affect only this instance.

    Attributes
    ----------
    unreachable : set of WorkerId
        Workers that calls do not reach.
    refusing : set of WorkerId
        Workers whose address refuses connections, as no process listens there.
    delayed : set of WorkerId
        Workers that do not respond to starts and execute them after ``start_delay`` seconds.
    start_delay : float
        Seconds.
    refusals : dict
        By worker, the reason with which it refuses starts and stops.
    misdirected : set of WorkerId
        Workers whose calls another worker refuses. It also refuses the calls to the former address
        of a worker whose next incarnation has another one.
    isolated : bool
        Whether calls reach no worker at all.
    latency : float
        Seconds until a call arrives.
    reply_latency : float
        Seconds from the execution of a call to its response.
    timeout : float
        Seconds after which a call returns without a response, in addition to the wait that it
        requests; it may still be executed later.
    connections : dict
        By worker, the incarnation and the number of the open connection to it.
    silenced : set of WorkerId
        Workers whose open connection carries nothing anymore, until a new one is opened.
    """

    def __init__(self, workers: RunWorkers) -> None:
        self._workers = workers
        self._clock = workers.clock
        self.unreachable: set[WorkerId] = set()
        self.refusing: set[WorkerId] = set()
        self.delayed: set[WorkerId] = set()
        self.start_delay = START_DELAY_SECONDS
        self.refusals: dict[WorkerId, OrderRefusalReason] = {}
        self.misdirected: set[WorkerId] = set()
        self.isolated = False
        self.latency = 0.0
        self.reply_latency = 0.0
        self.timeout = math.inf
        self.connections: dict[WorkerId, tuple[RunWorker, ConnectionId]] = {}
        self.silenced: set[WorkerId] = set()

    async def start(
        self, worker: WorkerEntry, order: RunOrder, permission: OrderPermission
    ) -> OrderOutcome:
        """Start a run."""
        return await self._in_time(self._start(worker, order, permission), self.timeout)

    async def stop(
        self, worker: WorkerEntry, run: RunId, permission: OrderPermission
    ) -> OrderOutcome:
        """Stop a run."""
        return await self._in_time(self._stop(worker, run, permission), self.timeout)

    async def renew_leases(
        self,
        worker: WorkerEntry,
        permission: OrderPermission,
        deadline: float | None,
        acknowledgement: Acknowledgement | None,
        wait: float,
        mode: PollMode = PollMode.ROUTINE,
    ) -> RenewalOutcome:
        """Extend all leases and return the report."""
        name, sequence, peer = worker.worker_id, EndSequence(0), None
        if mode is not PollMode.ROUTINE:
            self.connections.pop(name, None)
            self.silenced.discard(name)
        if acknowledgement is not None:
            sequence = acknowledgement.sequence
        if acknowledgement is not None and acknowledgement.connections is not None:
            peer, number = self.connections.get(name, (None, None))
            if number not in acknowledgement.connections or self._is_gone(name, peer):
                self.connections.pop(name, None)
                return NotSent("no connection that brought a report is open")
        timeout, silence = self.timeout, RESPONSE_TIMEOUT_SECONDS
        if mode is PollMode.QUICK:
            timeout, silence = min(timeout, QUICK_TIMEOUT_SECONDS), QUICK_TIMEOUT_SECONDS
        call = self._renew_leases(worker, permission, deadline, sequence, peer, wait, silence)
        outcome = await self._in_time(call, timeout + wait)
        if isinstance(outcome, tuple):
            state, outcome = outcome
            if isinstance(outcome, RunReport):
                outcome = replace(outcome, connection=self._connection_to(state))
        if isinstance(outcome, NoResponse | IncarnationMismatch):
            self.connections.pop(name, None)
        return outcome

    async def _in_time(self, call: Coroutine[Any, Any, Any], timeout: float) -> Any:
        """Return the outcome of a call, or NoResponse after its timeout."""
        fut = spawn(call)
        if not fut.done() and timeout != math.inf:
            fut = wait_for(self._clock, fut, timeout, NoResponse("no response in time"))
        return await fut

    async def _start(
        self, worker: WorkerEntry, order: RunOrder, permission: OrderPermission
    ) -> OrderOutcome:
        state = await self._reach(worker, permission)
        if not isinstance(state, RunWorker):
            return state
        epoch = permission.epoch
        resources = self._workers.resources_of(order.run)
        if worker.worker_id in self.delayed:
            self._clock.call_later(self.start_delay, lambda: state.start(order, epoch, resources))
            await sleep(self._clock, RESPONSE_TIMEOUT_SECONDS)
            return NoResponse("the start is delayed by an injected fault")
        if worker.worker_id in self.refusals:
            return OrderRefused(self.refusals[worker.worker_id])
        return await self._reply(state.start(order, epoch, resources))

    async def _stop(
        self, worker: WorkerEntry, run: RunId, permission: OrderPermission
    ) -> OrderOutcome:
        state = await self._reach(worker, permission)
        if worker.worker_id in self.refusals:
            return OrderRefused(self.refusals[worker.worker_id])
        if not isinstance(state, RunWorker):
            return state
        return await self._reply(state.stop(run, permission.epoch))

    async def _renew_leases(
        self,
        worker: WorkerEntry,
        permission: OrderPermission,
        deadline: float | None,
        sequence: EndSequence,
        peer: RunWorker | None,
        wait: float,
        silence: float,
    ) -> RenewalOutcome | tuple[RunWorker, RenewalOutcome]:
        """Return the outcome of a poll and, if one responded, the process that did."""
        state = await self._reach(worker, permission, silence)
        if not isinstance(state, RunWorker):
            return state
        if peer not in (None, state):
            return NoResponse("the worker's process ended, and its connections with it")
        outcome = self._execute_renewal(state, permission, deadline, sequence)
        if isinstance(outcome, RunReport) and not outcome.ends and wait > 0:
            await wait_for(self._clock, state.next_end(), wait, None)
            outcome = await self._report_again(worker, permission, state, sequence)
            if not isinstance(outcome, RunReport):
                return outcome
        return state, await self._reply(outcome)

    def _execute_renewal(
        self,
        state: RunWorker,
        permission: OrderPermission,
        deadline: float | None,
        sequence: EndSequence,
    ) -> RenewalOutcome:
        return state.renew_leases(permission.epoch, deadline, sequence)

    async def _report_again(
        self,
        worker: WorkerEntry,
        permission: OrderPermission,
        state: RunWorker,
        sequence: EndSequence,
    ) -> RenewalOutcome:
        """Return the report at the end of a wait, if the same process still answers."""
        reached = await self._reach(worker, permission)
        if not isinstance(reached, RunWorker):
            return reached
        if reached is not state:
            return NoResponse("the worker's process ended during the wait")
        return self._execute_renewal(state, permission, None, sequence)

    async def _reply(self, outcome: Any) -> Any:
        """Return the response of a worker, which a restart of its process does not recall."""
        if self.reply_latency:
            await sleep(self._clock, self.reply_latency)
        return outcome

    def _is_gone(self, name: WorkerId, peer: RunWorker) -> bool:
        """Return whether the end of a connection has been noticed."""
        return peer is not self._workers.workers.get(name) and name not in self.unreachable

    def _connection_to(self, state: RunWorker) -> ConnectionId:
        name = state.entry.worker_id
        if self.connections.get(name, (None,))[0] is not state:
            self.connections[name] = (state, ConnectionId(next(_connection_numbers)))
        return self.connections[name][1]

    async def _reach(
        self,
        worker: WorkerEntry,
        permission: OrderPermission,
        silence: float = RESPONSE_TIMEOUT_SECONDS,
    ) -> RunWorker | OrderOutcome:
        """Return the worker's process, or NoResponse ``silence`` seconds after a call is lost."""
        if self._clock.now() >= permission.valid_until:
            return NoResponse("the request expired before it was sent", sent=False)
        if (latency := self.latency) > 0:
            # A connection is opened before the timeout, and ends with the worker's process.
            connect = min(latency, self.timeout)
            await sleep(self._clock, connect)
            peer = self._workers.workers.get(worker.worker_id)
            if latency > connect:
                await sleep(self._clock, latency - connect)
                if peer is not self._workers.workers.get(worker.worker_id):
                    return NoResponse("the worker's process ended before it executed the call")
        if worker.worker_id in self.refusing:
            return NoResponse("connection refused", sent=False)
        state = self._workers.workers.get(worker.worker_id)
        is_cut_off = worker.worker_id in self.unreachable | self.silenced or self.isolated
        if state is None or is_cut_off:
            await sleep(self._clock, silence)
            return NoResponse("the worker is unreachable", sent=False)
        if worker.worker_id in self.misdirected or worker.address != state.entry.address:
            return IncarnationMismatch()
        # Orders name the worker by its id, which its next incarnation may have, too.
        return state


def make_worker_entry(
    name: str,
    *,
    rack: str = "r1",
    capacity: Resources | None = None,
    incarnation: int = 1,
    **fields,
) -> WorkerEntry:
    """Return the entry of a ready worker of the service ``pool``."""
    values = {
        "worker_id": name,
        "service": "pool",
        "address": "127.0.0.1:1",
        "domain": fields.pop("domain", "zarcero"),
        "incarnation": Incarnation(incarnation),
        "status": fields.pop("status", "ready"),
        "capacity": msgspec.to_builtins(capacity or Resources(32_000, 131_072, 8)),
        "rack": rack,
        **fields,
    }
    return msgspec.convert(values, WorkerEntry)
