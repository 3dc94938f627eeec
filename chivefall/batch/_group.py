"""Waiting tasks that a round places together, and their order."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.batch._job import BatchJob, Task, TaskState
from chivefall.batch._model import Queue, Resources, StepSpec

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from chivefall.batch._plan import Candidate
    from chivefall.model import AccountId, JobId

__all__ = [
    "GUARANTEED_RANK",
    "URGENT_RANK",
    "Group",
    "chain_seconds",
    "cores_of",
    "find_groups",
    "rank_jobs",
]

URGENT_PRIORITY = 0
GUARANTEED_RANK = 0  # urgent work within its account's guarantee; it may stop all other work
URGENT_RANK = 1  # other urgent work; it may stop work that is not urgent
ACCELERATOR_CORES = 8  # cores that one accelerator counts as when work is compared
LATE_FACTOR = 3.0  # a job that takes longer than this times its objective has no value


@dataclass
class Group:
    """Waiting tasks of one step in one occurrence.

    Attributes
    ----------
    objective : float
        Seconds in which the job should complete from the time it could begin.
    rank : int
        Smaller ranks come first and may stop larger ones.
    """

    job: BatchJob
    queue: Queue
    step: StepSpec
    occurrence: int
    tasks: list[Task]
    objective: float
    rank: int

    @property
    def urgent(self) -> bool:
        return self.rank <= URGENT_RANK

    @property
    def due(self) -> float:
        """Return by when the job should complete, in seconds since the epoch."""
        return self.begins_at + self.objective

    def latest_start(self) -> float:
        """Return when the group has to start to complete in time."""
        return self.due - self.step.run_time

    @property
    def begins_at(self) -> float:
        """Return when callers began to wait for the group, in seconds since the epoch."""
        submission = self.job.submission
        return max(submission.submitted_at, submission.spec.earliest_start(self.occurrence))

    def work(self) -> float:
        """Return the declared work in core-seconds."""
        return cores_of(self.step.resources) * len(self.tasks) * self.step.run_time

    def order(self, now: float) -> tuple:
        """Return the key by which groups are placed; smaller ones come first."""
        worthless = now > self.begins_at + LATE_FACTOR * self.objective
        rank = min(self.rank, URGENT_RANK + 1)
        return (rank, worthless, self.latest_start(), self.job.job_id)


def cores_of(room: Resources) -> float:
    """Return room in cores, with accelerators counted as the users do."""
    return room.cpu / 1000 + ACCELERATOR_CORES * room.accelerators


def chain_seconds(job: BatchJob) -> float:
    """Return the declared run time of the longest chain of steps, in seconds."""
    ends: list[float] = []
    for step in job.submission.spec.steps:
        begin = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(begin + step.run_time)
    return max(ends, default=0.0)


def rank_jobs(
    candidates: Sequence[Candidate], guarantees: Mapping[AccountId, int]
) -> dict[JobId, int]:
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
            step.count * step.resources.accelerators for step in job.submission.spec.steps[:1]
        )
        if needed[account] <= guarantees.get(account, 0):
            ranks[job.job_id] = GUARANTEED_RANK
    return ranks


def find_groups(
    candidates: Sequence[Candidate], ranks: Mapping[JobId, int], now: float
) -> list[Group]:
    """Return the groups that may start, in the order in which they are placed."""
    groups = []
    for item in candidates:
        job, spec = item.job, item.job.submission.spec
        for occurrence, number in job.ready_groups(now):
            step, tasks = spec.steps[number], job.group(occurrence, number)
            waiting = [task for task in tasks if task.state is TaskState.WAITING]
            if step.gang and len(waiting) < len(tasks):
                continue  # Members of an earlier run have not ended yet.
            objective = item.queue.stretch * chain_seconds(job) + item.queue.target_latency
            rank = ranks[job.job_id]
            groups.append(Group(job, item.queue, step, occurrence, waiting, objective, rank))
    return sorted(groups, key=lambda group: group.order(now))
