"""Input and output of scheduling policies."""

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
    accelerators : int
        Number of accelerators of the worker.
    free : int
        Accelerators not used by any task.
    """

    worker: WorkerId
    rack: RackId
    accelerators: int
    free: int
    state: WorkerState = WorkerState.HEALTHY


@dataclass(frozen=True)
class QueuedJob:
    """A job that has not been started, or that is queued again after a checkpoint.

    Attributes
    ----------
    submitted_at : float
        Seconds since the Unix epoch.
    checkpointed_seconds : float
        Seconds of work saved in the job's checkpoint; 0 without one.
    avoid : tuple of WorkerId
        Workers to avoid because the job failed there before.
    """

    job_id: JobId
    spec: JobSpec
    submitted_at: float
    checkpointed_seconds: float = 0.0
    avoid: tuple[WorkerId, ...] = ()


@dataclass(frozen=True)
class RunningJob:
    """A job whose gang is placed on workers.

    Attributes
    ----------
    started_at : float
        Seconds since the Unix epoch; 0 while the job is starting.
    checkpointable : bool
        Whether the job can be checkpointed now; False while it is starting.
    checkpointed_seconds : float
        Seconds of work saved in the checkpoint from which the job was started.
    checkpointing : bool
        Whether a checkpoint is in progress; the accelerators are released after it.
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
        This domain's share of the guarantees of the region.
    draining : bool
        Whether the domain is out of service; no job may start.
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
        Jobs to start now; the free accelerators suffice for all of them together.
    preemptions : tuple of JobId
        Running jobs to checkpoint and queue again.
    moves : tuple of JobId
        Running jobs to checkpoint and start on other workers of the domain, to free
        adjacent accelerators for a waiting gang.
    rejections : dict
        Jobs that can never run in this domain, with the reason.
    """

    starts: tuple[tuple[JobId, Placement], ...] = ()
    preemptions: tuple[JobId, ...] = ()
    moves: tuple[JobId, ...] = ()
    rejections: dict[JobId, str] = field(default_factory=dict)


class SchedulingPolicy(ABC):
    """Decides which jobs start on which workers and which running jobs are preempted."""

    @abstractmethod
    def plan(self, view: ClusterView, now: float) -> Plan:
        """Return the decisions of one scheduling round at time ``now``."""

    def drain_order(self, view: ClusterView, now: float) -> tuple[JobId, ...]:
        """Return the running jobs of a draining domain in the order to checkpoint them."""
        del now
        return tuple(job.job_id for job in view.running if job.checkpointable)

    def observe_finished(self, spec: JobSpec, seconds: float) -> None:  # noqa: B027
        """Record the total run time of a finished job, for later estimates."""
