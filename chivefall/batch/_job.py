"""The state of a batch job and the transitions of its tasks."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from chivefall.batch._model import (
    NO_CHECKPOINT,
    BatchSpec,
    Checkpoint,
    Incarnation,
    JobState,
    Queue,
    RunId,
    RunNumber,
    StepSpec,
    TaskKey,
)
from chivefall.model import AccountId, JobId, WorkerId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


__all__ = ["Assignment", "BatchJob", "EndKind", "Submission", "Task", "TaskState"]


NO_RUN = RunNumber(0)


class TaskState(Enum):
    """State of a task.

    ASSIGNED: a worker was chosen and recorded; the task may run or not.
    """

    WAITING = "waiting"
    ASSIGNED = "assigned"
    RUNNING = "running"
    DONE = "done"


class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True)
class Submission:
    """An accepted job as it was recorded.

    Attributes
    ----------
    queue : Queue
        The queue as it was then; operators may remove it while the job goes on.
    """

    job_id: JobId
    queue: Queue
    account: AccountId
    submitted_at: float
    spec: BatchSpec


@dataclass(frozen=True)
class Assignment:
    """Where a run is or may be."""

    worker: WorkerId
    incarnation: Incarnation
    number: RunNumber


@dataclass
class Task:
    """One task of a job.

    Attributes
    ----------
    last_run_number : RunNumber
        Highest run number that was ever assigned.
    failures : int
        Runs that failed.
    progress : float
        Share of the work that the last report of the current run showed, 0 to 1.
    progress_at, reported_at : float
        Times of the last change of that share and of the last report, in seconds
        since the epoch.
    """

    key: TaskKey
    state: TaskState = TaskState.WAITING
    last_run_number: RunNumber = NO_RUN
    failures: int = 0
    checkpoint: Checkpoint = NO_CHECKPOINT
    assignment: Assignment | None = None
    started_at: float = 0.0
    progress: float = 0.0
    progress_at: float = 0.0
    reported_at: float = 0.0
    stopping: bool = False


class BatchJob:
    """A job with all its tasks; changes only through its methods.

    Parameters
    ----------
    submission : Submission
        What the caller asked for.
    max_attempts : int
        Failures of a task, or of a gang, after which the job has failed.
    """

    def __init__(self, submission: Submission, max_attempts: int) -> None:
        self.submission = submission
        self.max_attempts = max_attempts
        self.cancelled = False
        self.failed = False
        self.started = False
        self.failed_on: set[WorkerId] = set()
        spec = submission.spec
        self._tasks: dict[tuple[int, int], list[Task]] = {
            (occurrence, number): [
                Task(TaskKey(occurrence, number, index)) for index in range(step.count)
            ]
            for occurrence in range(spec.occurrences)
            for number, step in enumerate(spec.steps)
        }
        self._unfinished = {group: len(tasks) for group, tasks in self._tasks.items()}
        self._ready_since: dict[tuple[int, int], float] = {}
        self._failed_runs: set[tuple[int, int, RunNumber]] = set()

    @property
    def job_id(self) -> JobId:
        """Return the id that the caller chose."""
        return self.submission.job_id

    @property
    def state(self) -> JobState:
        """Return the state that callers see."""
        if self.cancelled:
            return JobState.CANCELLED
        if self.failed:
            return JobState.FAILED
        if not any(self._unfinished.values()):
            return JobState.COMPLETED
        return JobState.RUNNING if self.started else JobState.QUEUED

    def step_of(self, key: TaskKey) -> StepSpec:
        """Return the step that a task belongs to."""
        return self.submission.spec.steps[key.step]

    def task(self, key: TaskKey) -> Task | None:
        """Return a task, or None if the job has no such task."""
        tasks = self._tasks.get((key.occurrence, key.step), [])
        return tasks[key.index] if 0 <= key.index < len(tasks) else None

    def group(self, occurrence: int, step: int) -> list[Task]:
        """Return all tasks of a step in one occurrence."""
        return self._tasks[occurrence, step]

    def tasks(self) -> Iterator[Task]:
        """Yield all tasks."""
        for tasks in self._tasks.values():
            yield from tasks

    def active_tasks(self) -> list[Task]:
        """Return the tasks that run or may run."""
        return [task for task in self.tasks() if task.assignment is not None]

    def ready_groups(self, now: float) -> list[tuple[int, int]]:
        """Return the groups that are due, have waiting tasks and no unfinished predecessor."""
        if self.state.is_final:
            return []
        spec, found = self.submission.spec, []
        for (occurrence, number), missing in self._unfinished.items():
            if not missing or spec.earliest_start(occurrence) > now:
                continue
            if any(self._unfinished[occurrence, earlier] for earlier in spec.steps[number].after):
                continue
            if any(task.state is TaskState.WAITING for task in self._tasks[occurrence, number]):
                self._ready_since.setdefault((occurrence, number), now)
                found.append((occurrence, number))
        return found

    def ready_since(self, occurrence: int, step: int, now: float) -> float:
        """Return since when a group has waited for a place, in seconds since the epoch."""
        return self._ready_since.get((occurrence, step), now)

    def next_occurrence_at(self, now: float) -> float | None:
        """Return the due time of the next occurrence that lies ahead, or None."""
        spec = self.submission.spec
        times = (spec.earliest_start(number) for number in range(spec.occurrences))
        return min((time for time in times if time > now), default=None)

    def assign(
        self, places: Iterable[tuple[TaskKey, WorkerId, Incarnation]], now: float
    ) -> list[RunId]:
        """Record where waiting tasks are to run and return their runs.

        Tasks of one call that belong to a gang share a run number.
        """
        chosen = [(self.task(key), worker, life) for key, worker, life in places]
        shared = max((task.last_run_number for task, _, _ in chosen), default=0) + 1
        runs = []
        for task, worker, life in chosen:
            gang = self.step_of(task.key).gang
            task.last_run_number = RunNumber(shared if gang else task.last_run_number + 1)
            task.state = TaskState.ASSIGNED
            task.assignment = Assignment(worker, life, task.last_run_number)
            task.started_at, task.progress, task.stopping = now, 0.0, False
            task.progress_at = task.reported_at = now
            self._ready_since.pop((task.key.occurrence, task.key.step), None)
            runs.append(RunId(self.job_id, task.key, task.last_run_number))
        self.started = True
        return runs

    def confirm_running(self, key: TaskKey, number: RunNumber, now: float) -> None:
        """Record that a run was seen on its worker."""
        task = self._current(key, number)
        if task is not None and task.state is TaskState.ASSIGNED:
            task.state = TaskState.RUNNING
            task.progress_at = now

    def record_progress(self, run: RunId, checkpoint: Checkpoint, share: float, now: float) -> None:
        """Record what a worker reports of a run that goes on."""
        task = self._current(run.task, run.number)
        if task is None:
            return
        if share != task.progress:
            task.progress_at = now
        task.progress, task.reported_at = share, now
        self._record_checkpoint(task, checkpoint)

    def _record_checkpoint(self, task: Task, checkpoint: Checkpoint) -> None:
        if checkpoint and not self.step_of(task.key).gang:
            task.checkpoint = checkpoint
        elif checkpoint:
            # The value of any member is valid for its gang, and all carry the same one.
            for member in self._members(task):
                member.checkpoint = checkpoint

    def end_run(self, run: RunId, kind: EndKind, checkpoint: Checkpoint) -> bool:
        """Apply the end of a run; return whether it was the task's current run."""
        task = self._current(run.task, run.number)
        if task is None:
            return False
        self._record_checkpoint(task, checkpoint)
        if self._is_long_running(task):
            self._release(task)
            return True
        if kind is EndKind.DONE:
            members = self._members(task) if self.step_of(task.key).gang else [task]
            for member in members:
                self._finish(member)
            self._release(task)
            return True
        if kind is EndKind.FAILED:
            self.failed_on.add(task.assignment.worker)
            self._count_failure(task, run.number)
            if self._failures_of(task) >= self.max_attempts:
                self.failed = True
        self._release(task)
        return True

    def release(self, key: TaskKey, number: RunNumber) -> bool:
        """Make a task wait again, since its run does not exist; return whether it was current."""
        task = self._current(key, number)
        if task is None:
            return False
        self._release(task)
        return True

    def _current(self, key: TaskKey, number: RunNumber) -> Task | None:
        task = self.task(key)
        if task is None or task.assignment is None or task.assignment.number != number:
            return None
        return task

    def _members(self, task: Task) -> list[Task]:
        return self._tasks[task.key.occurrence, task.key.step]

    def _failures_of(self, task: Task) -> int:
        if self.step_of(task.key).gang:
            return sum(member.failures for member in self._members(task))
        return task.failures

    def _count_failure(self, task: Task, number: RunNumber) -> None:
        """Count a failed run; a gang's run counts once, however many members failed."""
        if self.step_of(task.key).gang:
            run = (task.key.occurrence, task.key.step, number)
            if run in self._failed_runs:
                return
            self._failed_runs.add(run)
        task.failures += 1

    def _is_long_running(self, task: Task) -> bool:
        return self.step_of(task.key).long_running

    def _finish(self, task: Task) -> None:
        if task.state is TaskState.DONE:
            return
        task.state = TaskState.DONE
        task.progress = 1.0
        self._unfinished[task.key.occurrence, task.key.step] -= 1
        # Members of a gang keep their room until their own end is listed.

    @staticmethod
    def _release(task: Task) -> None:
        task.assignment = None
        task.stopping = False
        if task.state is not TaskState.DONE:
            task.state = TaskState.WAITING

    def restore(
        self,
        key: TaskKey,
        state: TaskState,
        runs: RunNumber,
        failures: int,
        checkpoint: Checkpoint,
        assignment: Assignment | None,
    ) -> None:
        """Set a task to what a record says."""
        task = self.task(key)
        if task is None:
            return
        if state is TaskState.DONE:
            self._finish(task)
        else:
            task.state = state
        task.last_run_number, task.failures, task.checkpoint = runs, failures, checkpoint
        task.assignment = assignment
