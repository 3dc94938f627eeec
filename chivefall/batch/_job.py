"""State of a batch job and the transitions of its tasks."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from chivefall.batch._admission import estimate_memory
from chivefall.batch._model import (
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
from chivefall.batch._task import Assignment, Task, TaskState
from chivefall.batch._task_table import StepTasks, TaskTable
from chivefall.model import AccountId, JobId, WorkerId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


__all__ = ["BatchJob", "EndKind", "RecordedEnd", "Submission"]


PREEMPTION_WAIT_SECONDS = 1.5  # before the next run of a preempted task; doubled each time
MAX_PREEMPTION_WAIT_SECONDS = 2.5  # a task that is ready and fits must not wait for 3 s
FAILURE_EVIDENCE_SECONDS = 30.0  # for which a failed run of a step speaks against its worker
MAX_SUSPECTED_WORKERS = 2  # that failed runs of one task speak against
EARLY_FAILURE_SECONDS = 10.0  # from the assignment of a run
MIN_RETRY_DELAY_SECONDS = 0.25  # before the third run of a task that fails early; then doubled
MAX_RETRY_DOUBLINGS = 3  # up to 2 s; a long-running task has to be restarted within seconds
MAX_REPORT_INTERVAL_SECONDS = 1.0  # between two reports; a longer gap counts for no more


class EndKind(Enum):
    """How a run ended, as its worker reports it.

    A task waits for a new run after every kind but DONE; only FAILED counts towards the
    job's ``max_attempts``. LAPSED: the lease expired on the worker. BROKEN: the run ended
    because its gang or its worker did.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True)
class RecordedEnd:
    """The end of a run, independent of the worker that reported it."""

    run: RunId
    kind: EndKind
    checkpoint: Checkpoint


@dataclass(frozen=True)
class Submission:
    """An accepted job as it is stored.

    Attributes
    ----------
    queue : Queue
        The queue at the time of submission; operators may remove it before the job ends.
    """

    job_id: JobId
    queue: Queue
    account: AccountId
    submitted_at: float
    spec: BatchSpec


