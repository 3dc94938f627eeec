"""Builders of cluster views for the tests of scheduling policies."""

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


def queued(
    name: str, job_spec: JobSpec, submitted_at: float = 100.0, **changes: object
) -> QueuedJob:
    """Return a queued job."""
    return QueuedJob(JobId(name), job_spec, submitted_at, **changes)


def running(name: str, job_spec: JobSpec, *workers: str, **changes: object) -> RunningJob:
    """Return a running job whose members are assigned to the workers in turn."""
    members = tuple(
        GangMember(WorkerId(worker), RackId(worker[0]), job_spec.accelerators)
        for worker in (workers[index % len(workers)] for index in range(job_spec.gang_size))
    )
    return RunningJob(JobId(name), job_spec, Placement(members), **{"started_at": 100.0, **changes})


def guarantee(account: str, size: int, accelerators: int = 1, **changes: object) -> Guarantee:
    """Return a guaranteed shape."""
    return Guarantee(AccountId(account), 1, size, accelerators, **changes)


def view(
    workers: Iterable[str],
    jobs: Iterable[RunningJob] = (),
    waiting: Iterable[QueuedJob] = (),
    **changes: object,
) -> ClusterView:
    """Return a view of workers with 8 accelerators; the first letter of a name is the rack."""
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
