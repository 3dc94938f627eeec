"""Refuses jobs that can never run, because of invalid values, quota or worker shapes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from chivefall.filters._base import Filter, Proceed, RequestContext
from chivefall.model import Account, Document, JobSpec, NotRun, NotRunReason, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["FeasibilityFilter", "find_invalid_value"]

MAX_GANG_SIZE = 64
MAX_MEMBER_ACCELERATORS = 64
MAX_COMMAND_LENGTH = 256


class FeasibilityFilter(Filter[RequestContext, Outcome]):
    """Checks a job's values, its account's quota and the worker shapes of the region.

    Parameters
    ----------
    infeasibility_reason : callable
        Returns why the job fits no worker shape, or None if it fits.
    """

    def __init__(
        self,
        document: Callable[[], Document],
        infeasibility_reason: Callable[[JobSpec], str | None] = lambda _: None,
    ) -> None:
        self._document = document
        self._infeasibility_reason = infeasibility_reason

    async def handle(self, ctx: RequestContext, proceed: Proceed, now: float) -> Outcome:
        """Pass on feasible jobs and all service requests."""
        del now
        if ctx.job is not None:
            problem = find_invalid_value(ctx.job)
            if problem is not None:
                return NotRun(NotRunReason.BAD_REQUEST, problem)
            account = self._document().accounts[ctx.account]
            reason = _find_exceeded_quota(ctx.job, account) or self._infeasibility_reason(ctx.job)
            if reason is not None:
                return NotRun(NotRunReason.INFEASIBLE, reason)
        return await proceed(ctx)


def find_invalid_value(spec: JobSpec) -> str | None:
    """Return a message about the first value of a job that is out of range, or None."""
    if not 1 <= len(spec.command) <= MAX_COMMAND_LENGTH:
        return f"command has {len(spec.command)} characters; send 1 to {MAX_COMMAND_LENGTH}"
    if not 1 <= spec.gang_size <= MAX_GANG_SIZE:
        return f"gang_size {spec.gang_size} is out of range; send 1 to {MAX_GANG_SIZE}"
    if not 0 <= spec.accelerators <= MAX_MEMBER_ACCELERATORS:
        return (
            f"accelerators {spec.accelerators} is out of range; "
            f"send 0 to {MAX_MEMBER_ACCELERATORS} for each member"
        )
    if not (math.isfinite(spec.run_time) and spec.run_time >= 0):
        return (
            f"run_time {spec.run_time} is out of range; send a finite number of seconds, at least 0"
        )
    return None


def _find_exceeded_quota(spec: JobSpec, account: Account) -> str | None:
    if spec.total_accelerators <= account.max_accelerators:
        return None
    return (
        f"gang_size * accelerators is {spec.total_accelerators}, but the account's "
        f"max_accelerators is {account.max_accelerators}; send a smaller gang or raise the quota"
    )
