"""Filter chain, base class of filters and request context."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Generic, TypeVar

from chivefall.model import AccountId, IdempotencyKey, JobSpec, Outcome, ServiceId, Urgency

__all__ = ["Filter", "FilterChain", "Proceed", "RequestContext", "RequestKind", "ServiceCall"]


class RequestKind(Enum):
    """Kind of request."""

    JOB = "job"
    SERVICE = "service"


@dataclass(frozen=True)
class ServiceCall:
    """A request to the endpoints of a service.

    Attributes
    ----------
    body : Any
        JSON value to send to the endpoint.
    """

    service: ServiceId
    body: Any


@dataclass(frozen=True)
class RequestContext:
    """One client request, independent of its transport.

    Attributes
    ----------
    received_at, deadline : float
        Seconds since the Unix epoch.
    idempotent : bool
        Whether the request may be executed more than once.
    wait : bool
        Whether the client waits for the job's final state.
    """

    kind: RequestKind
    account: AccountId
    received_at: float
    deadline: float
    idempotency_key: IdempotencyKey | None = None
    idempotent: bool = True
    job: JobSpec | None = None
    service: ServiceCall | None = None
    wait: bool = False

    @property
    def urgent(self) -> bool:
        """Return whether the request submits an urgent job."""
        return self.job is not None and self.job.urgency is Urgency.URGENT


Proceed = Callable[[RequestContext], Awaitable[Outcome]]
Ctx = TypeVar("Ctx")
Out = TypeVar("Out")


class Filter(ABC, Generic[Ctx, Out]):
    """Responds to a request, or passes it on and may process the outcome."""

    @abstractmethod
    async def handle(self, ctx: Ctx, proceed: Callable[[Ctx], Awaitable[Out]], now: float) -> Out:
        """Return the request's outcome.

        Parameters
        ----------
        ctx : RequestContext or BatchRequest
            The request.
        proceed : callable
            Runs the rest of the chain.
        now : float
            Time at which the request reaches this filter, in seconds since the Unix epoch.
        """


class FilterChain(Generic[Ctx, Out]):
    """Runs requests through filters in order."""

    def __init__(self, filters: Sequence[Filter[Ctx, Out]], now: Callable[[], float]) -> None:
        self._filters = tuple(filters)
        self._now = now

    async def run(self, ctx: Ctx) -> Out:
        """Return the outcome of a request."""
        return await self._run_from(0, ctx)

    async def _run_from(self, index: int, ctx: Ctx) -> Out:
        async def proceed(next_ctx: Ctx) -> Out:
            return await self._run_from(index + 1, next_ctx)

        return await self._filters[index].handle(ctx, proceed, self._now())
