"""Choice of the runs that give way to urgent work."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.batch._fleet import Worker
from chivefall.batch._group import GUARANTEED_RANK, cores_of
from chivefall.batch._model import RunId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from chivefall.batch._job import BatchJob
    from chivefall.batch._model import Resources
    from chivefall.model import JobId, WorkerId

__all__ = ["VictimSearch", "Victims"]

CHECKPOINT_LOSS_S = 1.0  # seconds of work that a stop loses although the task checkpoints


@dataclass
class Victims:
    """Runs to stop for a group on some workers.

    Attributes
    ----------
    loss : float
        Core-seconds of work that the stops lose.
    """

    members: Sequence[Worker]
    loss: float
    runs: set[RunId]


class VictimSearch:
    """Finds the cheapest runs to stop, worker by worker.

    Parameters
    ----------
    free : mapping
        Room by worker as the round plans it; changes with the round.
    ranks : mapping
        Ranks of all jobs; only runs of larger ranks are victims.

    Attributes
    ----------
    stopping : set of RunId
        Runs that are told to stop, by this round or before.
    """

    def __init__(
        self,
        workers: Sequence[Worker],
        free: Mapping[WorkerId, Resources],
        jobs: Mapping[JobId, BatchJob],
        ranks: Mapping[JobId, int],
        now: float,
    ) -> None:
        self._free = free
        self._jobs = jobs
        self._ranks = ranks
        self._now = now
        self.stopping = {
            run for worker in workers for run in worker.runs if self._gives_way_already(run)
        }

    def _gives_way_already(self, run: RunId) -> bool:
        job = self._jobs.get(run.job)
        task = job.task(run.task) if job is not None else None
        return task is None or task.stopping or task.assignment is None

    def future(self, worker: Worker) -> Resources:
        """Return the room of a worker once the runs that are told to stop have ended."""
        room = self._free[worker.worker_id]
        for run, step in worker.runs.items():
            if run in self.stopping:
                room += step.resources
        return room

    def loss(self, run: RunId) -> float:
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
        return seconds * cores_of(step.resources) * members

    def find(
        self, unit: Resources, members: Sequence[Worker], missing: int, lowest: int
    ) -> Victims | None:
        """Return runs to stop so that the group fits on the workers, or None if none suffice."""
        future = {worker.worker_id: self.future(worker) for worker in members}
        found = Victims(members, 0.0, set())
        while sum(room.count_fitting(unit) for room in future.values()) < missing:
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
                    step = worker.runs.get(run)
                    if step is not None:
                        future[worker.worker_id] += step.resources
        return found

    def _cheapest(
        self, unit: Resources, worker: Worker, room: Resources, chosen: set[RunId], lowest: int
    ) -> tuple[float, set[RunId]] | None:
        """Return loss and runs that make room for one more task on a worker, or None."""
        wanted = room.count_fitting(unit) + 1
        total, runs, gangs = 0.0, set(), set()
        victims = sorted(
            (self.loss(run), run)
            for run in worker.runs
            if run not in chosen
            and run not in self.stopping
            and self._ranks.get(run.job, GUARANTEED_RANK) >= lowest
            and not worker.runs[run].long_running
        )
        for loss, run in victims:
            gang = (run.job, run.task.occurrence, run.task.step)
            total += 0.0 if gang in gangs else loss
            if self._jobs[run.job].step_of(run.task).gang:
                gangs.add(gang)
            runs.add(run)
            room += worker.runs[run].resources
            if room.count_fitting(unit) >= wanted:
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
