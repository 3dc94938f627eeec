"""State of one task of a batch job."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from chivefall.batch._model import NO_CHECKPOINT, Checkpoint, Incarnation, RunNumber, TaskKey
from chivefall.model import WorkerId

__all__ = ["NO_RUN", "Assignment", "Task", "TaskState"]

NO_RUN = RunNumber(0)


class TaskState(Enum):
    """State of a task.

    ASSIGNED: a worker was chosen; whether the run has started there is not known yet.
    """

    WAITING = "waiting"
    ASSIGNED = "assigned"
    RUNNING = "running"
    DONE = "done"


@dataclass(frozen=True)
class Assignment:
    """Worker incarnation to which the current run of a task is assigned."""

    worker: WorkerId
    incarnation: Incarnation
    number: RunNumber


@dataclass(slots=True)
class Task:
    """One task of a job.

    Attributes
    ----------
    last_run_number : RunNumber
        Number of the latest run; 0 if the task was never assigned.
    failures : int
        Number of failed runs; a failed run of a gang counts for one member only.
    failed_runs : set of RunNumber
        The counted runs, since an end may be reported again, also to a later leader.
    started_at : float
        Time of the assignment of the current run, in seconds since the Unix epoch.
    progress : float
        Completed fraction of the work by the last report of the current run, 0 to 1.
    reported_at : float
        Time of the last report, in seconds since the Unix epoch.
    unchanged_seconds : float
        Time for which reports have shown the same ``progress``.
    stopping : bool
        Whether a stop of the current run was decided.
    preemptions : int
        Number of runs whose work was lost to urgent jobs.
    earliest_start : float
        Time before which the next run does not start while the fleet is busy, in seconds
        since the Unix epoch.
    failed_on : dict
        Time of the last failed run by worker, in seconds since the Unix epoch.
    early_failures : int
        Consecutive runs of a long-running task that failed soon after their start.
    earliest_retry : float
        Time before which a long-running task that fails does not start again, in seconds
        since the Unix epoch.
    """

    key: TaskKey
    state: TaskState = TaskState.WAITING
    last_run_number: RunNumber = NO_RUN
    failures: int = 0
    failed_runs: set[RunNumber] = field(default_factory=set)
    checkpoint: Checkpoint = NO_CHECKPOINT
    assignment: Assignment | None = None
    started_at: float = 0.0
    progress: float = 0.0
    reported_at: float = 0.0
    unchanged_seconds: float = 0.0
    stopping: bool = False
    preemptions: int = 0
    earliest_start: float = 0.0
    failed_on: dict[WorkerId, float] = field(default_factory=dict)
    early_failures: int = 0
    earliest_retry: float = 0.0

    def can_start(self, now: float, *, is_busy: bool) -> bool:
        """Return whether the task waits and may start at ``now``, in seconds since the epoch.

        Parameters
        ----------
        is_busy : bool
            Whether preempted tasks wait before their next run.
        """
        return (
            self.state is TaskState.WAITING
            and now >= self.earliest_retry
            and not (is_busy and now < self.earliest_start)
        )
