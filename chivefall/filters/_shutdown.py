"""Refuses requests while the instance shuts down."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.filters._base import Filter, Proceed, RequestContext
from chivefall.model import NotRun, NotRunReason, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["ShutdownFilter"]

RETRY_AFTER_SECONDS = 1.0  # other instances accept requests at once


class ShutdownFilter(Filter[RequestContext, Outcome]):
    """Refuses all requests once draining has begun."""

    def __init__(self, is_draining: Callable[[], bool]) -> None:
        self._is_draining = is_draining

    async def handle(self, ctx: RequestContext, proceed: Proceed, now: float) -> Outcome:
        """Pass on requests until draining begins."""
        del now
        if self._is_draining():
            return NotRun(
                NotRunReason.SHUTTING_DOWN,
                "this instance is shutting down; reconnect to reach another instance",
                RETRY_AFTER_SECONDS,
            )
        return await proceed(ctx)
