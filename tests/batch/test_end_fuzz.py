"""Random faults around the ends of runs and their acknowledgements.

A seed decides everything, so ``python -m tests.batch.test_end_fuzz --first SEED --seeds 1`` with
``PYTHONHASHSEED=0`` plays it again.
"""

from __future__ import annotations

import argparse
import sys
import unittest
from collections import defaultdict
from contextlib import nullcontext
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import msgspec

from chivefall.batch import (
    BatchJob,
    BatchOperation,
    BatchRequest,
    BatchSpec,
    EndKind,
    Incarnation,
    JobState,
    Resources,
    RunId,
    StepSpec,
    Submission,
    TaskState,
    decode_job_state,
    restore_progress,
)
from chivefall.config import PlatformBounds
from chivefall.model import Accepted, Epoch, JobId, WorkerId
from chivefall.runtime import ManualClock, sleep
from chivefall.store import BatchPart, batch_key
from chivefall.workers import NoResponse, PollMode, RunReport
from standins.run_history import repeated_runs, run_spans
from standins.run_workers import (
    RESPONSE_TIMEOUT_SECONDS,
    Gangs,
    MemoryRunClient,
    RunWorker,
)
from tests.batch.deployment import ACCOUNT, KEY, NORMAL, Deployment, Instance
from tests.batch.instance_log import instance_log

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from typing import Any, TextIO

    from chivefall.batch import BatchOutcome, EndSequence
    from chivefall.runtime import Future
    from chivefall.workers import RunEnd
    from standins.run_history import RunSpan

SEEDS_IN_CI = 50
CALM_SEEDS_IN_CI = 10
# 2489: the stand-in passed a start on that was sent while another worker had the address.
# 3474: an entry that waited for a report was lost with the worker's session.
REGRESSION_SEEDS = (2489, 3474)
MAX_RUN_LEASE_SECONDS = 3.0
GANG_WAIT_SECONDS = 3.0
STOP_GRACE_SECONDS = 0.4
STATUS_RETENTION_SECONDS = 4.0  # short, so that jobs are removed while ends of them are listed
BOUNDS = PlatformBounds(
    max_run_lease_ms=1000 * MAX_RUN_LEASE_SECONDS,
    gang_wait_ms=1000 * GANG_WAIT_SECONDS,
    stop_grace_ms=1000 * STOP_GRACE_SECONDS,
    status_retention=STATUS_RETENTION_SECONDS,
)
CALL_TIMEOUT_SECONDS = 0.8
CONNECT_SECONDS = 0.05  # until a connection to a process that ended is refused
CALLER_SECONDS = 3.0  # for which callers wait
FAULT_SECONDS = (10.0, 18.0)  # shortest and longest time with faults
RECOVERY_SECONDS = 60.0  # time without faults after which all jobs have to be completed
RUN_SECONDS = (0.05, 0.4)  # shortest and longest run of a task
ORDER_SLACK_SECONDS = 1.0  # after the acknowledgement of a success, for orders under way
CONTACT_SECONDS = 3.0  # without faults before a listed end counts as acknowledged
LISTED_SECONDS = 0.1  # without faults after it
CALM_SECONDS = (3.2, 5.0)  # shortest and longest time between times with faults
STORM_SECONDS = (0.1, 1.5)  # shortest and longest time in which faults begin
CALM_PLAY_SECONDS = 25.0  # until the faults end
MAX_DELAY_SECONDS = 4.0  # of a call or a write by any of the faults
MAX_INSTANCES = 3
LISTED_ENDS = (2, 3, 5, 500)
ACCELERATORS = (1, 4, 8)
USUAL_LATENCIES_SECONDS = (0.0, 0.002, 0.02)


