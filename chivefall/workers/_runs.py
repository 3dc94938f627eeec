"""Interface of clients that start runs of batch jobs on workers, and the outcomes of orders."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Union

from chivefall.batch import Checkpoint, EndKind, EndSequence, Incarnation, RunId
from chivefall.model import ConnectionId, Epoch

if TYPE_CHECKING:
    from chivefall.batch import WorkerEntry

__all__ = [
    "Acknowledgement",
    "IncarnationMismatch",
    "NoResponse",
    "NotSent",
    "OrderAccepted",
    "OrderOutcome",
    "OrderPermission",
    "OrderRefusalReason",
    "OrderRefused",
    "PollMode",
    "RenewalOutcome",
    "RunClient",
    "RunEnd",
    "RunOrder",
    "RunReport",
    "RunStatus",
]


class OrderRefusalReason(Enum):
    """Why a worker refused an order and did not execute it."""

    FENCED = "fenced"  # the worker has received an order with a higher epoch
    OUTDATED = "outdated"  # this run, or a later one of its task, has ended or was stopped
    LATE = "late"  # the order arrived after its deadline
    NO_ROOM = "no_room"  # not enough free capacity
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"  # the worker is overloaded or unavailable
    MALFORMED = "malformed"


@dataclass(frozen=True)
class OrderPermission:
    """The leadership under which an order was decided.

    Attributes
    ----------
    epoch : Epoch
        Sent with the order; workers refuse orders below the highest epoch that they have seen.
    valid_until : float
        Time from which the order may no longer be sent, in seconds since the Unix epoch.
    """

    epoch: Epoch
    valid_until: float


@dataclass(frozen=True)
class RunOrder:
    """An order to start a run.

    Attributes
    ----------
    deadline : float
        End of the lease, in seconds of the worker's clock.
    """

    run: RunId
    payload: str
    deadline: float
    checkpoint: Checkpoint


@dataclass(frozen=True)
class RunStatus:
    """A run that has not ended.

    Attributes
    ----------
    progress : float
        Completed fraction of the work, from 0 to 1.
    """

    run: RunId
    checkpoint: Checkpoint
    progress: float


@dataclass(frozen=True)
class RunEnd:
    """The end of a run, reported until it is acknowledged."""

    sequence: EndSequence
    run: RunId
    kind: EndKind
    checkpoint: Checkpoint


@dataclass(frozen=True)
class Acknowledgement:
    """Tells a worker that ends have been processed, so that it may forget them.

    Sequences start anew in each incarnation, and a worker may restart under its id at any
    time. A connection does not outlive the worker's process, so an acknowledgement over one
    that brought a report of an incarnation reaches that incarnation or none.

    Attributes
    ----------
    sequence : EndSequence
        All ends up to this one have been processed.
    connections : frozenset of ConnectionId or None
        The connections over which it may be sent; None if the next incarnation cannot have
        any end, so that it may be sent over any connection.
    """

    sequence: EndSequence
    connections: frozenset[ConnectionId] | None


@dataclass(frozen=True)
class OrderAccepted:
    """The worker executed the order.

    Attributes
    ----------
    clock : float
        The worker's clock in seconds.
    """

    clock: float


@dataclass(frozen=True)
class RunReport:
    """The runs of a worker and the ends that are not acknowledged yet.

    Attributes
    ----------
    clock : float
        The worker's clock in seconds.
    is_complete : bool
        Whether the report lists all ends that are not acknowledged, and not only the first ones.
    connection : ConnectionId or None
        The connection over which the report came.
    """

    clock: float
    incarnation: Incarnation
    running: tuple[RunStatus, ...]
    ends: tuple[RunEnd, ...]
    is_complete: bool = True
    connection: ConnectionId | None = None


@dataclass(frozen=True)
class OrderRefused:
    """The worker refused the order and did not execute it."""

    reason: OrderRefusalReason
    detail: str = ""


@dataclass(frozen=True)
class IncarnationMismatch:
    """Another incarnation or worker uses the address; the order was not executed."""


@dataclass(frozen=True)
class NoResponse:
    """No valid response was received; the order may have been executed, or may still be.

    Attributes
    ----------
    sent : bool
        Whether any part of the call may have been sent; otherwise it is never executed.
    connection : ConnectionId or None
        The connection over which it was sent, if that is known.
    is_invalid : bool
        Whether a response arrived that cannot be used.
    is_local : bool
        Whether the call failed for reasons of this instance, so that it says nothing about
        the worker.
    """

    reason: str
    sent: bool = True
    connection: ConnectionId | None = None
    is_invalid: bool = False
    is_local: bool = False


@dataclass(frozen=True)
class NotSent:
    """The call was not sent, because none of the connections that may carry it is open."""

    reason: str


OrderOutcome = Union[OrderAccepted, OrderRefused, IncarnationMismatch, NoResponse]
RenewalOutcome = Union[RunReport, OrderRefused, IncarnationMismatch, NoResponse, NotSent]


class PollMode(Enum):
    """Connection and timeout of a poll."""

    ROUTINE = "routine"  # any open connection, and the full timeout
    QUICK = "quick"  # a new connection, and a timeout by the round trips of other calls
    PATIENT = "patient"  # a new connection, and the full timeout


class RunClient(ABC):
    """Sends orders for runs of batch jobs to workers, unless their permission has expired."""

    @abstractmethod
    async def start(
        self, worker: WorkerEntry, order: RunOrder, permission: OrderPermission
    ) -> OrderOutcome:
        """Start a run; the order is idempotent."""

    @abstractmethod
    async def stop(
        self, worker: WorkerEntry, run: RunId, permission: OrderPermission
    ) -> OrderOutcome:
        """Stop a run; if it has not started yet, its start will be refused."""

    @abstractmethod
    async def renew_leases(
        self,
        worker: WorkerEntry,
        permission: OrderPermission,
        deadline: float | None,
        acknowledgement: Acknowledgement | None,
        wait: float,
        mode: PollMode = PollMode.ROUTINE,
    ) -> RenewalOutcome:
        """Extend all leases, acknowledge ends and return the worker's report.

        Parameters
        ----------
        deadline : float or None
            New end of the leases, in seconds of the worker's clock; None keeps the current end.
        acknowledgement : Acknowledgement or None
            The ends that the worker may forget; None lets it forget nothing.
        wait : float
            Seconds after which the worker reports, unless a run ends before.
        mode : PollMode
            Connection and timeout. A cut may have silenced the open connections to a worker
            that does not respond, so it is polled over new ones.
        """