class BatchJob:
    """A job and the state of all its tasks.

    Parameters
    ----------
    submission : Submission
        The accepted job.
    max_attempts : int
        Number of failed runs of a task or gang at which the job fails.

    Attributes
    ----------
    started : bool
        Whether any task was ever assigned.
    begun : bool
        Whether any run is known to have existed.
    memory_bytes : int
        Estimated memory that the job takes, without its running tasks.
    """

    def __init__(self, submission: Submission, max_attempts: int) -> None:
        self.submission = submission
        self.max_attempts = max_attempts
        self.cancelled = False
        self.failed = False
        self.started = False
        self.begun = False
        self._failed_on: dict[tuple[int, int], dict[WorkerId, float]] = {}
        self._tasks = TaskTable(submission.spec)
        self.memory_bytes = estimate_memory(submission.spec)
        self._ready_since: dict[tuple[int, int], float] = {}
        self._room_since: dict[tuple[int, int], float] = {}

    @property
    def job_id(self) -> JobId:
        """Return the id that the caller chose."""
        return self.submission.job_id

    @property
    def state(self) -> JobState:
        """Return the state of the job as callers see it."""
        if self.cancelled:
            return JobState.CANCELLED
        if self.failed:
            return JobState.FAILED
        if self._tasks.is_complete:
            return JobState.COMPLETED
        return JobState.RUNNING if self.started else JobState.QUEUED

    def step_of(self, key: TaskKey) -> StepSpec:
        """Return the step that a task belongs to."""
        return self.submission.spec.steps[key.step]

    def task(self, key: TaskKey) -> Task | None:
        """Return a task, or None if the job has no such task.

        The returned object is the job's own only once the task was assigned.
        """
        return self._tasks.get(key)

    def group(self, occurrence: int, step: int) -> list[Task]:
        """Return all tasks of a step in one occurrence, and keep them from now on."""
        tasks = self._tasks.of_step(occurrence, step)
        return [tasks.keep(index) for index in range(tasks.count)]

    def step_tasks(self, occurrence: int, step: int) -> StepTasks:
        """Return the tasks of a step in one occurrence, of which few may be kept."""
        return self._tasks.of_step(occurrence, step)

    def kept_tasks(self) -> Iterator[Task]:
        """Yield the tasks that were assigned, but for done ones that no worker holds."""
        return self._tasks.kept()

    def kept_steps(self) -> Iterator[tuple[int, int, list[Task]]]:
        """Yield occurrence, step and tasks of the steps with kept tasks."""
        return self._tasks.kept_steps()

    def done_runs(self) -> Iterator[tuple[TaskKey, RunNumber]]:
        """Yield the done tasks that no worker holds, with the numbers of their last runs."""
        return self._tasks.done_runs()

    def active_tasks(self) -> list[Task]:
        """Return the tasks that are assigned to a worker."""
        return [task for task in self._tasks.kept() if task.assignment is not None]

    def ready_groups(self, now: float) -> list[tuple[int, int]]:
        """Return the groups that can start, as pairs of occurrence and step.

        Their occurrence may start, they have waiting tasks and all steps that they depend on
        are done.
        """
        if self.state.is_final:
            return []
        found, tasks = [], self._tasks
        for occurrence in tasks.due_occurrences(now):
            for number, step in enumerate(self.submission.spec.steps):
                if not tasks.unfinished(occurrence, number):
                    continue
                if any(tasks.unfinished(occurrence, earlier) for earlier in step.after):
                    continue
                if tasks.has_waiting(occurrence, number):
                    self._ready_since.setdefault((occurrence, number), now)
                    found.append((occurrence, number))
        return found

    def ready_since(self, occurrence: int, step: int, now: float) -> float:
        """Return when a group became ready to start, in seconds since the Unix epoch.

        Returns ``now`` if no round has found the group ready yet.
        """
        return self._ready_since.get((occurrence, step), now)

    def record_room(self, occurrence: int, step: int, now: float, *, has_room: bool) -> float:
        """Record whether idle workers could run a waiting group.

        Returns the seconds for which they could, without interruption and until the group
        is assigned.
        """
        group = (occurrence, step)
        if not has_room:
            self._room_since.pop(group, None)
            return 0.0
        return now - self._room_since.setdefault(group, now)

    def assign(
        self, placements: Iterable[tuple[TaskKey, WorkerId, Incarnation]], now: float
    ) -> list[RunId]:
        """Assign waiting tasks to workers and return the new runs.

        The members of a gang share a run number.
        """
        chosen = [
            (self._tasks.keep(key), worker, incarnation) for key, worker, incarnation in placements
        ]
        gang_run_number = max((task.last_run_number for task, _, _ in chosen), default=0) + 1
        runs = []
        for task, worker, incarnation in chosen:
            gang = self.step_of(task.key).gang
            task.last_run_number = RunNumber(gang_run_number if gang else task.last_run_number + 1)
            task.state = TaskState.ASSIGNED
            task.assignment = Assignment(worker, incarnation, task.last_run_number)
            task.started_at, task.progress, task.stopping = now, 0.0, False
            task.reported_at, task.unchanged_seconds = now, 0.0
            self._ready_since.pop((task.key.occurrence, task.key.step), None)
            self._room_since.pop((task.key.occurrence, task.key.step), None)
            runs.append(RunId(self.job_id, task.key, task.last_run_number))
        self.started = True
        return runs

    def confirm_running(self, key: TaskKey, number: RunNumber, now: float) -> None:
        """Record that the worker reported a run as running."""
        task = self._current(key, number)
        self.begun = self.begun or task is not None
        if task is not None and task.state is TaskState.ASSIGNED:
            task.state = TaskState.RUNNING
            task.reported_at = now
            # The members of a gang make no progress until the last one has started.
            for member in self._gang_of(task):
                member.unchanged_seconds = 0.0

    def record_progress(
        self, run: RunId, checkpoint: Checkpoint, progress: float, now: float
    ) -> None:
        """Record a worker's progress report of a run."""
        task = self._current(run.task, run.number)
        if task is None:
            return
        if progress != task.progress:
            task.unchanged_seconds = 0.0
        else:
            # A silent worker or a paused leader is no evidence against the run.
            task.unchanged_seconds += min(MAX_REPORT_INTERVAL_SECONDS, now - task.reported_at)
        task.progress, task.reported_at = progress, now
        self._record_checkpoint(task, checkpoint)

    def _record_checkpoint(self, task: Task, checkpoint: Checkpoint) -> None:
        if checkpoint and not self.step_of(task.key).gang:
            task.checkpoint = checkpoint
        elif checkpoint:
            # Members of a gang share a checkpoint, so any member's report applies to all.
            for member in self._members(task):
                member.checkpoint = checkpoint

    def record_preemption(self, run: RunId, now: float) -> None:
        """Delay the next run of a task that loses its work to an urgent job.

        While a burst of urgent work lasts, it would soon be stopped again.
        """
        task = self._current(run.task, run.number)
        if task is None or self.step_of(run.task).checkpointed:
            return
        task.preemptions += 1
        wait = PREEMPTION_WAIT_SECONDS * 2 ** (task.preemptions - 1)
        task.earliest_start = now + min(MAX_PREEMPTION_WAIT_SECONDS, wait)

    def record_failure(self, key: TaskKey, worker: WorkerId, now: float) -> None:
        """Record that a run of a task failed on a worker."""
        self._failed_on.setdefault((key.occurrence, key.step), {})[worker] = now
        self._tasks.keep(key).failed_on[worker] = now

    def suspects_worker(self, key: TaskKey, now: float) -> bool:
        """Return whether a failed run of a task speaks against its worker.

        A task that has failed on several workers is more likely to be faulty itself.
        """
        times = self.task(key).failed_on.values()
        return sum(now < at + FAILURE_EVIDENCE_SECONDS for at in times) < MAX_SUSPECTED_WORKERS

    @staticmethod
    def _delay_retry(task: Task, now: float) -> None:
        """Delay the next run of a long-running task whose run failed, if it fails repeatedly."""
        is_early = now - task.started_at < EARLY_FAILURE_SECONDS
        task.early_failures = task.early_failures + 1 if is_early else 0
        if task.early_failures > 1:
            doublings = min(task.early_failures - 2, MAX_RETRY_DOUBLINGS)
            task.earliest_retry = now + MIN_RETRY_DELAY_SECONDS * 2**doublings

    def failed_workers(self, occurrence: int, step: int, now: float) -> set[WorkerId]:
        """Return the workers on which runs of a step of an occurrence failed lately."""
        failures = self._failed_on.get((occurrence, step), {})
        return {name for name, at in failures.items() if now < at + FAILURE_EVIDENCE_SECONDS}

    def end_run(self, run: RunId, kind: EndKind, checkpoint: Checkpoint, now: float) -> bool:
        """Apply the end of a run; return False if it changes nothing."""
        task = self._current(run.task, run.number)
        if task is None:
            return self._end_former_run(run, kind)
        self.begun = True
        self._record_checkpoint(task, checkpoint)
        if kind is EndKind.FAILED:
            self.record_failure(task.key, task.assignment.worker, now)
        if self._is_long_running(task):
            if kind is EndKind.FAILED:
                self._delay_retry(task, now)
            self._release(task)
            return True
        if kind is EndKind.DONE:
            for member in self._gang_of(task):
                self._finish(member)
        elif kind is EndKind.FAILED and task.state is not TaskState.DONE:
            self._count_failure(task, run.number)
        self._release(task)
        return True

    def _end_former_run(self, run: RunId, kind: EndKind) -> bool:
        """Apply the end of a run that was released; return False if it changes nothing."""
        task = self.task(run.task)
        if task is None or self._is_long_running(task) or run.number > task.last_run_number:
            return False
        unfinished = [item for item in self._gang_of(task) if item.state is not TaskState.DONE]
        if kind is EndKind.DONE:
            for member in unfinished:
                self._finish(member)
            changed = bool(unfinished)
        elif kind is EndKind.FAILED and task in unfinished and not self.state.is_final:
            changed = self._count_failure(task, run.number)
        else:
            changed = False
        self.begun = self.begun or changed
        return changed

    def superfluous_runs(self, done: RunId) -> list[RunId]:
        """Return the other runs of a task, and of its gang, that a run has finished."""
        task = self.task(done.task)
        if task is None or task.state is not TaskState.DONE:
            return []
        return [
            RunId(self.job_id, member.key, member.assignment.number)
            for member in self._gang_of(task)
            if member.assignment is not None and member.assignment.number != done.number
        ]

    def is_superfluous(self, run: RunId) -> bool:
        """Return whether a run works on a task that another run has finished.

        The members of a gang end one by one, so a run of one that is done may be its own.
        """
        task = self._current(run.task, run.number)
        is_gang = self.step_of(run.task).gang
        return task is not None and task.state is TaskState.DONE and not is_gang

    def release(self, key: TaskKey, number: RunNumber) -> bool:
        """Return a task to waiting after its run turned out not to exist.

        Returns False if the run was not the current one of the task.
        """
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
        return self.group(task.key.occurrence, task.key.step)

    def _gang_of(self, task: Task) -> list[Task]:
        """Return the tasks that are done together with a task."""
        return self._members(task) if self.step_of(task.key).gang else [task]

    def _failures_of(self, task: Task) -> int:
        if self.step_of(task.key).gang:
            return sum(member.failures for member in self._members(task))
        return task.failures

    def _count_failure(self, task: Task, number: RunNumber) -> bool:
        """Count a failed run as an attempt; return False if it was counted before.

        A run of a gang counts once, even if several members fail.
        """
        if any(number in member.failed_runs for member in self._gang_of(task)):
            return False
        task.failed_runs.add(number)
        task.failures += 1
        self.failed = self.failed or self._failures_of(task) >= self.max_attempts
        return True

    def _is_long_running(self, task: Task) -> bool:
        return self.step_of(task.key).long_running

    def _finish(self, task: Task) -> None:
        if task.state is TaskState.DONE:
            return
        # Each member of a gang keeps its resources until its worker reports its own end.
        if self._tasks.finish(task):
            self._forget_occurrence(task.key.occurrence)

    def _release(self, task: Task) -> None:
        task.assignment = None
        task.stopping = False
        if task.state is not TaskState.DONE:
            task.state = TaskState.WAITING
        elif self._tasks.drop_if_done(task):
            self._forget_occurrence(task.key.occurrence)

    def _forget_occurrence(self, occurrence: int) -> None:
        """Drop what is known of the steps of an occurrence that has ended."""
        for number in range(len(self.submission.spec.steps)):
            for known in (self._failed_on, self._ready_since, self._room_since):
                known.pop((occurrence, number), None)

    def restore(
        self,
        key: TaskKey,
        state: TaskState,
        last_run_number: RunNumber,
        failures: int,
        checkpoint: Checkpoint,
        assignment: Assignment | None,
        failed_runs: Iterable[RunNumber] = (),
    ) -> None:
        """Set the state of a task from a stored record."""
        task = self._tasks.keep(key)
        if task is None:
            return
        task.last_run_number, task.failures, task.checkpoint = (
            last_run_number,
            failures,
            checkpoint,
        )
        task.assignment = assignment
        task.failed_runs = set(failed_runs)
        if state is TaskState.DONE:
            self._finish(task)
        else:
            task.state = state
        # A record does not tell whether a run that ended without a trace had begun.
        self.begun = self.begun or state is TaskState.DONE or failures > 0 or bool(checkpoint)
