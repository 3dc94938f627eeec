"""What a scheduling policy sees and what it decides."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from chivefall.model import (
    Account,
    AccountId,
    Guarantee,
    JobId,
    JobSpec,
    Placement,
    RackId,
    WorkerId,
    WorkerState,
)

__all__ = ["ClusterView", "Plan", "QueuedJob", "RunningJob", "SchedulingPolicy", "WorkerView"]


@dataclass(frozen=True)
class WorkerView:
    """A worker of the failure domain.

    Attributes
    ----------
    accelerators, free : int
        All accelerators, and those that no task or reservation holds.
    """

    worker: WorkerId
    rack: RackId
    accelerators: int
    free: int
    state: WorkerState = WorkerState.HEALTHY


@dataclass(frozen=True)
class QueuedJob:
    """A job that waits for its start.

    Attributes
    ----------
    submitted_at : float
        Seconds since the epoch.
    checkpointed_seconds : float
        Seconds of work that its checkpoint already holds.
    avoid : tuple of WorkerId
        Workers on which it failed before.
    """

    job_id: JobId
    spec: JobSpec
    submitted_at: float
    checkpointed_seconds: float = 0.0
    avoid: tuple[WorkerId, ...] = ()


@dataclass(frozen=True)
class RunningJob:
    """A job whose gang runs.

    Attributes
    ----------
    started_at : float
        Seconds since the epoch; 0 while it starts.
    checkpointable : bool
        Whether it may be checkpointed now; False while it starts.
    checkpointed_seconds : float
        Seconds of work that the checkpoint held from which it started.
    checkpointing : bool
        Whether its checkpoint is under way, after which its accelerators are free.
    """

    job_id: JobId
    spec: JobSpec
    placement: Placement
    started_at: float
    checkpointable: bool = True
    checkpointed_seconds: float = 0.0
    checkpointing: bool = False


@dataclass(frozen=True)
class ClusterView:
    """The state of one failure domain at one time.

    Attributes
    ----------
    guarantees : tuple of Guarantee
        The share of the region's guarantees that this domain has to honour.
    draining : bool
        Whether the domain is out of service; nothing may start.
    """

    workers: tuple[WorkerView, ...]
    queued: tuple[QueuedJob, ...] = ()
    running: tuple[RunningJob, ...] = ()
    guarantees: tuple[Guarantee, ...] = ()
    accounts: dict[AccountId, Account] = field(default_factory=dict)
    draining: bool = False


@dataclass(frozen=True)
class Plan:
    """Decisions of one scheduling round.

    Attributes
    ----------
    starts : tuple of (JobId, Placement)
        Jobs to start now; together they fit the free accelerators.
    preemptions : tuple of JobId
        Running jobs to checkpoint and queue again.
    moves : tuple of JobId
        Running jobs to checkpoint so that a waiting gang gets adjacent room.
    rejections : dict
        Jobs that can never run here, with the reason.
    """

    starts: tuple[tuple[JobId, Placement], ...] = ()
    preemptions: tuple[JobId, ...] = ()
    moves: tuple[JobId, ...] = ()
    rejections: dict[JobId, str] = field(default_factory=dict)


class SchedulingPolicy(ABC):
    """Decides what starts where, and what has to make room."""

    @abstractmethod
    def plan(self, view: ClusterView, now: float) -> Plan:
        """Return the decisions for one round."""

    def drain_order(self, view: ClusterView, now: float) -> tuple[JobId, ...]:
        """Return the jobs to checkpoint in a leaving domain, the first ones first."""
        del now
        return tuple(job.job_id for job in view.running if job.checkpointable)

    def observe_finished(self, spec: JobSpec, seconds: float) -> None:  # noqa: B027
        """Learn from the whole run time of a finished job."""
