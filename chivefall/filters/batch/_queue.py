"""Resolves the queue and the job id from the request path."""

from __future__ import annotations

import re
from dataclasses import replace
from typing import TYPE_CHECKING

from chivefall.batch import BatchOperation, BatchOutcome, BatchRequest
from chivefall.filters._base import Filter
from chivefall.model import JobId, NotRun, NotRunReason

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from chivefall.controllers.batch import CatalogController

__all__ = ["QueueFilter"]

_JOB_ID = re.compile(r"[0-9a-fA-F]{1,64}")


class QueueFilter(Filter[BatchRequest, BatchOutcome]):
    """Adds queue, operation and job id to requests; refuses paths without a queue."""

    def __init__(self, catalog: CatalogController) -> None:
        self._catalog = catalog

    async def handle(
        self,
        ctx: BatchRequest,
        proceed: Callable[[BatchRequest], Awaitable[BatchOutcome]],
        now: float,
    ) -> BatchOutcome:
        """Pass on requests to known queues."""
        del now
        queue = self._catalog.catalog.find_queue(ctx.host, ctx.path)
        if queue is None:
            return NotRun(
                NotRunReason.UNKNOWN_QUEUE,
                f"no queue matches the path {ctx.path!r}; check host and path",
            )
        name = ctx.path.removeprefix(queue.prefix)
        operation = ctx.operation
        if operation is BatchOperation.STATUS and not name:
            operation = BatchOperation.PENDING
        elif not _JOB_ID.fullmatch(name):
            return NotRun(
                NotRunReason.BAD_REQUEST,
                f"{name[:40]!r} is not a job id; send 16 hexadecimal digits",
            )
        return await proceed(replace(ctx, queue=queue, operation=operation, job_id=JobId(name)))
