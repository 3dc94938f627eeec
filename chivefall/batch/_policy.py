"""Which waiting tasks start where, and which runs are stopped for others."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from chivefall.batch._fleet import Worker
from chivefall.batch._job import BatchJob, Task, TaskState
from chivefall.batch._model import UNBOUNDED, Incarnation, Queue, RunId, StepSpec, TaskKey
from chivefall.batch._placement import Rooms, by_rack, place_gang, place_some, rack_capacity, take
from chivefall.model import AccountId, JobId, RackId, WorkerId

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from chivefall.batch._fleet import Fleet
    from chivefall.batch._model import Resources

__all__ = ["BatchPolicy", "Candidate", "DeadlinePolicy", "Plan", "Start", "chain_seconds"]

URGENT_PRIORITY = 0
GUARANTEED_RANK = 0  # urgent work within its account's guarantee; it may stop all other work
URGENT_RANK = 1  # other urgent work; it may stop work that is not urgent
MAX_RESERVATIONS = 4  # blocked gangs that keep room in one round; more would idle the fleet
REMOTE_FACTOR = 3.0  # run time away from the data or over several racks, against near
ACCELERATOR_CORES = 8  # cores that one accelerator counts as when work is compared
LATE_FACTOR = 3.0  # a job that takes longer than this times its objective has no value
PATIENCE_SECONDS = 1.0
"""Wait of guaranteed urgent work before it stops other urgent work, which is short.

The platform's bound for its start is 2.7 s, of which a stop takes 0.9 s at most.
"""
MAX_LOSS_FACTOR = 4.0
"""Work that an urgent group may throw away, against its own, unless it must start now.