class ObservedRunClient(MemoryRunClient):
    """Run client that checks each acknowledgement at the moment when a worker executes it."""

    def __init__(self, play: Play) -> None:
        super().__init__(play.sut.workers)
        self._play = play
        self._shown: dict[tuple[Epoch, WorkerId, Incarnation], set[EndSequence]]
        self._shown = defaultdict(set)
        self.timeout = CALL_TIMEOUT_SECONDS
        self.usual_latency = play.random.choice(USUAL_LATENCIES_SECONDS)
        self.latency = self.reply_latency = self.usual_latency

    async def start(self, worker, order, permission):
        """Start a run."""
        self._play.ordered_at.setdefault(order.run, self._clock.now())
        return await super().start(worker, order, permission)

    async def renew_leases(
        self, worker, permission, deadline, acknowledgement, wait, mode=PollMode.ROUTINE
    ):
        """Extend all leases and return the report."""
        outcome = await super().renew_leases(
            worker, permission, deadline, acknowledgement, wait, mode
        )
        if isinstance(outcome, RunReport):
            shown = self._shown[permission.epoch, worker.worker_id, outcome.incarnation]
            shown.update(end.sequence for end in outcome.ends)
        return outcome

    def _execute_renewal(self, state, permission, deadline, sequence):
        if not state.crashed and permission.epoch >= state.highest_epoch:
            entry = state.entry
            shown = self._shown[permission.epoch, entry.worker_id, entry.incarnation]
            for end in state.ends:
                if end.sequence <= sequence:
                    self._play.check_acknowledged(state, end, is_shown=end.sequence in shown)
        outcome = super()._execute_renewal(state, permission, deadline, sequence)
        if isinstance(outcome, RunReport):
            self._play.record_listed(outcome.ends)
        return outcome

    async def _reach(self, worker, permission, silence=RESPONSE_TIMEOUT_SECONDS):
        state = await super()._reach(worker, permission, silence)
        if isinstance(state, RunWorker) and state.crashed:
            await sleep(self._clock, CONNECT_SECONDS)
            return NoResponse("connection refused", sent=False)
        return state


class EndDeployment(Deployment):
    """A deployment whose clients are observed and whose workers have short runs."""

    def __init__(self, play: Play, instances: int, workers: int) -> None:
        self._play = play
        play.sut = self
        super().__init__(instances, workers, bounds=BOUNDS, clock=play.clock)

    def make_client(self) -> MemoryRunClient:
        """Return the run client of a new instance."""
        if self.workers.gangs is None:
            self.workers.gangs = Gangs(self.clock, self._gang_size, GANG_WAIT_SECONDS)
            for worker in self.workers.workers.values():
                worker.gangs = self.workers.gangs
        return ObservedRunClient(self._play)

    def _gang_size(self, run: RunId) -> int:
        step = self.specs[run.job].steps[run.task.step]
        return step.count if step.gang else 1


