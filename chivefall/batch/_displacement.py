"""Which runs to stop because their tasks do better on another worker."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import Enum
from statistics import median
from typing import TYPE_CHECKING

from chivefall.batch._job import BatchJob, Task, TaskState
from chivefall.batch._model import RunId, StepSpec
from chivefall.model import WorkerId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from chivefall.batch._fleet import Fleet, Worker

__all__ = ["Displacement", "DisplacementReason", "find_displacements"]

STALL_SECONDS = 1.6
"""Time without progress after which a run counts as stalled.

Progress is reported in whole percents, so a run of 100 s shows one each second.
"""
SLOW_FACTOR = 2.0  # of a worker's runs against those of their steps; sound ones differ by 1.6
SINGLE_SLOW_FACTOR = 3.5  # if only one run tells; tasks of one step differ by 2 at times
RESTART_SECONDS = 0.6  # to stop a run, record the next one and start it
MIN_PROGRESS = 0.1  # below which whole percents are too coarse to estimate the run time
MIN_RUN_SECONDS = 0.8  # of a run before it is judged
MAX_RUNS = 5  # of a task, from which it is stopped only for stalls that last longer each time


class DisplacementReason(Enum):
    """Why a run does better elsewhere."""

    STALLED = "stalled"
    SLOW = "slow"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Displacement:
    """A run to stop."""

    run: RunId
    worker: WorkerId
    reason: DisplacementReason
    progress: float


def find_displacements(jobs: Iterable[BatchJob], fleet: Fleet, now: float) -> list[Displacement]:
    """Return the runs to stop at the time ``now``.

    All are found before any is stopped, since a stop changes what is judged.
    """
    groups = list(_judged_groups(jobs, now))
    return list(_displacements(groups, fleet, now))


def _displacements(groups: list[_Group], fleet: Fleet, now: float) -> Iterator[Displacement]:
    slow = _find_slow_workers(groups, now)
    for group in groups:
        for task in group.running:
            worker = fleet.workers.get(task.assignment.worker)
            reason = None if worker is None else _find_reason(task, group, worker, slow, now)
            if reason is not None:
                run = RunId(group.job.job_id, task.key, task.assignment.number)
                yield Displacement(run, worker.worker_id, reason, task.progress)
                if group.step.gang:
                    break  # The end of one member ends the others.


@dataclass(frozen=True)
class _Group:
    """The running tasks of one step in one occurrence."""

    job: BatchJob
    step: StepSpec
    running: list[Task]

    def usual_seconds(self, now: float, besides: WorkerId) -> float | None:
        """Return the median run time that the tasks on other workers suggest."""
        totals = [
            total
            for task in self.running
            if task.assignment.worker != besides and (total := _total(task, now)) is not None
        ]
        return median(totals) if totals else None


def _judged_groups(jobs: Iterable[BatchJob], now: float) -> Iterator[_Group]:
    for job in jobs:
        if job.state.is_final or not job.started:
            continue
        spec = job.submission.spec
        for occurrence in range(spec.occurrences):
            for number, step in enumerate(spec.steps):
                tasks = job.group(occurrence, number)
                running = [task for task in tasks if _is_judged(task, now)]
                if not running or step.long_running:
                    continue
                if step.gang and any(task.state is not TaskState.RUNNING for task in tasks):
                    continue  # Members wait for each other.
                yield _Group(job, step, running)


def _is_judged(task: Task, now: float) -> bool:
    return (
        task.state is TaskState.RUNNING
        and task.assignment is not None
        and not task.stopping
        and now - task.started_at >= MIN_RUN_SECONDS
    )


def _find_slow_workers(groups: Sequence[_Group], now: float) -> set[WorkerId]:
    """Return the workers whose runs take much longer than others of their steps."""
    ratios: dict[WorkerId, list[float]] = defaultdict(list)
    for group in groups:
        for task in group.running:
            total = _total(task, now)
            usual = group.usual_seconds(now, task.assignment.worker)
            if total is not None and usual:
                ratios[task.assignment.worker].append(total / usual)
    return {
        worker
        for worker, found in ratios.items()
        if median(found) >= (SLOW_FACTOR if len(found) > 1 else SINGLE_SLOW_FACTOR)
    }


def _find_reason(
    task: Task, group: _Group, worker: Worker, slow: set[WorkerId], now: float
) -> DisplacementReason | None:
    remaining = _remaining(task, group.step, now)
    if worker.earliest_exit < now + remaining:
        return DisplacementReason.LEAVING
    if worker.suspect:
        return None
    if _has_stalled(task, group):
        return DisplacementReason.STALLED
    if worker.worker_id not in slow or task.last_run_number >= MAX_RUNS:
        return None
    usual = group.usual_seconds(now, worker.worker_id)
    if usual is None:
        return None
    again = usual * (1.0 - task.progress if group.step.checkpointed else 1.0) + RESTART_SECONDS
    return DisplacementReason.SLOW if remaining > again else None


def _has_stalled(task: Task, group: _Group) -> bool:
    """Return whether the reports of a run show no progress for too long."""
    if task.progress >= 1.0 and any(other.progress < 1.0 for other in group.running):
        return False  # A gang's member at its end waits for the others.
    limit = STALL_SECONDS * 2 ** max(0, task.last_run_number - MAX_RUNS + 1)
    # The time of the last report counts, since a report that is missing says nothing.
    return task.reported_at - task.progress_at >= limit


def _total(task: Task, now: float) -> float | None:
    """Return the run time that the progress so far suggests, in seconds."""
    if task.progress < MIN_PROGRESS:
        return None
    return max(0.0, min(now, task.reported_at) - task.started_at) / task.progress


def _remaining(task: Task, step: StepSpec, now: float) -> float:
    total = _total(task, now)
    elapsed = now - task.started_at
    return max(0.0, (step.run_time if total is None else total) - elapsed)
