"""Last filter of the chain; dispatches requests to the submission controller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.batch import BatchOutcome, BatchRequest
from chivefall.filters._base import Filter

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from chivefall.controllers.batch import SubmissionController

__all__ = ["BatchDispatchFilter"]


class BatchDispatchFilter(Filter[BatchRequest, BatchOutcome]):
    """Dispatches all requests to the submission controller."""

    def __init__(self, submissions: SubmissionController) -> None:
        self._submissions = submissions

    async def handle(
        self,
        ctx: BatchRequest,
        proceed: Callable[[BatchRequest], Awaitable[BatchOutcome]],
        now: float,
    ) -> BatchOutcome:
        """Return the controller's outcome without calling ``proceed``."""
        del proceed, now
        return await self._submissions.serve(ctx)
