"""Encoding of outcomes for peers and callers."""

from __future__ import annotations

from typing import Any

import msgspec

from chivefall.errors import MessageError
from chivefall.model import Accepted, Completed, NotRun, Outcome, Unknown

__all__ = ["decode_outcome", "encode_outcome"]

_TYPES_BY_TAG: dict[str, type] = {
    "completed": Completed,
    "accepted": Accepted,
    "not_run": NotRun,
    "unknown": Unknown,
}
_TAGS = {kind: name for name, kind in _TYPES_BY_TAG.items()}


def encode_outcome(outcome: Outcome) -> dict[str, Any]:
    """Return the outcome as a dict of plain values with its type under ``outcome``."""
    return {"outcome": _TAGS[type(outcome)], **msgspec.to_builtins(outcome)}


def decode_outcome(raw: dict[str, Any]) -> Outcome:
    """Return the outcome that a dict of plain values encodes.

    Raises
    ------
    MessageError
        If the dict does not encode an outcome.
    """
    try:
        kind = _TYPES_BY_TAG[raw["outcome"]]
        return msgspec.convert({k: v for k, v in raw.items() if k != "outcome"}, kind)
    except (KeyError, TypeError, RecursionError, msgspec.ValidationError) as exc:
        raise MessageError(
            f"outcome cannot be decoded: {exc}", "run the same version on all instances"
        ) from exc
