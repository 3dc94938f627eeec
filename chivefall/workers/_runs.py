"""Interface of workers that start single runs under leases, and its tagged outcomes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Union

from chivefall.batch import Checkpoint, EndKind, EndSequence, Incarnation, RunId

if TYPE_CHECKING:
    from chivefall.batch import WorkerEntry
    from chivefall.model import Epoch

__all__ = [
    "IncarnationMismatch",
    "NoResponse",
    "OrderAccepted",
    "OrderOutcome",
    "OrderRefusalReason",
    "OrderRefused",
    "RenewalOutcome",
    "RunClient",
    "RunEnd",
    "RunOrder",
    "RunReport",
    "RunStatus",
]


class OrderRefusalReason(Enum):
    """Why a worker refused an order; nothing was done."""

    FENCED = "fenced"  # a higher epoch gave orders
    OUTDATED = "outdated"  # this run or a later one ended or was stopped there
    LATE = "late"  # the deadline of the order has passed
    NO_ROOM = "no_room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


@dataclass(frozen=True)
class RunOrder:
    """A start.

    Attributes
    ----------
    deadline : float
        End of the lease on the worker's clock, in seconds.
    """

    run: RunId
    payload: str
    deadline: float
    checkpoint: Checkpoint


@dataclass(frozen=True)
class RunStatus:
    """A run that goes on.

    Attributes
    ----------
    progress : float
        Part of the work that is done, 0 to 1.
    """

    run: RunId
    checkpoint: Checkpoint
    progress: float


@dataclass(frozen=True)
class RunEnd:
    """The end of a run, listed until it is acknowledged."""

    sequence: EndSequence
    run: RunId
    kind: EndKind
    checkpoint: Checkpoint


@dataclass(frozen=True)
class OrderAccepted:
    """The worker carried the order out.

    Attributes
    ----------
    clock : float
        The worker's clock in seconds.
    """

    clock: float


@dataclass(frozen=True)
class RunReport:
    """What a worker runs and which ends it lists."""

    clock: float
    incarnation: Incarnation
    running: tuple[RunStatus, ...]
    ends: tuple[RunEnd, ...]


@dataclass(frozen=True)
class OrderRefused:
    """The worker did nothing."""

    reason: OrderRefusalReason
    detail: str = ""


@dataclass(frozen=True)
class IncarnationMismatch:
    """Another life of the worker, or another worker, has the address; nothing was done."""


@dataclass(frozen=True)
class NoResponse:
    """No answer came; the order may have been carried out, or may be later."""

    reason: str


OrderOutcome = Union[OrderAccepted, OrderRefused, IncarnationMismatch, NoResponse]
RenewalOutcome = Union[RunReport, OrderRefused, IncarnationMismatch, NoResponse]


class RunClient(ABC):
    """Gives orders to workers."""

    @abstractmethod
    async def start(self, worker: WorkerEntry, order: RunOrder, epoch: Epoch) -> OrderOutcome:
        """Start a run; repeating the same order is harmless."""

    @abstractmethod
    async def stop(self, worker: WorkerEntry, run: RunId, epoch: Epoch) -> OrderOutcome:
        """Stop a run; one that is not there yet will be refused."""

    @abstractmethod
    async def renew_leases(
        self,
        worker: WorkerEntry,
        epoch: Epoch,
        deadline: float | None,
        acknowledged: EndSequence,
        wait: float,
    ) -> RenewalOutcome:
        """Extend all leases, acknowledge ends and return the report.

        The report comes after ``wait`` seconds or at the next end.
        """
