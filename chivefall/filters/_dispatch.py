"""Last filter of the chain: hands the request to a controller."""

from __future__ import annotations

from chivefall.controllers import EndpointController, JobRouter, ServiceRequest
from chivefall.filters._base import Filter, Proceed, RequestContext, RequestKind
from chivefall.model import NotRun, NotRunReason, Outcome

__all__ = ["DispatchFilter"]


class DispatchFilter(Filter):
    """Sends jobs to a leader and service requests to an endpoint."""

    def __init__(self, jobs: JobRouter, endpoints: EndpointController) -> None:
        self._jobs = jobs
        self._endpoints = endpoints

    async def handle(self, ctx: RequestContext, proceed: Proceed, now: float) -> Outcome:
        """Return the outcome of the controller; never proceeds."""
        del proceed
        if ctx.kind is RequestKind.JOB and ctx.job is not None:
            return await self._jobs.submit(ctx.job, ctx.wait, ctx.deadline, now)
        if ctx.kind is RequestKind.SERVICE and ctx.service is not None:
            call = ctx.service
            return await self._endpoints.call(
                ServiceRequest(call.service, ctx.account, call.body, ctx.idempotent, ctx.deadline)
            )
        return NotRun(
            NotRunReason.BAD_REQUEST, "the request names neither a job nor a service; send one"
        )
