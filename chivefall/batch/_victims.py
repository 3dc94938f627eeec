"""Selection of the runs to preempt for urgent tasks."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.batch._fleet import Worker
from chivefall.batch._group import GUARANTEED_RANK, core_equivalents
from chivefall.batch._model import RunId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from chivefall.batch._job import BatchJob
    from chivefall.batch._model import Resources
    from chivefall.batch._timing import BatchTiming
    from chivefall.model import JobId, WorkerId

__all__ = ["VictimSearch", "Victims"]


@dataclass
class Victims:
    """Runs to stop on a set of workers so that a group fits there.

    Attributes
    ----------
    cost : float
        Work that the stops lose, in core-seconds.
    """

    workers: Sequence[Worker]
    cost: float
    runs: set[RunId]


class VictimSearch:
    """Finds the runs whose stop loses the least work.

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
        self.stopping = {run for worker in workers for run in worker.runs if self._is_stopping(run)}

    def _is_stopping(self, run: RunId) -> bool:
        job = self._jobs.get(run.job)
        task = job.task(run.task) if job is not None else None
        return task is None or task.stopping or task.assignment is None

    def free_after_stops(self, worker: Worker) -> Resources:
        """Return the free resources of a worker once the runs in ``stopping`` have ended."""
        resources = self._free[worker.worker_id]
        for run, step in worker.runs.items():
            if run in self.stopping:
                resources += step.resources
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

    def find(
        self, unit: Resources, workers: Sequence[Worker], missing: int, min_rank: int
    ) -> Victims | None:
        """Return the runs to stop so that ``missing`` tasks fit on the workers, or None.

        Parameters
        ----------
        unit : Resources
            Resources that each task needs.
        min_rank : int
            Lowest rank of the jobs whose runs may be stopped.
        """
        free = {worker.worker_id: self.free_after_stops(worker) for worker in workers}
        found = Victims(workers, 0.0, set())
        while sum(resources.count_fitting(unit) for resources in free.values()) < missing:
            choices = [
                choice
                for worker in workers
                if (
                    choice := self._cheapest(
                        unit, worker, free[worker.worker_id], found.runs, min_rank
                    )
                )
            ]
            if not choices:
                return None
            cost, runs = min(choices, key=lambda choice: (choice[0], sorted(choice[1])))
            found.cost += cost
            for run in self._with_gangs(runs) - found.runs:
                found.runs.add(run)
                for worker in workers:
                    step = worker.runs.get(run)
                    if step is not None:
                        free[worker.worker_id] += step.resources
        return found

    def _cheapest(
        self, unit: Resources, worker: Worker, free: Resources, chosen: set[RunId], min_rank: int
    ) -> tuple[float, set[RunId]] | None:
        """Return cost and runs to stop, cheapest first, so that one more task fits, or None."""
        wanted = free.count_fitting(unit) + 1
        total, runs, gangs = 0.0, set(), set()
        victims = sorted(
            (self.stop_cost(run), run)
            for run in worker.runs
            if run not in chosen
            and run not in self.stopping
            and self._ranks.get(run.job, GUARANTEED_RANK) >= min_rank
            and not worker.runs[run].long_running
        )
        for cost, run in victims:
            gang = (run.job, run.task.occurrence, run.task.step)
            total += 0.0 if gang in gangs else cost
            if self._jobs[run.job].step_of(run.task).gang:
                gangs.add(gang)
            runs.add(run)
            free += worker.runs[run].resources
            if free.count_fitting(unit) >= wanted:
                return total, runs
        return None

    def _with_gangs(self, runs: set[RunId]) -> set[RunId]:
        """Return the runs and all other members of their gangs, which cannot go on without them."""
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
