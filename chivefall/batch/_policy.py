"""Which waiting tasks start where, and which runs are stopped for others."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from chivefall.batch._job import BatchJob, Task, TaskState
from chivefall.batch._model import (
    Incarnation,
    Queue,
    RunId,
    StepSpec,
    TaskKey,
)
from chivefall.batch._placement import Rooms, by_rack, place_gang, place_some, rack_capacity, take
from chivefall.model import WorkerId

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from chivefall.batch._fleet import Fleet, Worker
    from chivefall.batch._model import (
        Resources,
    )
    from chivefall.model import RackId

__all__ = ["BatchPolicy", "Candidate", "DeadlinePolicy", "Plan", "Start", "chain_seconds"]

URGENT_PRIORITY = 0
MAX_RESERVATIONS = 4  # blocked gangs that keep room in one round; more would idle the fleet
REMOTE_FACTOR = 3.0  # run time away from the data or over several racks, against near
ACCELERATOR_CORES = 8  # cores that one accelerator counts as when work is compared
LATE_FACTOR = 3.0  # a job that takes longer than this times its objective has no value
CHECKPOINT_LOSS_S = 1.0  # seconds of work that a stop loses although the task checkpoints


@dataclass(frozen=True)
class Start:
    """Tasks of one group that start together."""

    job: BatchJob
    places: tuple[tuple[TaskKey, WorkerId, Incarnation], ...]


@dataclass
class Plan:
    """What a round decided.

    Attributes
    ----------
    stops : list of RunId
        Runs that give way to urgent tasks.
    """

    starts: list[Start] = field(default_factory=list)
    stops: list[RunId] = field(default_factory=list)


@dataclass(frozen=True)
class Candidate:
    """A job that may have tasks to start, with its queue."""

    job: BatchJob
    queue: Queue


def chain_seconds(job: BatchJob) -> float:
    """Return the declared run time of the longest chain of steps, in seconds."""
    ends: list[float] = []
    for step in job.submission.spec.steps:
        begin = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(begin + step.run_time)
    return max(ends, default=0.0)


class BatchPolicy(ABC):
    """Decides what a scheduling round does."""

    @abstractmethod
    def plan(self, candidates: Iterable[Candidate], fleet: Fleet, now: float) -> Plan:
        """Return the starts and stops of one round at the time ``now``."""


@dataclass
class _Group:
    """Waiting tasks of one step in one occurrence."""

    job: BatchJob
    queue: Queue
    step: StepSpec
    occurrence: int
    tasks: list[Task]
    due: float

    @property
    def urgent(self) -> bool:
        return self.queue.priority == URGENT_PRIORITY

    def latest_start(self) -> float:
        """Return when the group has to start to complete in time."""
        return self.due - self.step.run_time


class DeadlinePolicy(BatchPolicy):
    """Urgent queues first, then the group that has to start soonest.

    A gang that does not fit keeps the room of the rack that suits it best, so
    that tasks behind it do not take what becomes free. An urgent group that does
    not fit stops the runs whose loss is smallest.
    """

    def plan(self, candidates: Iterable[Candidate], fleet: Fleet, now: float) -> Plan:
        """Return the starts and stops of one round at the time ``now``."""
        return _Round(fleet, now).run(candidates)


class _Round:
    """The working state of one round."""

    def __init__(self, fleet: Fleet, now: float) -> None:
        self._fleet = fleet
        self._now = now
        self._free: dict[WorkerId, Resources] = {
            name: worker.free for name, worker in fleet.workers.items()
        }
        self._plan = Plan()
        self._reservations = 0
        self._jobs: dict[str, BatchJob] = {}
        self._stopping: set[RunId] = set()

    def run(self, candidates: Iterable[Candidate]) -> Plan:
        """Return the plan of the round."""
        found = list(candidates)
        self._jobs = {item.job.job_id: item.job for item in found}
        self._stopping = {
            run
            for worker in self._fleet.workers.values()
            for run in worker.placed
            if self._gives_way_already(run)
        }
        for group in sorted(self._groups(found), key=self._order):
            self._place(group)
        return self._plan

    def _gives_way_already(self, run: RunId) -> bool:
        job = self._jobs.get(run.job)
        task = job.task(run.task) if job is not None else None
        return task is None or task.stopping or task.assignment is None

    def _groups(self, candidates: Sequence[Candidate]) -> list[_Group]:
        groups = []
        for item in candidates:
            job, spec = item.job, item.job.submission.spec
            for occurrence, number in job.ready_groups(self._now):
                step, tasks = spec.steps[number], job.group(occurrence, number)
                waiting = [task for task in tasks if task.state is TaskState.WAITING]
                if step.gang and len(waiting) < len(tasks):
                    continue  # Members of an earlier run have not ended yet.
                begin = max(job.submission.submitted_at, spec.due_at(occurrence))
                objective = item.queue.stretch * chain_seconds(job) + item.queue.target_latency
                groups.append(_Group(job, item.queue, step, occurrence, waiting, begin + objective))
        return groups

    def _order(self, group: _Group) -> tuple:
        objective = group.due - group.job.submission.submitted_at
        worthless = self._now > group.due + (LATE_FACTOR - 1.0) * objective
        return (not group.urgent, worthless, group.latest_start(), group.job.job_id)

    def _place(self, group: _Group) -> None:
        workers = self._fleet.usable(group.step, group.queue.service, self._now)
        # A second failure on another worker tells a bad task from a bad worker.
        others = [item for item in workers if item.worker_id not in group.job.failed_on]
        workers = others or workers
        if not workers:
            return
        rooms = Rooms(self._free, self._step_counts(group, workers))
        near_only = self._waits_for_near(group, workers)
        if group.step.gang:
            chosen = place_gang(workers, group.step, len(group.tasks), rooms, near_only=near_only)
        else:
            chosen = place_some(workers, group.step, len(group.tasks), rooms, near_only=near_only)
        if chosen:
            places = tuple(
                (task.key, worker.worker_id, worker.entry.incarnation)
                for task, worker in zip(group.tasks, chosen, strict=False)
            )
            self._plan.starts.append(Start(group.job, places))
        missing = len(group.tasks) - len(chosen or ())
        if missing and (group.urgent or group.step.gang):
            self._make_room(group, workers, missing)

    def _step_counts(self, group: _Group, workers: Sequence[Worker]) -> dict[WorkerId, int]:
        if not group.step.max_per_worker:
            return {}
        key = (group.job.job_id, group.occurrence, group.tasks[0].key.step)
        return {
            worker.worker_id: sum(
                (run.job, run.task.occurrence, run.task.step) == key for run in worker.placed
            )
            for worker in workers
        }

    def _waits_for_near(self, group: _Group, workers: Sequence[Worker]) -> bool:
        """Return whether the group should wait rather than run slowly away from its rack."""
        step = group.step
        capacity = rack_capacity(workers, step)
        if step.gang and step.same_rack:
            racks = [step.data_rack] if step.data_rack is not None else list(capacity)
            if not any(capacity.get(rack, 0) >= len(group.tasks) for rack in racks):
                return False
        elif step.data_rack is not None and not capacity.get(step.data_rack):
            return False
        waited = self._now - max(
            group.job.submission.submitted_at,
            group.job.submission.spec.due_at(group.occurrence),
        )
        return waited < (REMOTE_FACTOR - 1.0) * max(step.run_time, 1.0)

    def _make_room(self, group: _Group, workers: Sequence[Worker], missing: int) -> None:
        """Keep room for a blocked group; an urgent one stops runs if that is not enough."""
        rack = self._best_rack(group, workers, missing)
        if rack is None:
            return
        members = by_rack(workers)[rack] if rack else list(workers)
        rooms = Rooms(self._free, {})
        future = {
            worker.worker_id: self._free[worker.worker_id] + self._leaving_room(worker)
            for worker in members
        }
        if group.urgent:
            self._stop_for(group, members, missing, future)
        elif self._reservations >= MAX_RESERVATIONS:
            return
        self._reservations += 1
        left = missing
        for worker in sorted(members, key=lambda item: item.worker_id):
            # The room of runs that go on is promised as well, so that it is not filled again.
            whole = worker.entry.capacity.count_of(group.step.room)
            count = min(left, whole)
            if count:
                take(rooms, worker, group.step, count)
                left -= count
            if not left:
                break

    def _leaving_room(self, worker: Worker) -> Resources:
        total = worker.used - worker.used
        for run, placed in worker.placed.items():
            if run in self._stopping:
                total += placed.room
        return total

    def _best_rack(
        self, group: _Group, workers: Sequence[Worker], missing: int
    ) -> RackId | str | None:
        """Return the rack to wait for, "" for all workers, or None if none is large enough."""
        capacity = rack_capacity(workers, group.step)
        if group.step.data_rack is not None and capacity.get(group.step.data_rack, 0) >= missing:
            return group.step.data_rack
        racks = [rack for rack, count in capacity.items() if count >= missing]
        if not racks or not group.step.gang:
            return "" if sum(capacity.values()) >= missing else None
        grouped = by_rack(workers)
        return min(racks, key=lambda rack: (self._occupied(group, grouped[rack]), rack))

    def _occupied(self, group: _Group, members: Sequence[Worker]) -> float:
        """Return the work that has to end before the group fits, as a measure to compare."""
        slots = sum(
            (self._free[worker.worker_id] + self._leaving_room(worker)).count_of(group.step.room)
            for worker in members
        )
        loss = sum(
            self._loss(run)
            for worker in members
            for run in worker.placed
            if run not in self._stopping
        )
        return loss / (1.0 + slots)

    def _loss(self, run: RunId) -> float:
        """Return the core-seconds that stopping a run would lose."""
        job = self._jobs.get(run.job)
        task = job.task(run.task) if job is not None else None
        if task is None:
            return 0.0
        step = job.step_of(run.task)
        seconds = max(0.0, self._now - task.started_at)
        if step.checkpointed:
            seconds = min(seconds, CHECKPOINT_LOSS_S)
        cores = step.room.cpu / 1000 + ACCELERATOR_CORES * step.room.accelerators
        members = step.count if step.gang else 1
        return seconds * cores * members

    def _stop_for(
        self,
        group: _Group,
        members: Sequence[Worker],
        missing: int,
        future: dict[WorkerId, Resources],
    ) -> None:
        """Plan stops of less urgent runs until the group fits on the workers given."""
        victims = sorted(
            (
                (self._loss(run), run, worker, placed.room)
                for worker in members
                for run, placed in worker.placed.items()
                if placed.priority > group.queue.priority and run not in self._stopping
            ),
            key=lambda item: (item[0], item[1].job, item[1].task),
        )
        chosen: set[RunId] = set()

        def slots() -> int:
            return sum(room.count_of(group.step.room) for room in future.values())

        for _, run, worker, room in victims:
            if slots() >= missing:
                break
            if run in chosen:
                continue
            before = future[worker.worker_id].count_of(group.step.room)
            after = (future[worker.worker_id] + room).count_of(group.step.room)
            future[worker.worker_id] += room
            chosen.add(run)
            if after == before and len(worker.placed) == 1:
                chosen.discard(run)
        if slots() < missing:
            return  # Stopping these runs would not be enough.
        for run in self._with_gangs(chosen):
            self._stopping.add(run)
            self._plan.stops.append(run)

    def _with_gangs(self, runs: set[RunId]) -> list[RunId]:
        """Return the runs with all members of their gangs, which would end broken."""
        found = set(runs)
        for run in runs:
            job = self._jobs[run.job]
            if job.step_of(run.task).gang:
                found.update(
                    type(run)(run.job, task.key, task.assignment.number)
                    for task in job.group(run.task.occurrence, run.task.step)
                    if task.assignment is not None
                )
        return sorted(found, key=lambda run: (run.job, run.task))
