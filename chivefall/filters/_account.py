"""Refuses requests of client accounts that are not in the document."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.filters._base import Filter, Proceed, RequestContext
from chivefall.model import NotRun, NotRunReason, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.model import Document

__all__ = ["AccountFilter"]


class AccountFilter(Filter[RequestContext, Outcome]):
    """Checks the client account against the current document."""

    def __init__(self, document: Callable[[], Document]) -> None:
        self._document = document

    async def handle(self, ctx: RequestContext, proceed: Proceed, now: float) -> Outcome:
        """Pass on requests of known accounts."""
        del now
        if ctx.account not in self._document().accounts:
            return NotRun(
                NotRunReason.UNKNOWN_ACCOUNT,
                f"client account {ctx.account!r} is not in the document; "
                "check the X-Chivefall-Account header",
            )
        return await proceed(ctx)
