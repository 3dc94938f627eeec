"""Refuses jobs whose steps are invalid or not supported."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.batch import BatchOperation, BatchOutcome, BatchRequest, find_spec_problem
from chivefall.filters._base import Filter
from chivefall.model import NotRun, NotRunReason

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["StepsFilter"]


class StepsFilter(Filter[BatchRequest, BatchOutcome]):
    """Checks the steps of submitted jobs."""

    async def handle(
        self,
        ctx: BatchRequest,
        proceed: Callable[[BatchRequest], Awaitable[BatchOutcome]],
        now: float,
    ) -> BatchOutcome:
        """Pass on jobs whose steps are valid, and all other requests."""
        del now
        if ctx.operation is BatchOperation.SUBMIT:
            problem = "the job has no steps" if ctx.spec is None else find_spec_problem(ctx.spec)
            if problem:
                return NotRun(NotRunReason.BAD_REQUEST, problem)
            unsupported = _find_unsupported(ctx)
            if unsupported:
                return NotRun(NotRunReason.INFEASIBLE, unsupported)
        return await proceed(ctx)


def _find_unsupported(ctx: BatchRequest) -> str:
    """Return which feature of the job is not supported yet, or an empty string."""
    if ctx.queue.needs_advice:
        return f"queue {ctx.queue.name!r} needs placement advice, which is not supported yet"
    if any(step.fills for step in ctx.spec.steps):
        return "steps with the fills option are not supported yet; submit the job without it"
    return ""
