"""Refuses jobs whose steps are invalid or not supported."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.batch import BatchOperation, BatchOutcome, BatchRequest, StepSpec
from chivefall.filters._base import Filter
from chivefall.model import NotRun, NotRunReason

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["StepsFilter"]

MAX_TASKS = 10_000  # per job; bounds the leader's memory and the size of a record


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
            problem = _find_problem(ctx)
            if problem:
                return NotRun(NotRunReason.BAD_REQUEST, problem)
            unsupported = _find_unsupported(ctx)
            if unsupported:
                return NotRun(NotRunReason.INFEASIBLE, unsupported)
        return await proceed(ctx)


def _find_problem(ctx: BatchRequest) -> str:
    spec = ctx.spec
    if spec is None or not spec.steps:
        return "the job has no steps; send at least one"
    for number, step in enumerate(spec.steps):
        problem = _find_step_problem(number, step)
        if problem:
            return f"step {number} {problem}"
    tasks = sum(step.count for step in spec.steps) * spec.occurrences
    if tasks > MAX_TASKS:
        return f"the job has {tasks} tasks; send at most {MAX_TASKS}"
    return ""


def _find_unsupported(ctx: BatchRequest) -> str:
    """Return which feature of the job is not supported yet, or an empty string."""
    if ctx.queue.needs_advice:
        return f"queue {ctx.queue.name!r} needs placement advice, which is not supported yet"
    if any(step.fills for step in ctx.spec.steps):
        return "steps with the fills option are not supported yet; submit the job without it"
    return ""


def _find_step_problem(number: int, step: StepSpec) -> str:
    if step.count < 1:
        return "has no tasks; send a count of at least 1"
    if any(not 0 <= earlier < number for earlier in step.after):
        return "depends on a step that is not an earlier one; correct the list"
    return ""
