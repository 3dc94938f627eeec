"""Last filter of the chain; dispatches requests to controllers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from chivefall.controllers import EndpointController, JobRouter, ServiceRequest
from chivefall.filters._base import Filter, Proceed, RequestContext, RequestKind
from chivefall.filters._pending_outcomes import PendingOutcomes
from chivefall.model import Accepted, NotRun, NotRunReason, Outcome, Unknown
from chivefall.runtime import spawn

if TYPE_CHECKING:
    from chivefall.model import JobId

__all__ = ["DispatchFilter"]


class DispatchFilter(Filter[RequestContext, Outcome]):
    """Dispatches jobs to a leader and service requests to an endpoint."""

    def __init__(self, jobs: JobRouter, endpoints: EndpointController) -> None:
        self._jobs = jobs
        self._endpoints = endpoints
        self._pending_waits = PendingOutcomes()
        self._may_wait = True

    async def handle(self, ctx: RequestContext, proceed: Proceed, now: float) -> Outcome:
        """Return the controller's outcome without calling ``proceed``."""
        del proceed
        if ctx.kind is RequestKind.JOB and ctx.job is not None:
            outcome = await self._jobs.submit(ctx.job, ctx.wait, now)
            if ctx.wait and isinstance(outcome, Accepted):
                return await self.wait_for_job(outcome.job_id, ctx.deadline)
            return outcome
        if ctx.kind is RequestKind.SERVICE and ctx.service is not None:
            call = ctx.service
            return await self._endpoints.call(
                ServiceRequest(call.service, ctx.account, call.body, ctx.idempotent, ctx.deadline)
            )
        return NotRun(
            NotRunReason.BAD_REQUEST,
            "the request contains neither a job nor a service call; send one",
        )

    def stop_waiting(self) -> None:
        """End all waits for jobs with the outcome ``Accepted``; the jobs keep running."""
        self._may_wait = False
        self._pending_waits.resolve_all()

    async def wait_for_job(self, job_id: JobId, deadline: float) -> Outcome:
        """Return a job's outcome, or ``Accepted`` at the deadline or once draining has begun."""
        accepted = Accepted(job_id)
        if not self._may_wait:
            return accepted
        fut: Any = spawn(self._jobs.wait(job_id, deadline))
        outcome = await self._pending_waits.track(fut, accepted)
        if not isinstance(outcome, Unknown):
            return outcome
        # The wait may have ended because the leader changed, while the job is still running.
        record = await self._jobs.status(job_id, self._jobs.clock.now())
        return outcome if record is not None and record.state.is_final else accepted
