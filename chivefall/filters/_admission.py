"""Limits the request rate of each account and the number of requests in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.filters._base import Filter, Proceed, RequestContext
from chivefall.model import AccountId, Document, NotRun, NotRunReason, Outcome, Revision
from chivefall.routing import ConcurrencyLimiter, TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["AdmissionFilter"]

RETRY_AFTER_SECONDS = 1.0  # by then a request in progress may have finished


class AdmissionFilter(Filter[RequestContext, Outcome]):
    """Admits requests within the account's rate limit and its share of concurrent requests."""

    def __init__(
        self, document: Callable[[], Document], limiter: ConcurrencyLimiter | None = None
    ) -> None:
        self._document = document
        self._limiter = limiter or ConcurrencyLimiter()
        self._buckets: dict[AccountId, TokenBucket] = {}
        self._revision = Revision(-1)

    async def handle(self, ctx: RequestContext, proceed: Proceed, now: float) -> Outcome:
        """Pass on requests that are within the limits."""
        document = self._document()
        self._update_limits(document, now)
        if not self._limiter.admits(ctx.account, len(document.accounts), ctx.urgent):
            return NotRun(
                NotRunReason.OVERLOADED,
                "too many requests are in progress; retry later or at another instance",
                RETRY_AFTER_SECONDS,
            )
        wait = self._bucket(ctx.account, document, now).take(now)
        if wait:
            return NotRun(
                NotRunReason.RATE_LIMITED,
                f"client account {ctx.account!r} exceeds its requests_per_second; reduce the rate",
                # With a rate of 0 or a burst below 1 no retry can succeed.
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
        """Apply the limits of a new revision and drop accounts that it does not contain."""
        if document.revision == self._revision:
            return
        self._revision = document.revision
        for name, bucket in list(self._buckets.items()):
            limits = document.accounts.get(name)
            if limits is None:
                del self._buckets[name]
            else:
                bucket.set_limits(limits.requests_per_second, limits.burst, now)
