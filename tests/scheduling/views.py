"""Builders of views for the tests of scheduling policies."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from chivefall.model import (
    AccountId,
    Adjacency,
    GangMember,
    Guarantee,
    JobId,
    JobSpec,
    Placement,
    RackId,
    Urgency,
    WorkerId,
)
from chivefall.scheduling import ClusterView, QueuedJob, RunningJob, WorkerView

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["guarantee", "queued", "running", "spec", "view"]

URGENT = Urgency.URGENT


def spec(account: str, size: int, accelerators: int = 1, **changes: object) -> JobSpec:
    """Return a job specification."""
    return JobSpec(AccountId(account), "sort", gang_size=size, accelerators=accelerators, **changes)


def queued(name: str, what: JobSpec, submitted_at: float = 100.0, **changes: object) -> QueuedJob:
    """Return a queued job."""
    return QueuedJob(JobId(name), what, submitted_at, **changes)


def running(name: str, what: JobSpec, *workers: str, **changes: object) -> RunningJob:
    """Return a running job with its members dealt out to workers in turn."""
    members = tuple(
        GangMember(WorkerId(worker), RackId(worker[0]), what.accelerators)
        for worker in (workers[index % len(workers)] for index in range(what.gang_size))
    )
    return RunningJob(JobId(name), what, Placement(members), **{"started_at": 100.0, **changes})


def guarantee(account: str, size: int, accelerators: int = 1, **changes: object) -> Guarantee:
    """Return a guaranteed shape."""
    return Guarantee(AccountId(account), 1, size, accelerators, **changes)


def view(
    workers: Iterable[str],
    jobs: Iterable[RunningJob] = (),
    waiting: Iterable[QueuedJob] = (),
    **changes: object,
) -> ClusterView:
    """Return a view of workers with 8 accelerators; a name begins with its rack."""
    free = dict.fromkeys(workers, 8)
    jobs = tuple(jobs)
    for job in jobs:
        for member in job.placement:
            free[member.worker] -= member.accelerators
    views = tuple(
        WorkerView(WorkerId(name), RackId(name[0]), 8, count) for name, count in free.items()
    )
    return replace(ClusterView(views, tuple(waiting), jobs), **changes)


WORKER = Adjacency.WORKER
