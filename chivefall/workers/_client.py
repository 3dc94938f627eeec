"""The platform's worker interface and its tagged outcomes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any, Union

from chivefall.model import (
    AccountId,
    AttemptId,
    DomainId,
    EndpointId,
    Epoch,
    InstanceId,
    InstanceKind,
    InstanceStatus,
    JobId,
    RackId,
    ServiceId,
    TaskState,
    WorkerId,
)

if TYPE_CHECKING:
    from chivefall.config import Address

__all__ = [
    "CommandAccepted",
    "CommandOutcome",
    "CommandRefusalReason",
    "CommandRefused",
    "Instance",
    "LeaseReport",
    "LeaseRequest",
    "TaskReport",
    "TaskShare",
    "Unreachable",
    "WorkerClient",
]


class CommandRefusalReason(Enum):
    """Why a worker refused a command."""

    STALE_EPOCH = "stale_epoch"
    DUPLICATE = "duplicate"
    NO_ROOM = "no_room"
    LEAVING = "leaving"
    UNKNOWN_TASK = "unknown_task"
    MALFORMED = "malformed"


@dataclass(frozen=True)
class Instance:
    """An entry of the platform's list.

    Attributes
    ----------
    address : str
        ``host:port``; the peer address for entry instances.
    service : ServiceId or None
        Service of an endpoint; None for other kinds.
    """

    instance: InstanceId
    kind: InstanceKind
    failure_domain: DomainId
    address: str
    status: InstanceStatus = InstanceStatus.LIVE
    rack: RackId = RackId("")
    accelerators: int = 0
    slots: int = 8
    service: ServiceId | None = None

    @property
    def worker_id(self) -> WorkerId:
        """Return the instance's name as a worker."""
        return WorkerId(self.instance)

    @property
    def endpoint_id(self) -> EndpointId:
        """Return the instance's name as an endpoint."""
        return EndpointId(self.instance)


@dataclass(frozen=True)
class TaskShare:
    """The part of a gang that one worker runs.

    Attributes
    ----------
    members : tuple of int
        Indices of the gang's members on this worker.
    accelerators : int
        Accelerators of all these members together.
    checkpoint : str or None
        Checkpoint to resume from.
    run_time : float
        Declared run time in seconds.
    """

    attempt: AttemptId
    job_id: JobId
    account: AccountId
    command: str
    payload: Any
    members: tuple[int, ...]
    gang_size: int
    accelerators: int
    checkpoint: str | None = None
    run_time: float = 0.0


@dataclass(frozen=True)
class TaskReport:
    """What a worker says of one task.

    Attributes
    ----------
    progress : float
        Seconds of work done, including work before the last checkpoint.
    ran : bool
        Whether the share was committed; False proves that it never ran.
    """

    attempt: AttemptId
    job_id: JobId
    state: TaskState
    accelerators: int
    account: AccountId = AccountId("")
    progress: float = 0.0
    checkpoint: str | None = None
    answer: Any = None
    error: str | None = None
    confirmed: bool = False
    ran: bool = False

    @property
    def stage(self) -> int:
        """Return how far the task is; a report of a lower stage is older.

        Replies to commands and long polls overtake each other.
        """
        if self.state.is_final:
            return 3
        if self.state is TaskState.RUNNING:
            return 2 if self.confirmed else 1
        return 0


@dataclass(frozen=True)
class LeaseRequest:
    """Renews the leases of a worker and asks for changes.

    Attributes
    ----------
    ttl : float
        Seconds for which the leases are renewed; 0 reads the report without
        renewing, so that the leases of a lost worker end at a known time.
    seen : int
        Highest report sequence that the leader has processed; 0 asks for all.
    wait : float
        Seconds to wait for a change.
    """

    failure_domain: DomainId
    epoch: Epoch
    ttl: float
    seen: int
    wait: float


@dataclass(frozen=True)
class LeaseReport:
    """Changes since the sequence that the leader has seen."""

    worker: WorkerId
    sequence: int
    tasks: tuple[TaskReport, ...] = field(default=())


@dataclass(frozen=True)
class CommandAccepted:
    """The worker carried the command out; ``report`` is the task afterwards."""

    report: TaskReport | None = None


@dataclass(frozen=True)
class CommandRefused:
    """The worker proves that it did not carry the command out.

    Attributes
    ----------
    epoch : Epoch
        Highest epoch that the worker has seen.
    """

    refusal: CommandRefusalReason
    epoch: Epoch = Epoch(0)


@dataclass(frozen=True)
class Unreachable:
    """The worker did not answer.

    Attributes
    ----------
    sent : bool
        Whether the command may have been carried out.
    """

    reason: str
    sent: bool


CommandOutcome = Union[CommandAccepted, CommandRefused, Unreachable]


class WorkerClient(ABC):
    """Commands to workers; each carries the epoch of the sending leader."""

    @abstractmethod
    async def list_instances(self) -> tuple[Instance, ...] | Unreachable:
        """Read the platform's lagging list of instances."""

    @abstractmethod
    async def renew(
        self, address: Address, request: LeaseRequest
    ) -> LeaseReport | CommandRefused | Unreachable:
        """Renew a worker's leases and wait for changes of its tasks."""

    @abstractmethod
    async def reserve(
        self, address: Address, epoch: Epoch, share: TaskShare, ttl: float
    ) -> CommandOutcome:
        """Hold accelerators for ``ttl`` seconds without running anything."""

    @abstractmethod
    async def commit(
        self, address: Address, epoch: Epoch, attempt: AttemptId, gang_lease: float
    ) -> CommandOutcome:
        """Run a reserved share; it ends after ``gang_lease`` seconds if not confirmed."""

    @abstractmethod
    async def confirm(self, address: Address, epoch: Epoch, attempt: AttemptId) -> CommandOutcome:
        """Tell a running share that its whole gang runs."""

    @abstractmethod
    async def checkpoint(
        self, address: Address, epoch: Epoch, attempt: AttemptId
    ) -> CommandOutcome:
        """Save a share's state and end it."""

    @abstractmethod
    async def stop(self, address: Address, epoch: Epoch, attempt: AttemptId) -> CommandOutcome:
        """End a share or release its reservation."""