At the users' weights an urgent job that is late costs about as much as four times its
work done again.
"""
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


def _cores(room: Resources) -> float:
    """Return room in cores, with accelerators counted as the users do."""
    return room.cpu / 1000 + ACCELERATOR_CORES * room.accelerators


def _work(group: _Group) -> float:
    """Return the declared work of a group in core-seconds."""
    step = group.step
    return _cores(step.room) * len(group.tasks) * step.run_time


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
    def plan(
        self,
        candidates: Iterable[Candidate],
        fleet: Fleet,
        now: float,
        guarantees: Mapping[AccountId, int] | None = None,
    ) -> Plan:
        """Return the starts and stops of one round.

        Parameters
        ----------
        candidates : iterable of Candidate
            All jobs that have not ended.
        fleet : Fleet
            Workers with the room that runs hold.
        now : float
            Time of the round, in seconds since the epoch.
        guarantees : mapping, optional
            Accelerators that an account's urgent jobs get at any time.
        """


@dataclass
class _Group:
    """Waiting tasks of one step in one occurrence."""

    job: BatchJob
    queue: Queue
    step: StepSpec
    occurrence: int
    tasks: list[Task]
    due: float
    rank: int

    @property
    def urgent(self) -> bool:
        return self.rank <= URGENT_RANK

    def latest_start(self) -> float:
        """Return when the group has to start to complete in time."""
        return self.due - self.step.run_time


class DeadlinePolicy(BatchPolicy):
    """Urgent work within a guarantee first, then urgent work, then what has to start soonest.

    A gang that does not fit keeps the room of the rack that suits it best, so
    that tasks behind it do not take what becomes free. An urgent group that does
    not fit stops the runs whose loss is smallest.
    """

    def plan(
        self,
        candidates: Iterable[Candidate],
        fleet: Fleet,
        now: float,
        guarantees: Mapping[AccountId, int] | None = None,
    ) -> Plan:
        """Return the starts and stops of one round at the time ``now``."""
        return _Round(fleet, now, guarantees or {}).run(candidates)


class _Round:
    """The working state of one round."""

    def __init__(self, fleet: Fleet, now: float, guarantees: Mapping[AccountId, int]) -> None:
        self._fleet = fleet
        self._now = now
        self._guarantees = guarantees
        self._ranks: dict[JobId, int] = {}
        self._free: dict[WorkerId, Resources] = {
            name: worker.free for name, worker in fleet.workers.items()
        }
        self._plan = Plan()
        self._reservations = 0
        self._jobs: dict[JobId, BatchJob] = {}
        self._stopping: set[RunId] = set()
        self._usable: dict[tuple, list[Worker]] = {}
        self._capacities: dict[tuple, dict[RackId, int]] = {}
        self._blocked: dict[tuple, int] = {}

    def run(self, candidates: Iterable[Candidate]) -> Plan:
        """Return the plan of the round."""
        found = list(candidates)
        self._jobs = {item.job.job_id: item.job for item in found}
        self._ranks = self._rank_jobs(found)
        self._stopping = {
            run
            for worker in self._fleet.workers.values()
            for run in worker.placed
            if self._gives_way_already(run)
        }
        for group in sorted(self._groups(found), key=self._order):
            self._place(group)
        return self._plan

    def _rank_jobs(self, candidates: Sequence[Candidate]) -> dict[JobId, int]:
        """Return how jobs come before each other; an account's oldest urgent jobs are covered."""
        ranks: dict[JobId, int] = {}
        needed: dict[AccountId, int] = defaultdict(int)
        for item in sorted(candidates, key=lambda item: item.job.submission.submitted_at):
            job = item.job
            ranks[job.job_id] = URGENT_RANK + item.queue.priority
            if item.queue.priority != URGENT_PRIORITY or job.state.is_final:
                continue
            account = job.submission.account
            needed[account] += sum(
                step.count * step.room.accelerators for step in job.submission.spec.steps[:1]
            )
            if needed[account] <= self._guarantees.get(account, 0):
                ranks[job.job_id] = GUARANTEED_RANK
        return ranks

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
                due, rank = begin + objective, self._ranks[job.job_id]
                groups.append(_Group(job, item.queue, step, occurrence, waiting, due, rank))
        return groups

    def _order(self, group: _Group) -> tuple:
        objective = group.due - group.job.submission.submitted_at
        worthless = self._now > group.due + (LATE_FACTOR - 1.0) * objective
        rank = min(group.rank, URGENT_RANK + 1)
        return (rank, worthless, group.latest_start(), group.job.job_id)

    def _place(self, group: _Group) -> None:
        workers = self._workers_for(group)
        if not workers:
            return
        chosen = self._choose(group, workers)
        if chosen:
            places = tuple(
                (task.key, worker.worker_id, worker.entry.incarnation)
                for task, worker in zip(group.tasks, chosen, strict=False)
            )
            self._plan.starts.append(Start(group.job, places))
        missing = len(group.tasks) - len(chosen)
        if missing and (group.urgent or group.step.gang):
            self._make_room(group, workers, missing)

    def _workers_for(self, group: _Group) -> list[Worker]:
        """Return the workers that may start tasks of a group."""
        key = (group.queue.service, group.step.label)
        if key not in self._usable:
            self._usable[key] = self._fleet.usable(group.step, group.queue.service, self._now)
        workers = self._usable[key]
        if not group.job.failed_on:
            return workers
        # A second failure on another worker tells a bad task from a bad worker.
        return [item for item in workers if item.worker_id not in group.job.failed_on] or workers

    def _capacity(self, group: _Group, workers: list[Worker]) -> dict[RackId, int]:
        """Return how many tasks of a group's step each rack takes when it is empty."""
        step = group.step
        if workers is not self._usable.get((group.queue.service, step.label)):
            return rack_capacity(workers, step)
        key = (group.queue.service, step.label, step.room, step.max_per_worker)
        if key not in self._capacities:
            self._capacities[key] = rack_capacity(workers, step)
        return self._capacities[key]

    def _choose(self, group: _Group, workers: list[Worker]) -> list[Worker]:
        """Return a worker for each task that starts now."""
        step, count = group.step, len(group.tasks)
        near_only = self._waits_for_near(group, workers)
        shape = (
            group.queue.service,
            step.label,
            step.room,
            step.gang,
            step.same_rack,
            step.data_rack,
            near_only,
        )
        # Room only shrinks during a round, so what did not fit once does not fit later.
        if count >= self._blocked.get(shape, UNBOUNDED):
            return []
        rooms = Rooms(self._free, self._step_counts(group, workers))
        if step.gang:
            chosen = place_gang(workers, step, count, rooms, near_only=near_only) or []
        else:
            chosen = place_some(workers, step, count, rooms, near_only=near_only)
        if not chosen and not step.max_per_worker and not group.job.failed_on:
            self._blocked[shape] = count if step.gang else 1
        return chosen

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

    def _waits_for_near(self, group: _Group, workers: list[Worker]) -> bool:
        """Return whether the group should wait rather than run slowly away from its rack."""
        step = group.step
        capacity = self._capacity(group, workers)
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
        if group.urgent:
            members = self._stop_for(group, workers, missing)
        elif self._reservations < MAX_RESERVATIONS:
            members = self._rack_to_wait_for(group, workers, missing)
        else:
            return
        self._reservations += bool(members)
        self._reserve(group, members, missing)

    def _reserve(self, group: _Group, members: Sequence[Worker], missing: int) -> None:
        """Promise room to a group, also room of runs that go on, so that it is not filled again."""
        rooms = Rooms(self._free, {})
        unit = group.step.room
        for worker in sorted(
            members, key=lambda item: (-self._future(item).count_of(unit), item.worker_id)
        ):
            count = min(missing, worker.entry.capacity.count_of(unit))
            if count > 0:
                take(rooms, worker, group.step, count)
                missing -= count

    def _future(self, worker: Worker) -> Resources:
        """Return the room of a worker once the runs that are told to stop have ended."""
        room = self._free[worker.worker_id]
        for run, placed in worker.placed.items():
            if run in self._stopping:
                room += placed.room
        return room

    def _rack_to_wait_for(
        self, group: _Group, workers: Sequence[Worker], missing: int
    ) -> Sequence[Worker]:
        """Return the workers on which a blocked gang fits soonest, or none if it never fits."""
        choices = self._places_for(group, workers, missing)
        return min(choices, key=lambda members: self._work_ahead(group, members), default=())

    def _places_for(
        self, group: _Group, workers: list[Worker], missing: int
    ) -> list[Sequence[Worker]]:
        """Return the sets of workers on which a group could run, each large enough."""
        step = group.step
        capacity = self._capacity(group, workers)
        if step.data_rack is not None and capacity.get(step.data_rack, 0) >= missing:
            return [by_rack(workers)[step.data_rack]]
        if step.gang:
            racks = [rack for rack, count in capacity.items() if count >= missing]
            if racks:
                grouped = by_rack(workers)
                return [grouped[rack] for rack in sorted(racks)]
        return [workers] if sum(capacity.values()) >= missing else []

    def _work_ahead(self, group: _Group, members: Sequence[Worker]) -> float:
        """Return a measure of the work that has to end before the group fits."""
        slots = sum(self._future(worker).count_of(group.step.room) for worker in members)
        loss = sum(
            self._loss(run)
            for worker in members
            for run in worker.placed
            if run not in self._stopping
        )
        return loss / (1.0 + slots)

    def _loss(self, run: RunId) -> float:
        """Return the core-seconds that stopping a run would lose, for its whole gang."""
        job = self._jobs.get(run.job)
        task = job.task(run.task) if job is not None else None
        if task is None:
            return 0.0
        step = job.step_of(run.task)
        seconds = max(0.0, self._now - task.started_at)
        if step.checkpointed:
            seconds = min(seconds, CHECKPOINT_LOSS_S)
        members = step.count if step.gang else 1
        return seconds * _cores(step.room) * members

    def _stop_for(self, group: _Group, workers: Sequence[Worker], missing: int) -> Sequence[Worker]:
        """Stop the runs whose loss is smallest until the group fits; return its workers."""
        best = self._find_cheapest_place(group, workers, missing, URGENT_RANK + 1)
        waited = self._now - group.job.submission.submitted_at
        must_start = group.rank == GUARANTEED_RANK and waited >= PATIENCE_SECONDS
        if best is None and must_start:
            best = self._find_cheapest_place(group, workers, missing, URGENT_RANK)
        if best is None:
            return ()
        if best.loss > MAX_LOSS_FACTOR * _work(group) and not must_start:
            return best.members
        self._stopping |= best.runs
        self._plan.stops += sorted(best.runs)
        return best.members

    def _find_cheapest_place(
        self, group: _Group, workers: Sequence[Worker], missing: int, lowest: int
    ) -> _Victims | None:
        """Return the victims of rank ``lowest`` or later whose loss is smallest, or None."""
        best: _Victims | None = None
        for members in self._places_for(group, workers, missing):
            victims = self._find_victims(group, members, missing, lowest)
            if victims is not None and (best is None or victims.loss < best.loss):
                best = victims
        return best

    def _find_victims(
        self, group: _Group, members: Sequence[Worker], missing: int, lowest: int
    ) -> _Victims | None:
        """Return runs to stop so that the group fits on the workers, or None if none suffice."""
        unit = group.step.room
        future = {worker.worker_id: self._future(worker) for worker in members}
        found = _Victims(members, 0.0, set())
        while sum(room.count_of(unit) for room in future.values()) < missing:
            choices = [
                choice
                for worker in members
                if (
                    choice := self._cheapest(
                        unit, worker, future[worker.worker_id], found.runs, lowest
                    )
                )
            ]
            if not choices:
                return None
            loss, runs = min(choices, key=lambda choice: (choice[0], sorted(choice[1])))
            found.loss += loss
            for run in self._with_gangs(runs) - found.runs:
                found.runs.add(run)
                for worker in members:
                    placed = worker.placed.get(run)
                    if placed is not None:
                        future[worker.worker_id] += placed.room
        return found

    def _cheapest(
        self, unit: Resources, worker: Worker, room: Resources, chosen: set[RunId], lowest: int
    ) -> tuple[float, set[RunId]] | None:
        """Return loss and runs that make room for one more task on a worker, or None."""
        wanted = room.count_of(unit) + 1
        total, runs, gangs = 0.0, set(), set()
        victims = sorted(
            (self._loss(run), run)
            for run in worker.placed
            if run not in chosen
            and run not in self._stopping
            and self._ranks.get(run.job, GUARANTEED_RANK) >= lowest
            and not worker.placed[run].step.long_running
        )
        for loss, run in victims:
            gang = (run.job, run.task.occurrence, run.task.step)
            total += 0.0 if gang in gangs else loss
            if self._jobs[run.job].step_of(run.task).gang:
                gangs.add(gang)
            runs.add(run)
            room += worker.placed[run].room
            if room.count_of(unit) >= wanted:
                return total, runs
        return None

    def _with_gangs(self, runs: set[RunId]) -> set[RunId]:
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
        return found


@dataclass
class _Victims:
    """Runs to stop for a group on some workers.

    Attributes
    ----------
    loss : float
        Core-seconds of work that the stops lose.
    """

    members: Sequence[Worker]
    loss: float
    runs: set[RunId]
