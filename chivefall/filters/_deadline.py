"""Ends every request shortly after its deadline at the latest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.filters._base import Filter, Proceed, RequestContext
from chivefall.filters._pending_outcomes import PendingOutcomes
from chivefall.model import NotRun, NotRunReason, Outcome, Unknown
from chivefall.runtime import Clock, spawn, wait_for
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from typing import Any

__all__ = ["DeadlineFilter"]

GRACE_SECONDS = 0.5
"""Time after the deadline for later filters and controllers to return their own outcome.

They also stop at the deadline, with a more specific outcome than ``Unknown``.
"""


class DeadlineFilter(Filter[RequestContext, Outcome]):
    """Refuses requests after their deadline and ends those that exceed it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pending = PendingOutcomes()

    async def handle(self, ctx: RequestContext, proceed: Proceed, now: float) -> Outcome:
        """Pass on the request; return ``Unknown`` shortly after its deadline."""
        if now >= ctx.deadline:
            return NotRun(
                NotRunReason.DEADLINE_EXCEEDED,
                "the deadline passed before the request was sent; use a longer X-Chivefall-Timeout",
            )
        outcome: Any = spawn(proceed(ctx), on_error=_log_error)
        fallback = Unknown("instance shut down before the outcome was known")
        limit = ctx.deadline - now + GRACE_SECONDS
        late = Unknown("no outcome within the deadline")
        return await wait_for(self._clock, self._pending.track(outcome, fallback), limit, late)

    def end_requests(self) -> None:
        """End every request in progress with the outcome ``Unknown``."""
        self._pending.resolve_all()


def _log_error(exc: BaseException) -> None:
    log_event(LogEvent.UNHANDLED_ERROR, controller="DeadlineFilter", error=repr(exc))
