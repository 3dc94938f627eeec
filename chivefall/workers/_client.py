"""Interface of clients of the platform's workers, and the outcomes of commands."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any, Union

from chivefall.model import (
    AccountId,
    AttemptId,
    ConnectionId,
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
    from collections.abc import Collection

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
    NO_ROOM = "no_room"  # not enough free accelerators
    LEAVING = "leaving"
    UNKNOWN_TASK = "unknown_task"
    MALFORMED = "malformed"


@dataclass(frozen=True)
class Instance:
    """An entry of the platform's list of instances.

    Attributes
    ----------
    address : str
        ``host:port``; the peer address for entry instances.
    slots : int
        Requests that an endpoint handles at the same time.
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
        """Return the instance's id as a worker."""
        return WorkerId(self.instance)

    @property
    def endpoint_id(self) -> EndpointId:
        """Return the instance's id as an endpoint."""
        return EndpointId(self.instance)


@dataclass(frozen=True)
class TaskShare:
    """The part of a gang that one worker runs.

    Attributes
    ----------
    members : tuple of int
        Indices of the gang's members on this worker.
    accelerators : int
        Total accelerators of these members.
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
    """A worker's report about its share of one attempt.

    Attributes
    ----------
    progress : float
        Completed work in seconds, including the work before the last checkpoint.
    confirmed : bool
        Whether the leader confirmed that the whole gang runs.
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
        """Return the stage of the task's life cycle; a report with a lower stage is older.

        Responses to commands and to long polls can arrive out of order.
        """
        if self.state.is_final:
            return 3
        if self.state is TaskState.RUNNING:
            return 2 if self.confirmed else 1
        return 0


@dataclass(frozen=True)
class LeaseRequest:
    """A request to renew a worker's leases and to report changes of its tasks.

    Attributes
    ----------
    ttl : float
        Seconds for which the leases are renewed; 0 requests the report without a
        renewal, so that the leases of a lost worker end at a known time.
    seen : int
        Highest report sequence that the leader has processed; 0 requests all tasks.
    wait : float
        Maximum seconds to wait for a change.
    """

    failure_domain: DomainId
    epoch: Epoch
    ttl: float
    seen: int
    wait: float


@dataclass(frozen=True)
class LeaseReport:
    """Tasks that changed since the sequence in the request.

    Attributes
    ----------
    connection : ConnectionId or None
        The connection over which the report came; not part of the message.
    """

    worker: WorkerId
    sequence: int
    tasks: tuple[TaskReport, ...] = field(default=())
    connection: ConnectionId | None = None


@dataclass(frozen=True)
class CommandAccepted:
    """The worker executed the command; ``report`` is the task's state afterwards."""

    report: TaskReport | None = None


@dataclass(frozen=True)
class CommandRefused:
    """The worker refused the command, which proves that it did not execute it.

    Attributes
    ----------
    epoch : Epoch
        Highest epoch that the worker has seen.
    """

    refusal: CommandRefusalReason
    epoch: Epoch = Epoch(0)


@dataclass(frozen=True)
class Unreachable:
    """No valid response was received.

    Attributes
    ----------
    sent : bool
        Whether the request was sent, so that a command may have been executed.
    """

    reason: str
    sent: bool


CommandOutcome = Union[CommandAccepted, CommandRefused, Unreachable]


class WorkerClient(ABC):
    """Sends commands to workers; each carries the epoch of the sending leader."""

    @abstractmethod
    async def list_instances(self) -> tuple[Instance, ...] | Unreachable:
        """Read the platform's list of instances, which lags behind the actual state."""

    @abstractmethod
    async def renew(
        self,
        address: Address,
        request: LeaseRequest,
        connections: Collection[ConnectionId] | None = None,
    ) -> LeaseReport | CommandRefused | Unreachable:
        """Renew a worker's leases and wait for changes of its tasks.

        Parameters
        ----------
        connections : collection of ConnectionId, optional
            The connections that may carry the request, which is not sent if none is open.
        """

    @abstractmethod
    async def reserve(
        self, address: Address, epoch: Epoch, share: TaskShare, ttl: float
    ) -> CommandOutcome:
        """Reserve accelerators for ``ttl`` seconds without running anything."""

    @abstractmethod
    async def commit(
        self, address: Address, epoch: Epoch, attempt: AttemptId, gang_lease: float
    ) -> CommandOutcome:
        """Start a reserved share; it ends after ``gang_lease`` seconds unless confirmed."""

    @abstractmethod
    async def confirm(self, address: Address, epoch: Epoch, attempt: AttemptId) -> CommandOutcome:
        """Confirm to a running share that its whole gang runs."""

    @abstractmethod
    async def checkpoint(
        self, address: Address, epoch: Epoch, attempt: AttemptId
    ) -> CommandOutcome:
        """Checkpoint a share and end it."""

    @abstractmethod
    async def stop(self, address: Address, epoch: Epoch, attempt: AttemptId) -> CommandOutcome:
        """End a share or release its reservation."""
