"""Jobs, their gangs and their records."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from chivefall.model._ids import AccountId, AttemptId, DomainId, JobId, RackId, WorkerId
from chivefall.model._states import Adjacency, JobState, Urgency

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["GangMember", "JobRecord", "JobSpec", "Placement", "domain_of_job"]


@dataclass(frozen=True)
class JobSpec:
    """A caller's specification of a job.

    Attributes
    ----------
    account : AccountId
        Client account that is charged.
    command : str
        Name of the program that every member runs.
    payload : Any
        JSON value passed to every member.
    gang_size : int
        Number of members that run together.
    accelerators : int
        Accelerators of each member; 0 for work that needs only CPUs.
    adjacency : Adjacency
        Topology level within which the whole gang is placed.
    run_time : float
        Declared run time in seconds; often inaccurate.
    urgency : Urgency
        URGENT work starts before all other work of its account.
    idempotent : bool
        Whether the job may safely run twice.
    """

    account: AccountId
    command: str
    payload: Any = None
    gang_size: int = 1
    accelerators: int = 1
    adjacency: Adjacency = Adjacency.RACK
    run_time: float = 60.0
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = True

    @property
    def total_accelerators(self) -> int:
        """Return the accelerators of the whole gang."""
        return self.gang_size * self.accelerators


@dataclass(frozen=True)
class GangMember:
    """The worker of a gang member and the accelerators that it uses there."""

    worker: WorkerId
    rack: RackId
    accelerators: int


@dataclass(frozen=True)
class Placement:
    """The workers of a whole gang, with one entry for each member."""

    members: tuple[GangMember, ...]

    def __iter__(self) -> Iterator[GangMember]:
        return iter(self.members)

    def __len__(self) -> int:
        return len(self.members)


@dataclass(frozen=True)
class JobRecord:
    """The stored state of a job.

    Attributes
    ----------
    submitted_at, started_at, finished_at : float
        Unix times in seconds; 0 while the event has not happened.
    attempt : AttemptId or None
        Attempt that may be running; None if none is.
    attempts : int
        Number of attempts made so far.
    checkpoint : str or None
        Name of the last checkpoint to resume from.
    progress : float
        Completed work at the last checkpoint, in seconds.
    ran : bool
        Whether an attempt may have run; False only if no attempt was committed or
        every share proved that it did not run.
    uncertain : bool
        Whether a non-idempotent job ended without proof of what its attempt did.
    failures : int
        Number of attempts that ended because a share failed.
    cancel_requested : bool
        Whether the job ends as CANCELLED once its shares are proven to have stopped.
    moved_to : DomainId or None
        Domain whose leader owns the job now, in states MOVED and TRANSFERRING.
    transfers : int
        Number of transfers between failure domains; used to detect a repeated one.
    """

    job_id: JobId
    spec: JobSpec
    state: JobState = JobState.QUEUED
    submitted_at: float = 0.0
    started_at: float = 0.0
    finished_at: float = 0.0
    attempt: AttemptId | None = None
    attempts: int = 0
    placement: Placement | None = None
    checkpoint: str | None = None
    progress: float = 0.0
    answer: Any = None
    error: str | None = None
    ran: bool = False
    uncertain: bool = False
    failures: int = 0
    cancel_requested: bool = False
    moved_to: DomainId | None = None
    transfers: int = 0
    failed_workers: tuple[WorkerId, ...] = field(default=())

    def with_state(self, state: JobState, **changes: Any) -> JobRecord:
        """Return a copy in another state, with further changes."""
        return replace(self, state=state, **changes)


def domain_of_job(job_id: JobId) -> DomainId:
    """Return the failure domain whose leader created a job id."""
    return DomainId(job_id.partition(".")[0])
