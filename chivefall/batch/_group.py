"""Groups of waiting tasks and the order in which a scheduling round places them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.batch._job import BatchJob
from chivefall.batch._model import Queue, Resources, StepSpec
from chivefall.batch._task_table import StepTasks

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from chivefall.batch._plan import Candidate
    from chivefall.model import AccountId, JobId

__all__ = [
    "GUARANTEED_RANK",
    "URGENT_RANK",
    "TaskGroup",
    "core_equivalents",
    "critical_path_seconds",
    "find_groups",
    "rank_jobs",
]

URGENT_PRIORITY = 0
GUARANTEED_RANK = 0  # urgent jobs within their account's guarantee; may preempt all other jobs
URGENT_RANK = 1  # other urgent jobs; may preempt jobs that are not urgent
ACCELERATOR_CORE_EQUIVALENT = 8  # cores that one accelerator counts as when work is compared
LATE_FACTOR = 3.0  # a job has no value once it takes longer than this times its objective


@dataclass
class TaskGroup:
    """Waiting tasks of one step of one occurrence of a job.

    Attributes
    ----------
    step_number : int
        Index of the step in its job.
    tasks : StepTasks
        All tasks of the step.
    count : int
        Number of those that can start.
    objective_seconds : float
        Time from ``waiting_since`` within which the job should complete, in seconds.
    rank : int
        Lower ranks are placed first; urgent ranks may preempt higher ones.
    """

    job: BatchJob
    queue: Queue
    step: StepSpec
    occurrence: int
    step_number: int
    tasks: StepTasks
    count: int
    objective_seconds: float
    rank: int

    @property
    def urgent(self) -> bool:
        return self.rank <= URGENT_RANK

    @property
    def deadline(self) -> float:
        """Return the time by which the job should complete, in seconds since the Unix epoch."""
        return self.waiting_since + self.objective_seconds

    def latest_start(self) -> float:
        """Return the latest start that meets the deadline, in seconds since the Unix epoch."""
        return self.deadline - self.step.run_time

    @property
    def waiting_since(self) -> float:
        """Return when the caller's wait for the group began, in seconds since the Unix epoch."""
        submission = self.job.submission
        return max(submission.submitted_at, submission.spec.earliest_start(self.occurrence))

    def core_seconds(self) -> float:
        """Return the declared work of the group in core-seconds."""
        return core_equivalents(self.step.resources) * self.count * self.step.run_time

    def sort_key(self, now: float) -> tuple:
        """Return the sort key of the group in a round; lower keys are placed first."""
        too_late = now > self.waiting_since + LATE_FACTOR * self.objective_seconds
        rank = min(self.rank, URGENT_RANK + 1)
        return (rank, too_late, self.rank, self.latest_start(), self.job.job_id)


def core_equivalents(resources: Resources) -> float:
    """Return resources in cores, with accelerators converted as the users convert them."""
    return resources.cpu / 1000 + ACCELERATOR_CORE_EQUIVALENT * resources.accelerators


def critical_path_seconds(job: BatchJob) -> float:
    """Return the declared run time of the longest chain of dependent steps, in seconds."""
    ends: list[float] = []
    for step in job.submission.spec.steps:
        start = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(start + step.run_time)
    return max(ends, default=0.0)


def rank_jobs(
    candidates: Sequence[Candidate], guarantees: Mapping[AccountId, int]
) -> dict[JobId, int]:
    """Return the rank of each job.

    The guarantee of an account covers its oldest urgent jobs, counting the accelerators
    of their first steps.
    """
    ranks: dict[JobId, int] = {}
    needed: dict[AccountId, int] = defaultdict(int)
    for item in sorted(candidates, key=lambda item: item.job.submission.submitted_at):
        job = item.job
        ranks[job.job_id] = URGENT_RANK + item.queue.priority
        if item.queue.priority != URGENT_PRIORITY or job.state.is_final:
            continue
        account = job.submission.account
        needed[account] += sum(
            step.count * step.resources.accelerators for step in job.submission.spec.steps[:1]
        )
        if needed[account] <= guarantees.get(account, 0):
            ranks[job.job_id] = GUARANTEED_RANK
    return ranks


def find_groups(
    candidates: Sequence[Candidate], ranks: Mapping[JobId, int], now: float, *, is_busy: bool
) -> list[TaskGroup]:
    """Return the groups that are ready to start, in the order in which to place them.

    Parameters
    ----------
    is_busy : bool
        Whether preempted tasks wait before their next run.
    """
    groups = []
    for item in candidates:
        job, spec = item.job, item.job.submission.spec
        for occurrence, number in job.ready_groups(now):
            step, tasks = spec.steps[number], job.step_tasks(occurrence, number)
            count = tasks.count_waiting(now, is_busy=is_busy)
            if not count or (step.gang and count < step.count):
                continue  # Members of the gang's previous run have not ended yet.
            objective = item.queue.stretch * critical_path_seconds(job) + item.queue.target_latency
            rank = ranks[job.job_id]
            groups.append(
                TaskGroup(job, item.queue, step, occurrence, number, tasks, count, objective, rank)
            )
    return sorted(groups, key=lambda group: group.sort_key(now))
