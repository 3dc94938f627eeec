"""Idempotency claims: their records and what a repeat of a request may do."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, Union

import msgspec

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
"""Seconds for which a claim is kept.

It must exceed the longest deadline of a request (1 h), because the request of an
expired claim may run again.
"""

MAX_STORED_OUTCOME_BYTES = 16_384
"""Bytes of an outcome kept for repeats; bounds the list of one shard of claims."""

REPLACE_MARGIN_SECONDS = 5.0
"""Seconds after the first request's deadline, for clocks that differ."""


class ClaimState(Enum):
    """How far the request of a claim has come."""

    CLAIMED = "claimed"
    COMPLETED = "completed"


@dataclass(frozen=True)
class ClaimRecord:
    """The durable claim of one idempotency key.

    Attributes
    ----------
    nonce : str
        Random name of the request that holds the claim.
    digest : str
        Digest of the request's content.
    claimed_at, deadline : float
        Seconds since the epoch by the claimant's clock.
    outcome : dict or None
        Encoded outcome of a completed request.
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
    """The claim is the request's own; it may be dispatched."""


@dataclass(frozen=True)
class ReturnOutcome:
    """The request must not be dispatched; this is its outcome."""

    outcome: Outcome


@dataclass(frozen=True)
class AwaitOutcome:
    """The first request may still run; its outcome may be recorded later."""


@dataclass(frozen=True)
class ReplaceClaim:
    """The claim may be replaced at its version."""


ClaimDecision = Union[DispatchRequest, ReturnOutcome, AwaitOutcome, ReplaceClaim]


def decide_claim(
    found: ClaimRecord, mine: ClaimRecord, idempotent: bool, now: float
) -> ClaimDecision:
    """Return what a request may do whose key is claimed already.

    A claim whose claimant does not end it is never taken over by a request that
    must not run twice, because the first one may have run.
    """
    if found.nonce == mine.nonce:
        return DispatchRequest()
    if is_expired(found, now):
        return ReplaceClaim()
    if found.digest != mine.digest:
        detail = "the idempotency key was used for another request; use a new key"
        return ReturnOutcome(NotRun(NotRunReason.BAD_REQUEST, detail))
    if found.state is ClaimState.COMPLETED:
        return ReturnOutcome(_stored_outcome(found))
    if idempotent and now >= found.deadline + REPLACE_MARGIN_SECONDS:
        return ReplaceClaim()
    return AwaitOutcome()


def is_expired(record: ClaimRecord, now: float) -> bool:
    """Return whether a claim may be deleted."""
    return now >= record.claimed_at + CLAIM_LIFETIME_SECONDS


def with_outcome(record: ClaimRecord, outcome: Outcome) -> ClaimRecord:
    """Return the completed claim; an outcome that is too large to keep is left out."""
    raw = encode_outcome(outcome)
    size = len(msgspec.json.encode(raw))
    kept = raw if size <= MAX_STORED_OUTCOME_BYTES else None
    return replace(record, state=ClaimState.COMPLETED, outcome=kept)


def encode_claim(record: ClaimRecord) -> bytes:
    """Return the claim as JSON."""
    return msgspec.json.encode(record)


def decode_claim(value: bytes) -> ClaimRecord | None:
    """Return the claim in a stored value, or None if it is not one."""
    try:
        return msgspec.json.decode(value, type=ClaimRecord)
    except msgspec.DecodeError:
        return None


def _stored_outcome(record: ClaimRecord) -> Outcome:
    if record.outcome is None:
        return Unknown("the request ran, but its answer was too large to keep for a repeat")
    try:
        return decode_outcome(record.outcome)
    except MessageError as exc:
        return Unknown(f"the stored outcome cannot be used: {exc}")
