"""Ensures that requests are decided on a current catalog."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.batch import BatchOutcome, BatchRequest, CatalogOutdated
from chivefall.filters._base import Filter
from chivefall.model import NotRun, NotRunReason

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from chivefall.controllers.batch import CatalogController

__all__ = ["CatalogFilter"]

MAX_EVALUATIONS = 4  # the catalog may change every few hundred milliseconds
RETRY_AFTER_SECONDS = 1.0  # a retry reaches another instance


class CatalogFilter(Filter[BatchRequest, BatchOutcome]):
    """Refreshes an outdated catalog and reruns the later filters if it changes meanwhile."""

    def __init__(self, catalog: CatalogController) -> None:
        self._catalog = catalog

    async def handle(
        self,
        ctx: BatchRequest,
        proceed: Callable[[BatchRequest], Awaitable[BatchOutcome]],
        now: float,
    ) -> BatchOutcome:
        """Pass on the request, and again if the catalog changed while it was processed."""
        if not self._catalog.is_fresh(now):
            await self._catalog.refresh(now)
            if not self._catalog.is_fresh(self._catalog.clock.now()):
                return _unavailable("the desired state cannot be confirmed")
        for _ in range(MAX_EVALUATIONS):
            outcome = await proceed(ctx)
            if not isinstance(outcome, CatalogOutdated):
                return outcome
        return _unavailable("the desired state changes too often")


def _unavailable(problem: str) -> NotRun:
    return NotRun(
        NotRunReason.STORE_UNAVAILABLE,
        f"{problem}; retry the request at another instance",
        RETRY_AFTER_SECONDS,
    )
