"""Limits the rate of each account and the requests in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.filters._base import Filter, Proceed, RequestContext
from chivefall.model import AccountId, Document, NotRun, NotRunReason, Outcome, Revision
from chivefall.routing import ConcurrencyLimiter, TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["AdmissionFilter"]

RETRY_AFTER_SECONDS = 1.0  # seconds after which a place among the requests in progress may be free


class AdmissionFilter(Filter[RequestContext, Outcome]):
    """Admits requests within the account's rate and its share of the instance."""

    def __init__(
        self, document: Callable[[], Document], limiter: ConcurrencyLimiter | None = None
    ) -> None:
        self._document = document
        self._limiter = limiter or ConcurrencyLimiter()
        self._buckets: dict[AccountId, TokenBucket] = {}
        self._revision = Revision(-1)

    async def handle(self, ctx: RequestContext, proceed: Proceed, now: float) -> Outcome:
        """Pass requests within the limits on."""
        document = self._document()
        self._update_limits(document, now)
        if not self._limiter.admits(ctx.account, len(document.accounts), ctx.urgent):
            return NotRun(
                NotRunReason.OVERLOADED,
                "too many requests are in progress; repeat later or at another instance",
                RETRY_AFTER_SECONDS,
            )
        wait = self._bucket(ctx.account, document, now).take(now)
        if wait:
            return NotRun(
                NotRunReason.RATE_LIMITED,
                f"client account {ctx.account!r} exceeds its requests_per_second; send fewer",
                # Without a rate no repeat can succeed.
                None if wait == float("inf") else wait,
            )
        self._limiter.acquire(ctx.account)
        try:
            return await proceed(ctx)
        finally:
            self._limiter.release(ctx.account)

    def _bucket(self, name: AccountId, document: Document, now: float) -> TokenBucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            limits = document.accounts[name]
            bucket = TokenBucket.full(limits.requests_per_second, limits.burst, now)
            self._buckets[name] = bucket
        return bucket

    def _update_limits(self, document: Document, now: float) -> None:
        """Apply the limits of a new revision and forget accounts that left it."""
        if document.revision == self._revision:
            return
        self._revision = document.revision
        for name, bucket in list(self._buckets.items()):
            limits = document.accounts.get(name)
            if limits is None:
                del self._buckets[name]
            else:
                bucket.set_limits(limits.requests_per_second, limits.burst, now)