class Play:
    """One run of a seed: a deployment, random faults and the violations that were seen."""

    sut: EndDeployment

    def __init__(self, seed: int, clock: ManualClock) -> None:
        self.random = Random(seed)
        self.clock = clock
        self.violations: list[str] = []
        self.ordered_at: dict[RunId, float] = {}
        self._pending: dict[int, Callable[[], None]] = {}
        self._submitted: dict[JobId, Future[BatchOutcome]] = {}
        self._completed: set[JobId] = set()
        self._cancelled: set[JobId] = set()
        self._incarnation = 1
        self._disturbed_until = clock.now()
        self._listed_at: dict[RunId, float] = {}
        self._moving: set[WorkerId] = set()
        self._moves = 0
        self._listed_ends = self.random.choice(LISTED_ENDS)
        EndDeployment(self, self.random.randint(2, MAX_INSTANCES), self.random.randint(1, 4))
        for worker in self.sut.workers.workers.values():
            self._set_up(worker)
        self.names = sorted(self.sut.workers.workers)

    def play(self) -> list[str]:
        """Play faults, let them end, wait for the jobs and return the violations."""
        self._play_faults()
        self._end_faults()
        self._wait_for_jobs()
        self._wait_for_acknowledgements()
        spans = run_spans(self.sut.workers.histories())
        return [
            *self.violations,
            *sorted(set(repeated_runs(spans))),
            *self._late_orders(spans),
            *self._starts_after_listed_ends(spans),
        ]

    def _play_faults(self) -> None:
        actions = [action for action, weight in self._actions() for _ in range(weight)]
        end = self.sut.clock.now() + self.random.uniform(*FAULT_SECONDS)
        while self.sut.clock.now() < end:
            self._act(self.random.choice(actions))
            self.sut.run(self.random.uniform(0.02, 0.4))
            self._record_completed()

    def _act(self, action: Callable[[], None]) -> None:
        """Perform an action, and record that it disturbs unless it is a request of a caller."""
        action()
        if action not in (self.submit, self.cancel):
            self._record_disturbance(0.0)

    def _record_disturbance(self, seconds: float) -> None:
        """Record that a fault has an effect for some seconds from now."""
        self._disturbed_until = max(self._disturbed_until, self.sut.clock.now() + seconds)

    def _is_disturbed(self) -> bool:
        """Return whether a fault has an effect on any instance now."""
        return bool(self._pending) or any(item.store.lose_replies for item in self._running())

    def _actions(self) -> list[tuple[Callable[[], None], int]]:
        return [
            (self.submit, 14),
            (self.cancel, 1),
            (self.restart_worker, 6),
            (self.stop_worker, 2),
            (self.replace_worker, 2),
            (self.relist_worker, 3),
            (self.kill_leader, 1),
            (self.cut_store, 1),
            (self.lose_replies, 3),
            (self.refuse_writes, 2),
            (self.delay_writes, 3),
            (self.delay_calls, 4),
            (self.delay_responses, 4),
            (self.delay_starts, 2),
            (self.cut_worker, 3),
            (self.cut_all_workers, 1),
        ]

    # Jobs

    def submit(self) -> None:
        """Submit a job at any instance."""
        number = len(self._submitted)
        name = f"{number:016x}"
        gang = self.random.random() < 0.3
        accelerators = 2 if gang else self.random.choice(ACCELERATORS)
        resources = Resources(1000, 1000, accelerators)
        run_time = sum(RUN_SECONDS) / 2
        count = self.random.randint(2, 3) if gang else self.random.randint(1, 6)
        steps = [StepSpec(count, resources, run_time, gang=gang)]
        if self.random.random() < 0.2:
            steps.append(StepSpec(1, resources, run_time, after=(0,)))
        spec = BatchSpec("payload", tuple(steps))
        self.sut.specs[JobId(name)] = spec
        self._submitted[JobId(name)] = self._call(BatchOperation.SUBMIT, name, spec)

    def cancel(self) -> None:
        """Cancel a job, which may have ended or be unknown."""
        if self._submitted:
            name = self.random.choice(sorted(self._submitted))
            self._cancelled.add(name)
            self._call(BatchOperation.CANCEL, name)

    def _call(
        self, operation: BatchOperation, name: str, spec: BatchSpec | None = None
    ) -> Future[BatchOutcome]:
        now = self.sut.clock.now()
        req = BatchRequest(
            operation, "host", NORMAL.prefix + name, now, now + CALLER_SECONDS, KEY, spec
        )
        instance = self.random.choice(self._running())
        return instance.request(req)

    # Faults of workers

    def restart_worker(self) -> None:
        """Restart a worker under its id; its entry follows at once, later or not at all."""
        worker = self._any_worker()
        if worker.crashed:
            return
        self._start_incarnation(worker.entry.worker_id)
        self._list_eventually(worker.entry.worker_id)

    def stop_worker(self) -> None:
        """End a worker's process and start it again later."""
        worker = self._any_worker()
        if worker.crashed:
            return
        worker.crash()

        def restart() -> None:
            self._start_incarnation(worker.entry.worker_id)
            self._list_eventually(worker.entry.worker_id)

        self._later(self.random.uniform(0.1, 4.0), restart)

    def replace_worker(self) -> None:
        """Let another worker answer at the address of one that ended and starts elsewhere."""
        worker = self._any_worker()
        name = worker.entry.worker_id
        if worker.crashed or name in self._moving:
            return
        worker.crash()
        self._moving.add(name)
        for item in self._running():
            item.client.misdirected.add(name)

        def list_at_new_address() -> None:
            self._moving.discard(name)
            self.sut.list_worker(self.sut.worker(name))

        def restart() -> None:
            for item in self.sut.instances:
                item.client.misdirected.discard(name)
            self._moves += 1
            self._start_incarnation(name, f"127.0.0.2:{self._moves}")
            self._later(self.random.choice((0.0, 0.5, 2.0)), list_at_new_address)

        self._later(self.random.uniform(0.1, 2.0), restart)

    def relist_worker(self) -> None:
        """Delete a worker's entry for a while."""
        worker = self._any_worker()
        self.sut.delete(f"servers/{worker.entry.worker_id}")
        self._later(
            self.random.choice((0.02, 0.3, 2.0)),
            lambda: self._list(worker.entry.worker_id),
        )

    def cut_worker(self) -> None:
        """Cut a worker off from one instance or from all."""
        name = self._any_worker().entry.worker_id
        running = self._running()
        instances = running if self.random.random() < 0.5 else [self.random.choice(running)]
        self._cut(instances, [name], self.random.choice((0.1, 0.5, 1.5, 5.0)))

    def cut_all_workers(self) -> None:
        """Cut all workers off for longer than their leases."""
        self._cut(self._running(), self.names, self.random.uniform(2.0, 6.0))

    def _cut(self, instances: list[Instance], names: list[str], seconds: float) -> None:
        for item in instances:
            item.client.unreachable.update(names)

        def restore() -> None:
            for item in instances:
                item.client.unreachable.difference_update(names)

        self._later(seconds, restore)

    def delay_starts(self) -> None:
        """Let a worker execute starts late and without a response."""
        name = self._any_worker().entry.worker_id
        clients = [item.client for item in self._running()]
        for client in clients:
            client.delayed.add(name)
            client.start_delay = self.random.uniform(0.2, 4.0)

        def restore() -> None:
            for client in clients:
                client.delayed.discard(name)

        self._later(self.random.uniform(0.2, 2.0), restore)

    def delay_calls(self) -> None:
        """Let calls of an instance arrive late, also after their timeout."""
        client = self.random.choice(self._running()).client
        client.latency = self.random.choice((0.02, 0.1, 0.3, 0.6, 1.5, 3.0))

        def restore() -> None:
            client.latency = client.usual_latency

        self._later(self.random.uniform(0.3, 3.0), restore)

    def delay_responses(self) -> None:
        """Let responses of workers arrive late, also after the timeout of their calls."""
        client = self.random.choice(self._running()).client
        client.reply_latency = self.random.choice((0.02, 0.1, 0.3, 0.6, 1.5))

        def restore() -> None:
            client.reply_latency = client.usual_latency

        self._later(self.random.uniform(0.3, 3.0), restore)

    # Faults of instances and of the store

    def kill_leader(self) -> None:
        """Kill the leader and start another instance."""
        running = self._running()
        leaders = [item for item in running if item.leads]
        if leaders and len(running) > 1:
            self.random.choice(leaders).kill()
            added = self.sut.add_instance(f"i{len(self.sut.instances)}")
            # What all instances see of a worker's address does not depend on the instance.
            added.client.misdirected |= running[0].client.misdirected

    def cut_store(self) -> None:
        """Cut an instance off from the store."""
        store = self.random.choice(self._running()).store
        store.down = True
        self._later(self.random.uniform(0.2, 5.0), lambda: self._restore_store(store))

    def lose_replies(self) -> None:
        """Lose replies to writes that take effect."""
        self.random.choice(self._running()).store.lose_replies = self.random.randint(1, 3)

    def refuse_writes(self) -> None:
        """Refuse writes."""
        faults = self.random.choice(self._running()).store.faults
        faults.refuse_writes = True
        self._later(self.random.uniform(0.1, 1.5), lambda: setattr(faults, "refuse_writes", False))

    def delay_writes(self) -> None:
        """Let writes take effect late, also after later ones."""
        faults = self.random.choice(self._running()).store.faults
        faults.write_delay = self.random.choice((0.1, 0.4, 0.9, 1.5, 3.0))
        self._later(self.random.uniform(0.1, 2.0), lambda: setattr(faults, "write_delay", 0.0))

    def _restore_store(self, store) -> None:
        if not any(item.store is store and item.client.isolated for item in self.sut.instances):
            store.down = False

    # End of the faults

    def _end_faults(self) -> None:
        while self._pending:
            self._pending.pop(min(self._pending))()
        self._record_disturbance(MAX_DELAY_SECONDS)
        for item in self._running():
            item.store.lose_replies = 0
        for name in self.names:
            self._list(name)

    def _wait_for_jobs(self) -> None:
        self.sut.run(CALLER_SECONDS + 1.0)
        accepted = [
            name
            for name, fut in self._submitted.items()
            if fut.done() and isinstance(fut.result(), Accepted)
        ]
        end = self.sut.clock.now() + RECOVERY_SECONDS
        while self.sut.clock.now() < end:
            self._record_completed()
            accepted = [name for name in accepted if not self._is_final(name)]
            if not accepted:
                return
            self.sut.run(1.0)
        self.violations += [f"{name} was accepted and does not complete" for name in accepted]

    def _wait_for_acknowledgements(self) -> None:
        """Wait until the workers list no ends, which the leader would else be told of for ever."""
        workers = self.sut.workers.workers.values()
        end = self.sut.clock.now() + RECOVERY_SECONDS
        while any(worker.ends for worker in workers) and self.sut.clock.now() < end:
            self.sut.run(0.5)
        for worker in workers:
            for item in worker.ends:
                self._report(f"the end of {item.run} ({item.kind.value}) is never acknowledged")

    def _record_completed(self) -> None:
        """Record the jobs that are completed, whose records are removed after a while."""
        for name in self._submitted:
            if name not in self._completed and self._state_of(name) is JobState.COMPLETED:
                self._completed.add(name)

    def _is_final(self, name: JobId) -> bool:
        is_cancelled = self._state_of(name) is JobState.CANCELLED or self._is_removed(name)
        return name in self._completed or (name in self._cancelled and is_cancelled)

    def _is_removed(self, name: JobId) -> bool:
        return self.sut.state.get(batch_key(name, BatchPart.SPEC)) is None

    def _state_of(self, name: JobId) -> JobState | None:
        """Return the recorded state of a job, or None if it has no record of its progress."""
        item = self.sut.state.get(batch_key(name, BatchPart.PROGRESS))
        return None if item is None else decode_job_state(item.value)

    # Checks

    def check_acknowledged(self, worker: RunWorker, end: RunEnd, *, is_shown: bool) -> None:
        """Check that an end that is being acknowledged was reported and is recorded."""
        text = f"end {end.sequence} of {worker.entry.worker_id} ({end.run} {end.kind.value})"
        if not is_shown:
            self._report(f"{text} was acknowledged by an instance that no report had shown it")
        if self._is_removed(end.run.job) and end.run.job in self._completed | self._cancelled:
            return
        job = BatchJob(
            Submission(end.run.job, NORMAL, ACCOUNT.name, 0.0, self.sut.specs[end.run.job]), 1
        )
        item = self.sut.state.get(batch_key(end.run.job, BatchPart.PROGRESS))
        if item is not None:
            restore_progress(job, item.value)
        task = job.task(end.run.task)
        is_recorded = task.last_run_number >= end.run.number and (
            task.assignment is None or task.assignment.number != end.run.number
        )
        if end.kind is EndKind.DONE:
            is_recorded = is_recorded and task.state is TaskState.DONE
        if not is_recorded:
            self._report(f"{text} was acknowledged before it was recorded")

    def _late_orders(self, spans: list[RunSpan]) -> Iterator[str]:
        """Yield a message for each run ordered after the acknowledgement of a success.

        This holds also if the lease of the worker expired before the acknowledgement.
        """
        done_at: dict[tuple, float] = {}
        for span in spans:
            if span.kind == "done" and span.acknowledged_at is not None:
                key = (span.run.job, span.run.task)
                done_at[key] = min(span.acknowledged_at, done_at.get(key, span.acknowledged_at))
        for run, ordered_at in self.ordered_at.items():
            limit = done_at.get((run.job, run.task), float("inf")) + ORDER_SLACK_SECONDS
            if ordered_at > limit:
                yield f"{run} was ordered after a success of its task was acknowledged"

    def record_listed(self, ends: tuple[RunEnd, ...]) -> None:
        """Record ends that a worker lists in a response, if nothing disturbs it."""
        sent_at = self.sut.clock.now()
        if self._is_disturbed():
            self._record_disturbance(0.0)
        done = [end.run for end in ends if end.kind is EndKind.DONE]
        if not done or self._disturbed_until > sent_at - CONTACT_SECONDS:
            return

        def record() -> None:
            if self._disturbed_until <= sent_at - CONTACT_SECONDS and not self._is_disturbed():
                for run in done:
                    self._listed_at.setdefault(run, sent_at)

        self.sut.clock.call_later(LISTED_SECONDS, record)

    def _starts_after_listed_ends(self, spans: list[RunSpan]) -> Iterator[str]:
        """Yield a message for each run that starts after the success of another was listed.

        In undisturbed time the response reaches the leader, so such an end counts as
        acknowledged even if the worker never gets the acknowledgement.
        """
        listed_at: dict[tuple, float] = {}
        for run, time in self._listed_at.items():
            key = (run.job, run.task)
            listed_at[key] = min(time, listed_at.get(key, time))
        for span in spans:
            if span.begin > listed_at.get((span.run.job, span.run.task), float("inf")):
                yield f"{span.run} started after a success of its task was listed undisturbed"

    def _report(self, text: str) -> None:
        self.violations.append(f"{self.sut.clock.now():.2f}: {text}")

    # Helpers

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        """Perform an action after some time, or at the end of the faults."""
        number = max(self._pending, default=0) + 1
        self._pending[number] = action

        def act() -> None:
            if self._pending.get(number) is action:
                del self._pending[number]
                action()
                # Calls and writes that were delayed meanwhile may still be under way.
                self._record_disturbance(MAX_DELAY_SECONDS)

        self.sut.clock.call_later(seconds, act)

    def _running(self) -> list[Instance]:
        return [item for item in self.sut.instances if not item.client.isolated]

    def _any_worker(self) -> RunWorker:
        return self.sut.worker(self.random.choice(self.names))

    def _start_incarnation(self, name: WorkerId, address: str | None = None) -> None:
        self._incarnation += 1
        entry = self.sut.worker(name).entry
        incarnation = Incarnation(self._incarnation)
        entry = replace(entry, incarnation=incarnation, address=address or entry.address)
        worker = self.sut.workers.add(entry)
        self._set_up(worker)

    def _set_up(self, worker: RunWorker) -> None:
        worker.run_seconds = self.random.uniform(*RUN_SECONDS)
        worker.stop_seconds = self.random.choice((0.0, STOP_GRACE_SECONDS / 2))
        worker.max_lease = MAX_RUN_LEASE_SECONDS
        worker.max_listed_ends = self._listed_ends

    def _list_eventually(self, name: WorkerId) -> None:
        kind = self.random.random()
        if kind < 0.3:
            self._list(name)
        elif kind < 0.8:
            self._later(self.random.uniform(0.05, 4.0), lambda: self._list(name))

    def _list(self, name: WorkerId) -> None:
        """Write the entry of a worker whose process runs."""
        if not self.sut.worker(name).crashed:
            self.sut.list_worker(self.sut.worker(name))


