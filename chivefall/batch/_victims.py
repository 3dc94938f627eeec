"""Selection of the runs to preempt for urgent tasks."""

from __future__ import annotations

import heapq
import itertools
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from chivefall.batch._group import GUARANTEED_RANK, URGENT_RANK, core_equivalents
from chivefall.batch._model import Resources, RunId
from chivefall.batch._placement import WorkerSet, group_by_rack

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from chivefall.batch._fleet import Worker
    from chivefall.batch._job import BatchJob
    from chivefall.batch._timing import BatchTiming
    from chivefall.model import JobId, RackId, WorkerId

__all__ = ["VictimSearch", "Victims"]

NO_RANK = None
RANKS_OF_SEARCHES = (URGENT_RANK, URGENT_RANK + 1)  # lowest ranks of victims that are searched for


@dataclass
class Victims:
    """Runs to stop on a set of workers so that a group fits there.

    Attributes
    ----------
    cost : float
        Work that the stops lose, in core-seconds.
    """

    workers: WorkerSet
    cost: float
    runs: set[RunId]


class _Candidate(NamedTuple):
    """A run that may be stopped, in the order in which the runs of a worker are stopped.

    Attributes
    ----------
    gang : tuple or None
        Identifies the run's gang; all its members end with the run, at the cost of one.
    """

    cost: float
    run: RunId
    resources: Resources
    gang: tuple | None


