"""Refuses requests whose API key belongs to no client account."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from chivefall.batch import BatchOutcome, BatchRequest
from chivefall.filters._base import Filter
from chivefall.model import AccountId, NotRun, NotRunReason

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from chivefall.controllers.batch import CatalogController

__all__ = ["KeyFilter"]

ANONYMOUS_ACCOUNT = AccountId("")


class KeyFilter(Filter[BatchRequest, BatchOutcome]):
    """Resolves the API key to a client account; public queues need no key."""

    def __init__(self, catalog: CatalogController) -> None:
        self._catalog = catalog

    async def handle(
        self,
        ctx: BatchRequest,
        proceed: Callable[[BatchRequest], Awaitable[BatchOutcome]],
        now: float,
    ) -> BatchOutcome:
        """Pass on requests with a valid key and all requests to public queues."""
        del now
        account = None if ctx.key is None else self._catalog.catalog.find_account(ctx.key)
        if account is None and not ctx.queue.public:
            return NotRun(
                NotRunReason.UNKNOWN_KEY,
                "the API key belongs to no client account; send a valid one",
            )
        return await proceed(replace(ctx, account=account or ANONYMOUS_ACCOUNT))
