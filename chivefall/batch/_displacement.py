"""Detection of runs to stop because their tasks finish sooner on another worker."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import Enum
from statistics import median
from typing import TYPE_CHECKING

from chivefall.batch._model import RunId, StepSpec
from chivefall.batch._task import Task, TaskState
from chivefall.model import WorkerId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from chivefall.batch._fleet import Fleet, Worker
    from chivefall.batch._job import BatchJob
    from chivefall.batch._timing import BatchTiming

__all__ = ["Displacement", "DisplacementReason", "find_displacements"]

MIN_STALL_SECONDS = 1.6
"""Time without progress after which a run counts as stalled, if it is short.

Progress is reported in whole percent, so a run of an hour reports a change each 36 s.
"""
STALL_PERCENT_STEPS = 3  # of the declared run time, slowed down as away from the data
SLOW_FACTOR = 2.0
"""Slowdown from which a worker counts as slow.

It is the median over the worker's runs, each relative to the other runs of its step.
Healthy workers differ by up to 1.6.
"""
SINGLE_SLOW_FACTOR = 3.5  # for a single run, since tasks of a step may differ by a factor of 2
MIN_ESTIMATE_PROGRESS = 0.1  # below this, whole percent are too coarse to estimate the run time
MIN_RUN_SECONDS = 0.8  # younger runs are not compared
LENIENT_FROM_RUN = 5
"""Run number from which a task is stopped less readily.

A slow worker is no longer a reason, and the stall time limit doubles with each run.
"""


class DisplacementReason(Enum):
    """Why a run should move to another worker.

    LEAVING: the worker is draining and may exit before the run ends.
    """

    STALLED = "stalled"
    SLOW = "slow"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Displacement:
    """A run to stop so that its task restarts on another worker."""

    run: RunId
    worker: WorkerId
    reason: DisplacementReason
    progress: float


def find_displacements(
    jobs: Iterable[BatchJob], fleet: Fleet, now: float, timing: BatchTiming
) -> list[Displacement]:
    """Return the runs to stop at the time ``now``.

    Finds all of them before any is stopped, because a stopped run no longer counts in the
    comparison with others.
    """
    groups = list(_comparable_groups(jobs, now))
    return list(_iterate_displacements(groups, fleet, now, timing))


def _iterate_displacements(
    groups: list[_RunningGroup], fleet: Fleet, now: float, timing: BatchTiming
) -> Iterator[Displacement]:
    slow = _find_slow_workers(groups)
    for group in groups:
        for task in group.running:
            worker = fleet.workers.get(task.assignment.worker)
            if worker is None:
                continue
            reason = _find_reason(task, group, worker, slow, now, timing)
            if reason is not None:
                run = RunId(group.job.job_id, task.key, task.assignment.number)
                yield Displacement(run, worker.worker_id, reason, task.progress)
                if group.step.gang:
                    break  # Stopping one member ends the whole gang.


class _RunningGroup:
    """Running tasks of one step of one occurrence of a job, at the time ``now``.

    Attributes
    ----------
    totals : dict
        Estimated total run times of the tasks by worker, in seconds.
    """

    def __init__(self, job: BatchJob, step: StepSpec, running: list[Task], now: float) -> None:
        self.job = job
        self.step = step
        self.running = running
        self.totals: dict[WorkerId, list[float]] = defaultdict(list)
        for task in running:
            total = _estimate_total_seconds(task, now)
            if total is not None:
                self.totals[task.assignment.worker].append(total)
        self._typical: dict[WorkerId, float | None] = {}

    def typical_seconds(self, excluding: WorkerId) -> float | None:
        """Return the median estimated run time of the tasks on other workers, in seconds."""
        if excluding not in self._typical:
            others = [
                total
                for worker, totals in self.totals.items()
                if worker != excluding
                for total in totals
            ]
            self._typical[excluding] = median(others) if others else None
        return self._typical[excluding]


def _comparable_groups(jobs: Iterable[BatchJob], now: float) -> Iterator[_RunningGroup]:
    for job in jobs:
        if job.state.is_final or not job.started:
            continue
        for _, number, tasks in job.kept_steps():
            step = job.submission.spec.steps[number]
            running = [task for task in tasks if _is_comparable(task, now)]
            if not running or step.long_running:
                continue
            if step.gang and sum(task.state is TaskState.RUNNING for task in tasks) < step.count:
                continue  # Members make no progress until all of them run.
            yield _RunningGroup(job, step, running, now)


def _is_comparable(task: Task, now: float) -> bool:
    return (
        task.state is TaskState.RUNNING
        and task.assignment is not None
        and not task.stopping
        and now - task.started_at >= MIN_RUN_SECONDS
    )


def _find_slow_workers(groups: Sequence[_RunningGroup]) -> set[WorkerId]:
    """Return the workers whose runs take much longer than other runs of the same steps."""
    ratios: dict[WorkerId, list[float]] = defaultdict(list)
    for group in groups:
        for worker, totals in group.totals.items():
            typical = group.typical_seconds(worker)
            if typical:
                ratios[worker] += [total / typical for total in totals]
    return {
        worker
        for worker, ratio in ratios.items()
        if median(ratio) >= (SLOW_FACTOR if len(ratio) > 1 else SINGLE_SLOW_FACTOR)
    }


def _find_reason(
    task: Task,
    group: _RunningGroup,
    worker: Worker,
    slow: set[WorkerId],
    now: float,
    timing: BatchTiming,
) -> DisplacementReason | None:
    remaining = _estimate_remaining_seconds(task, group.step, now)
    if worker.earliest_exit < now + remaining:
        return DisplacementReason.LEAVING
    if worker.suspect:
        return None
    if _has_stalled(task, group, timing):
        return DisplacementReason.STALLED
    if worker.worker_id not in slow or task.last_run_number >= LENIENT_FROM_RUN:
        return None
    return DisplacementReason.SLOW if _saves_time(task, group, now, timing) else None


def _saves_time(task: Task, group: _RunningGroup, now: float, timing: BatchTiming) -> bool:
    """Return whether a task on a slow worker would finish earlier on another one."""
    typical = group.typical_seconds(task.assignment.worker)
    if typical is None:
        return False
    restarted = typical + timing.restart
    if group.step.checkpointed:
        restarted = typical * (1.0 - task.progress) + timing.restart + timing.restore
    return _estimate_remaining_seconds(task, group.step, now) > restarted


def _has_stalled(task: Task, group: _RunningGroup, timing: BatchTiming) -> bool:
    """Return whether the reports of a run have shown no progress for too long."""
    if task.progress >= 1.0 and any(other.progress < 1.0 for other in group.running):
        return False  # A finished member of a gang waits for the others.
    percent_seconds = group.step.run_time * timing.remote_slowdown / 100
    limit = max(MIN_STALL_SECONDS, STALL_PERCENT_STEPS * percent_seconds)
    limit *= 2 ** max(0, task.last_run_number - LENIENT_FROM_RUN + 1)
    return task.unchanged_seconds >= limit


def _estimate_total_seconds(task: Task, now: float) -> float | None:
    """Return the total run time estimated from the progress so far, in seconds."""
    if task.progress < MIN_ESTIMATE_PROGRESS:
        return None
    return max(0.0, min(now, task.reported_at) - task.started_at) / task.progress


def _estimate_remaining_seconds(task: Task, step: StepSpec, now: float) -> float:
    total = _estimate_total_seconds(task, now)
    elapsed = now - task.started_at
    return max(0.0, (step.run_time if total is None else total) - elapsed)
