"""Last filter of the chain: hands the request to a controller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.filters._base import Filter, Proceed, RequestContext, RequestKind
from chivefall.model import NotRun, NotRunReason, Outcome

if TYPE_CHECKING:
    from chivefall.controllers import JobRouter

__all__ = ["DispatchFilter"]


class DispatchFilter(Filter):
    """Sends jobs to a leader and service requests to an endpoint."""

    def __init__(self, jobs: JobRouter) -> None:
        self._jobs = jobs

    async def handle(self, ctx: RequestContext, proceed: Proceed, now: float) -> Outcome:
        """Return the outcome of the controller; never proceeds."""
        del proceed
        if ctx.kind is RequestKind.JOB and ctx.job is not None:
            return await self._jobs.submit(ctx.job, ctx.wait, ctx.deadline, now)
        return NotRun(NotRunReason.UNKNOWN_SERVICE, "no endpoint answers for this service")
