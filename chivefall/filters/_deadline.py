"""Answers every request by its deadline."""

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

# The filters and controllers below end at the deadline themselves and know more than "unknown".
GRACE_SECONDS = 0.5  # seconds


class DeadlineFilter(Filter[RequestContext, Outcome]):
    """Refuses late requests and ends those whose outcome does not arrive in time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pending = PendingOutcomes()

    async def handle(self, ctx: RequestContext, proceed: Proceed, now: float) -> Outcome:
        """Pass requests on and answer Unknown shortly after their deadline."""
        if now >= ctx.deadline:
            return NotRun(
                NotRunReason.DEADLINE_EXCEEDED,
                "the deadline passed before the request was sent; send a longer "
                "X-Chivefall-Timeout",
            )
        outcome: Any = spawn(proceed(ctx), on_error=_log_error)
        fallback = Unknown("the instance shut down before the outcome was known")
        limit = ctx.deadline - now + GRACE_SECONDS
        late = Unknown("no outcome was known at the deadline")
        return await wait_for(self._clock, self._pending.track(outcome, fallback), limit, late)

    def end_requests(self) -> None:
        """Answer every request in progress with Unknown."""
        self._pending.resolve_all()


def _log_error(exc: BaseException) -> None:
    log_event(LogEvent.UNHANDLED_ERROR, controller="DeadlineFilter", error=repr(exc))