class CalmPlay(Play):
    """A run of a seed with undisturbed times, in which jobs run, between short times with faults.

    The faults of :class:`Play` follow each other so closely that no time is undisturbed.
    """

    def _play_faults(self) -> None:
        faults = [action for action, weight in self._actions() for _ in range(weight)]
        end = self.sut.clock.now() + CALM_PLAY_SECONDS
        while self.sut.clock.now() < end:
            self._play_for(self.random.uniform(*CALM_SECONDS), [self.submit], 0.4)
            # Faults may last, and the next undisturbed time begins after the last of them.
            self._play_for(self.random.uniform(*STORM_SECONDS), faults, 0.2)
            for item in self._running():
                item.store.lose_replies = 0  # An instance that does not write would keep it.
            while self._is_disturbed() or self.sut.clock.now() < self._disturbed_until:
                self.sut.run(0.2)
                self._record_completed()

    def _play_for(
        self, seconds: float, actions: list[Callable[[], None]], longest_pause: float
    ) -> None:
        end = self.sut.clock.now() + seconds
        while self.sut.clock.now() < end:
            self._act(self.random.choice(actions))
            self.sut.run(self.random.uniform(0.02, longest_pause))
            self._record_completed()


def play(seed: int, log: TextIO | None = None, kind: type[Play] = Play) -> list[str]:
    """Return the violations that a seed shows, and write the log of the instances to ``log``."""
    clock = ManualClock()
    if log is None:
        return kind(seed, clock).play()

    def write(message: dict[str, Any]) -> None:
        line = msgspec.json.encode({**message, "seed": seed}, enc_hook=repr)
        log.write(line.decode() + "\n")

    with instance_log(write, clock):
        return kind(seed, clock).play()


