"""The filter chain and the request that passes through it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Generic, TypeVar

from chivefall.model import AccountId, IdempotencyKey, JobSpec, Outcome, ServiceId, Urgency

__all__ = ["Filter", "FilterChain", "Proceed", "RequestContext", "RequestKind", "ServiceCall"]


class RequestKind(Enum):
    """What the caller asks for."""

    JOB = "job"
    SERVICE = "service"


@dataclass(frozen=True)
class ServiceCall:
    """A request to a service's endpoints.

    Attributes
    ----------
    body : Any
        JSON value that the endpoint receives.
    """

    service: ServiceId
    body: Any


@dataclass(frozen=True)
class RequestContext:
    """One request of a caller, independent of its transport.

    Attributes
    ----------
    received_at, deadline : float
        Seconds since the epoch.
    idempotent : bool
        Whether the request may run more than once.
    wait : bool
        Whether the caller waits for a job's final state.
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
        """Return whether the request has to start soon."""
        return self.job is not None and self.job.urgency is Urgency.URGENT


Proceed = Callable[[RequestContext], Awaitable[Outcome]]
Ctx = TypeVar("Ctx")
Out = TypeVar("Out")


class Filter(ABC, Generic[Ctx, Out]):
    """Answers a request, or passes it on and may act on the outcome."""

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
            Time at which this filter is reached, in seconds since the epoch.
        """


class FilterChain(Generic[Ctx, Out]):
    """Filters in the order in which a request passes them."""

    def __init__(self, filters: Sequence[Filter[Ctx, Out]], now: Callable[[], float]) -> None:
        self._filters = tuple(filters)
        self._now = now

    async def run(self, ctx: Ctx) -> Out:
        """Return the outcome of a request."""
        return await self._run_from(0, ctx)

    async def _run_from(self, index: int, ctx: Ctx) -> Out:
        async def proceed(following: Ctx) -> Out:
            return await self._run_from(index + 1, following)

        return await self._filters[index].handle(ctx, proceed, self._now())
