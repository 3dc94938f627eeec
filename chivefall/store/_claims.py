"""Idempotency claims: stored records and the decision on a key that is already claimed."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, Union

import msgspec

from chivefall.decoding import decode_json
from chivefall.errors import MessageError
from chivefall.model import InstanceId, NotRun, NotRunReason, Outcome, Unknown
from chivefall.net import decode_outcome, encode_outcome

__all__ = [
    "CLAIM_LIFETIME_SECONDS",
    "AwaitOutcome",
    "ClaimDecision",
    "ClaimRecord",
    "ClaimState",
    "DispatchRequest",
    "ReplaceClaim",
    "ReturnOutcome",
    "decide_claim",
    "decode_claim",
    "encode_claim",
    "is_expired",
    "with_outcome",
]

CLAIM_LIFETIME_SECONDS = 24 * 3600.0
"""Retention of claims.

It must exceed the maximum request deadline (1 h), because a request whose claim
has expired may run again.
"""

MAX_STORED_OUTCOME_BYTES = 16_384
"""Larger outcomes are not stored, which bounds the size of a listed shard of claims."""

REPLACE_MARGIN_SECONDS = 5.0
"""Clock difference allowed for when a claim is replaced after its request's deadline."""


class ClaimState(Enum):
    """Whether the request of a claim has an outcome."""

    CLAIMED = "claimed"
    COMPLETED = "completed"


@dataclass(frozen=True)
class ClaimRecord:
    """The stored claim of one idempotency key.

    Attributes
    ----------
    nonce : str
        Random identifier of the request that holds the claim.
    digest : str
        Digest of the request's content; shows reuse of the key for another request.
    claimed_at, deadline : float
        Unix times in seconds by the claimant's clock.
    outcome : dict or None
        Encoded outcome of a completed request; None if it was too large to store.
    """

    nonce: str
    digest: str
    claimant: InstanceId
    claimed_at: float
    deadline: float
    state: ClaimState = ClaimState.CLAIMED
    outcome: dict[str, Any] | None = None


@dataclass(frozen=True)
class DispatchRequest:
    """The request itself holds the claim and may be dispatched."""


@dataclass(frozen=True)
class ReturnOutcome:
    """The request must not be dispatched; the caller gets this outcome."""

    outcome: Outcome


@dataclass(frozen=True)
class AwaitOutcome:
    """The first request may still be running; its outcome may be stored later."""


@dataclass(frozen=True)
class ReplaceClaim:
    """The stored claim may be replaced, if it is still at the version read."""


ClaimDecision = Union[DispatchRequest, ReturnOutcome, AwaitOutcome, ReplaceClaim]


def decide_claim(
    stored: ClaimRecord, own: ClaimRecord, idempotent: bool, now: float
) -> ClaimDecision:
    """Return what to do with a request whose key is already claimed.

    Until a claim without an outcome expires, only an idempotent request replaces
    it, because the first request may have run.
    """
    if stored.nonce == own.nonce:
        return DispatchRequest()
    if is_expired(stored, now):
        return ReplaceClaim()
    if stored.digest != own.digest:
        detail = "the idempotency key was used for another request; use a new key"
        return ReturnOutcome(NotRun(NotRunReason.BAD_REQUEST, detail))
    if stored.state is ClaimState.COMPLETED:
        return ReturnOutcome(_stored_outcome(stored))
    if idempotent and now >= stored.deadline + REPLACE_MARGIN_SECONDS:
        return ReplaceClaim()
    return AwaitOutcome()


def is_expired(record: ClaimRecord, now: float) -> bool:
    """Return whether a claim has outlived its retention and may be deleted."""
    return now >= record.claimed_at + CLAIM_LIFETIME_SECONDS


def with_outcome(record: ClaimRecord, outcome: Outcome) -> ClaimRecord:
    """Return the claim as completed; an outcome that is too large to store is omitted."""
    raw = encode_outcome(outcome)
    size = len(msgspec.json.encode(raw))
    stored = raw if size <= MAX_STORED_OUTCOME_BYTES else None
    return replace(record, state=ClaimState.COMPLETED, outcome=stored)


def encode_claim(record: ClaimRecord) -> bytes:
    """Return the claim as JSON."""
    return msgspec.json.encode(record)


def decode_claim(value: bytes) -> ClaimRecord | None:
    """Return the decoded claim, or None if the value is not a valid claim."""
    try:
        return decode_json(value, ClaimRecord, "the claim", "remove the key")
    except MessageError:
        return None


def _stored_outcome(record: ClaimRecord) -> Outcome:
    if record.outcome is None:
        return Unknown("the request ran, but its outcome was too large to store")
    try:
        return decode_outcome(record.outcome)
    except MessageError as exc:
        return Unknown(f"the stored outcome cannot be decoded: {exc}")