class VictimSearch:
    """Finds the runs whose stop loses the least work.

    A round searches on behalf of many groups, so that the sorted candidates and the total
    resources that stops could free are kept for each worker. ``worker_changed`` and
    ``stop`` keep them up to date.

    Parameters
    ----------
    free : mapping
        Free resources by worker; the round updates them while it places groups.
    ranks : mapping
        Rank of each job; the victims of a search have at least a given rank.

    Attributes
    ----------
    stopping : set of RunId
        Runs that this or an earlier round decided to stop.
    """

    def __init__(
        self,
        workers: Sequence[Worker],
        free: Mapping[WorkerId, Resources],
        jobs: Mapping[JobId, BatchJob],
        ranks: Mapping[JobId, int],
        now: float,
        timing: BatchTiming,
    ) -> None:
        self._timing = timing
        self._free = free
        self._jobs = jobs
        self._ranks = ranks
        self._now = now
        self._worker_of = {run: worker for worker in workers for run in worker.runs}
        self.stopping = {run for run in self._worker_of if self._is_stopping(run)}
        self._candidates: dict[tuple[WorkerId, int], list[_Candidate]] = {}
        self._reclaimable: dict[tuple[WorkerId, int], Resources] = {}
        self._free_after_stops: dict[WorkerId, Resources] = {}
        self._racks = group_by_rack(workers)
        self._rack_totals: dict[tuple[RackId, int | None], Resources] = {}

    def _is_stopping(self, run: RunId) -> bool:
        job = self._jobs.get(run.job)
        task = job.task(run.task) if job is not None else None
        return task is None or task.stopping or task.assignment is None

    def stop(self, runs: set[RunId]) -> None:
        """Record the decision to stop runs."""
        self.stopping |= runs
        for run in runs:
            worker = self._worker_of.get(run)
            if worker is not None:
                self.worker_changed(worker)

    def worker_changed(self, worker: Worker) -> None:
        """Drop what was computed for a worker, after its free resources or stops changed."""
        self._free_after_stops.pop(worker.worker_id, None)
        for cache in (self._candidates, self._reclaimable):
            for min_rank in RANKS_OF_SEARCHES:
                cache.pop((worker.worker_id, min_rank), None)
        for min_rank in (*RANKS_OF_SEARCHES, NO_RANK):
            self._rack_totals.pop((worker.entry.rack, min_rank), None)

    def free_after_stops(self, worker: Worker) -> Resources:
        """Return the free resources of a worker once the runs in ``stopping`` have ended."""
        resources = self._free_after_stops.get(worker.worker_id)
        if resources is None:
            resources = self._free[worker.worker_id]
            for run, step in worker.runs.items():
                if run in self.stopping:
                    resources += step.resources
            self._free_after_stops[worker.worker_id] = resources
        return resources

    def stop_cost(self, run: RunId) -> float:
        """Return the work that a stop of the run loses, with its whole gang, in core-seconds."""
        job = self._jobs.get(run.job)
        task = job.task(run.task) if job is not None else None
        if task is None:
            return 0.0
        step = job.step_of(run.task)
        seconds = max(0.0, self._now - task.started_at)
        if step.checkpointed:
            seconds = min(seconds, self._timing.checkpoint_loss)
        members = step.count if step.gang else 1
        return seconds * core_equivalents(step.resources) * members

    def _candidates_of(self, worker: Worker, min_rank: int) -> list[_Candidate]:
        """Return the runs on a worker that may be stopped, cheapest first."""
        key = (worker.worker_id, min_rank)
        found = self._candidates.get(key)
        if found is None:
            found = self._candidates[key] = sorted(
                _Candidate(
                    self.stop_cost(run),
                    run,
                    step.resources,
                    (run.job, run.task.occurrence, run.task.step) if step.gang else None,
                )
                for run, step in worker.runs.items()
                if run not in self.stopping
                and self._ranks.get(run.job, GUARANTEED_RANK) >= min_rank
                and not step.long_running
            )
        return found

    def _most_free(self, worker: Worker, min_rank: int) -> Resources:
        """Return the free resources of a worker once all runs that may be stopped have ended."""
        key = (worker.worker_id, min_rank)
        found = self._reclaimable.get(key)
        if found is None:
            candidates = self._candidates_of(worker, min_rank)
            resources = [item.resources for item in candidates]
            found = sum(resources, self.free_after_stops(worker))
            self._reclaimable[key] = found
        return found

    def fits_after_stops(self, unit: Resources, worker_set: WorkerSet, missing: int) -> bool:
        """Return whether ``missing`` tasks fit once the runs in ``stopping`` have ended."""
        if self.max_slots(worker_set, unit, NO_RANK) < missing:
            return False
        for worker in worker_set.workers:
            missing -= self.free_after_stops(worker).count_fitting(unit)
            if missing <= 0:
                return True
        return False

    def max_slots(self, worker_set: WorkerSet, unit: Resources, min_rank: int | None) -> int:
        """Return an upper bound of the tasks that fit on racks once runs were stopped.

        With ``NO_RANK``, only the runs in ``stopping`` are taken into account.
        """
        return sum(
            self._rack_total(rack, min_rank).count_fitting(unit) for rack in worker_set.racks
        )

    def _rack_total(self, rack: RackId, min_rank: int | None) -> Resources:
        """Return the free resources of a rack once runs were stopped."""
        key = (rack, min_rank)
        total = self._rack_totals.get(key)
        if total is None:
            free = [
                self.free_after_stops(worker)
                if min_rank is NO_RANK
                else self._most_free(worker, min_rank)
                for worker in self._racks[rack]
            ]
            total = self._rack_totals[key] = Resources(
                sum(max(0, item.cpu) for item in free),
                sum(max(0, item.memory) for item in free),
                sum(max(0, item.accelerators) for item in free),
            )
        return total

    def find(
        self,
        unit: Resources,
        worker_set: WorkerSet,
        missing: int,
        min_rank: int,
        max_cost: float = math.inf,
    ) -> Victims | None:
        """Return the runs to stop so that ``missing`` tasks fit on the workers, or None.

        Parameters
        ----------
        unit : Resources
            Resources that each task needs.
        min_rank : int
            Lowest rank of the jobs whose runs may be stopped; one of ``RANKS_OF_SEARCHES``.
        max_cost : float
            Cost from which the result is of no use, in core-seconds.
        """
        if self.max_slots(worker_set, unit, min_rank) < missing:
            return None
        workers = worker_set.workers
        if sum(self._most_free(item, min_rank).count_fitting(unit) for item in workers) < missing:
            return None
        by_id = {worker.worker_id: worker for worker in workers}
        free = {name: self.free_after_stops(worker) for name, worker in by_id.items()}
        slots = {name: resources.count_fitting(unit) for name, resources in free.items()}
        total = sum(slots.values())
        found = Victims(worker_set, 0.0, set())
        if total >= missing:
            return found
        choices: list[tuple[float, tuple[RunId, ...], int, WorkerId, Resources]] = []
        numbers = itertools.count()  # keep the entries of the heap comparable

        def add_choice(name: WorkerId) -> None:
            choice = self._cheapest(unit, by_id[name], free[name], found.runs, min_rank)
            if choice is not None:
                heapq.heappush(choices, (*choice, next(numbers), name, free[name]))

        for name in by_id:
            add_choice(name)
        while total < missing:
            if not choices:
                return None
            cost, runs, _, name, free_then = heapq.heappop(choices)
            if free[name] is not free_then:
                continue  # A later choice for this worker takes its changed resources into account.
            found.cost += cost
            if found.cost >= max_cost:
                return None
            changed = set()
            for run in self._with_gangs(runs) - found.runs - self.stopping:
                found.runs.add(run)
                worker = self._worker_of.get(run)
                if worker is not None and worker.worker_id in free:
                    free[worker.worker_id] += worker.runs[run].resources
                    changed.add(worker.worker_id)
            for other in sorted(changed):
                count = free[other].count_fitting(unit)
                total += count - slots[other]
                slots[other] = count
                add_choice(other)
        return found

    def _cheapest(
        self, unit: Resources, worker: Worker, free: Resources, chosen: set[RunId], min_rank: int
    ) -> tuple[float, tuple[RunId, ...]] | None:
        """Return cost and runs to stop, cheapest first, so that one more task fits, or None."""
        needed = unit * (free.count_fitting(unit) + 1) - free
        cpu, memory, accelerators = needed.cpu, needed.memory, needed.accelerators
        total, runs, gangs = 0.0, [], set()
        for cost, run, resources, gang in self._candidates_of(worker, min_rank):
            if run in chosen:
                continue
            if gang is None:
                total += cost
            elif gang not in gangs:
                total += cost
                gangs.add(gang)
            runs.append(run)
            cpu -= resources.cpu
            memory -= resources.memory
            accelerators -= resources.accelerators
            if (
                (cpu <= 0 or not unit.cpu)
                and (memory <= 0 or not unit.memory)
                and (accelerators <= 0 or not unit.accelerators)
            ):
                return total, tuple(sorted(runs))
        return None

    def _with_gangs(self, runs: Iterable[RunId]) -> set[RunId]:
        """Return the runs and all other members of their gangs, which cannot go on without them."""
        found = set(runs)
        for run in runs:
            job = self._jobs[run.job]
            if job.step_of(run.task).gang:
                found.update(
                    RunId(run.job, task.key, task.assignment.number)
                    for task in job.group(run.task.occurrence, run.task.step)
                    if task.assignment is not None
                )
        return found
