"""Executes requests with the same idempotency key at most once."""

from __future__ import annotations

from dataclasses import replace
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

from chivefall.controllers import ClaimAcquired, ClaimRequest, ClaimUnavailable
from chivefall.filters._base import Filter, Proceed, RequestContext, RequestKind
from chivefall.model import Accepted, JobId, NotRun, NotRunReason, Outcome, Unknown

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from chivefall.controllers import ClaimController
    from chivefall.runtime import Clock

__all__ = ["IdempotencyFilter", "request_digest"]

DIGEST_BYTES = 16
RETRY_AFTER_SECONDS = 5.0  # by then the store may be available again


class IdempotencyFilter(Filter[RequestContext, Outcome]):
    """Claims the idempotency key before the dispatch and records the outcome.

    Parameters
    ----------
    wait_for_job : callable
        Waits for the final state of an accepted job until a deadline.
    """

    def __init__(
        self,
        clock: Clock,
        claims: ClaimController,
        wait_for_job: Callable[[JobId, float], Awaitable[Outcome]],
    ) -> None:
        self._clock = clock
        self._claims = claims
        self._wait_for_job = wait_for_job

    async def handle(self, ctx: RequestContext, proceed: Proceed, now: float) -> Outcome:
        """Pass on the request if it acquires the claim or needs none."""
        del now
        if ctx.idempotency_key is None:
            return await proceed(ctx)
        result = await self._claims.claim(
            ClaimRequest(
                ctx.account, ctx.idempotency_key, request_digest(ctx), ctx.idempotent, ctx.deadline
            )
        )
        if isinstance(result, ClaimAcquired):
            return await self._run(ctx, proceed, result)
        if not isinstance(result, ClaimUnavailable):
            return await self._wait_if_requested(ctx, result.outcome)
        if ctx.idempotent:
            return await proceed(ctx)
        return NotRun(
            NotRunReason.STORE_UNAVAILABLE,
            f"this request was not sent because its claim cannot be recorded ({result.reason}); an "
            "earlier request with the same key may have run, so retry with the same key",
            RETRY_AFTER_SECONDS,
        )

    async def _run(self, ctx: RequestContext, proceed: Proceed, claim: ClaimAcquired) -> Outcome:
        if self._clock.now() >= ctx.deadline:
            # The process may have been paused; a late dispatch could run after the claim expires.
            await self._claims.resolve(claim, None, ctx.deadline)
            return NotRun(
                NotRunReason.DEADLINE_EXCEEDED, "the claim was recorded after the deadline", 0.0
            )
        # Record the job before waiting for it, so that a repeated request gets its id.
        sent = replace(ctx, wait=False) if ctx.kind is RequestKind.JOB else ctx
        try:
            outcome = await proceed(sent)
        except Exception:
            await self._resolve(ctx, claim, Unknown("internal error while processing the request"))
            raise
        await self._resolve(ctx, claim, outcome)
        return await self._wait_if_requested(ctx, outcome)

    async def _resolve(self, ctx: RequestContext, claim: ClaimAcquired, outcome: Outcome) -> None:
        may_run_again = isinstance(outcome, NotRun) or (
            ctx.idempotent and isinstance(outcome, Unknown)
        )
        await self._claims.resolve(claim, None if may_run_again else outcome, ctx.deadline)

    async def _wait_if_requested(self, ctx: RequestContext, outcome: Outcome) -> Outcome:
        if ctx.wait and isinstance(outcome, Accepted):
            return await self._wait_for_job(outcome.job_id, ctx.deadline)
        return outcome


def request_digest(ctx: RequestContext) -> str:
    """Return a digest of the request's content, excluding its deadline and wait option."""
    content = (ctx.kind, ctx.idempotent, ctx.job, ctx.service)
    encoded = msgspec.json.encode(content, order="deterministic")
    return blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()