class EndFuzz(unittest.TestCase):
    def test_seeds(self) -> None:
        """Guards against a task that runs again after its end was acknowledged."""
        for seed in (*range(1, SEEDS_IN_CI + 1), *REGRESSION_SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(play(seed), [])

    def test_calm_seeds(self) -> None:
        """Guards against a task that runs again after the leader was told of its success."""
        for seed in range(1, CALM_SEEDS_IN_CI + 1):
            with self.subTest(seed=seed):
                self.assertEqual(play(seed, kind=CalmPlay), [])


def main() -> int:
    """Play seeds, print the violations and return 1 if there are any."""
    parser = argparse.ArgumentParser(description="Play seeds of the test by hand.")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=2000, help="number of seeds")
    parser.add_argument("--stop", action="store_true", help="stop at the first seed that fails")
    parser.add_argument("--calm", action="store_true", help="play with undisturbed times")
    parser.add_argument("--log", help="file for the log of the instances")
    args = parser.parse_args()
    with nullcontext() if args.log is None else Path(args.log).open("a", encoding="utf-8") as log:
        failed = _play_seeds(args, log)
    return 1 if failed else 0


def _play_seeds(args: argparse.Namespace, log: TextIO | None) -> int:
    """Play the seeds, print what they show and return the number of those that failed."""
    failed = 0
    for seed in range(args.first, args.first + args.seeds):
        violations = play(seed, log, CalmPlay if args.calm else Play)
        failed += bool(violations)
        for text in violations:
            print(f"seed {seed}: {text}", flush=True)
        if violations and args.stop:
            break
    print(f"{failed} seeds failed of {seed - args.first + 1}")
    return failed


if __name__ == "__main__":
    sys.exit(main())
