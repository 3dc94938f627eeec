"""Injected faults of the stand-in store, and call counters."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from enum import Enum

import msgspec

from chivefall.errors import MessageError

__all__ = ["CallCounter", "CallCounts", "CallKind", "StoreFaults", "decode_faults"]

COUNTED_SECONDS = 60  # recent seconds that are counted separately


class CallKind(Enum):
    """Kind of a call, by its cost for the store; a pending watch counts as one call."""

    READ = "read"
    WRITE = "write"
    LEASE = "lease"
    WATCH = "watch"


@dataclass
class StoreFaults:
    """Injected faults of the store, in effect until they are changed.

    Attributes
    ----------
    down : bool
        Whether calls fail before they take effect.
    refuse_writes : bool
        Whether writes and lease calls fail before they take effect.
    delay : float
        Seconds until a call takes effect.
    write_delay : float
        Further seconds until a key write takes effect. A call that is sent after a change of
        this delay may overtake it.
    reply_delay : float
        Seconds from the effect of a call to its reply.
    lose_replies, lose_lease_replies : int
        Number of upcoming key writes and lease calls that take effect but whose
        reply is lost.
    lost_write_delay : float
        Seconds until a key write whose reply is lost takes effect.
    """

    down: bool = False
    refuse_writes: bool = False
    delay: float = 0.0
    write_delay: float = 0.0
    reply_delay: float = 0.0
    lose_replies: int = 0
    lose_lease_replies: int = 0
    lost_write_delay: float = 0.0

    def delay_of(self, kind: CallKind) -> float:
        """Return the seconds until a call takes effect."""
        return self.delay + (self.write_delay if kind is CallKind.WRITE else 0.0)

    def refuses(self, kind: CallKind) -> bool:
        """Return whether a call fails before it takes effect."""
        return self.down or (self.refuse_writes and kind in (CallKind.WRITE, CallKind.LEASE))

    def effect_delay(self, kind: CallKind, *, is_lost: bool) -> float:
        """Return the further seconds until a call takes effect whose reply may be lost."""
        return self.lost_write_delay if is_lost and kind is CallKind.WRITE else 0.0

    def loses_reply(self, kind: CallKind) -> bool:
        """Return whether the reply to a call is lost, and count it down."""
        if kind is CallKind.WRITE and self.lose_replies:
            self.lose_replies -= 1
            return True
        if kind is CallKind.LEASE and self.lose_lease_replies:
            self.lose_lease_replies -= 1
            return True
        return False


def decode_faults(body: bytes) -> StoreFaults:
    """Decode faults from a JSON object; omitted keys mean no fault.

    Raises
    ------
    MessageError
        If a key is unknown or a value has the wrong type or is negative.
    """
    try:
        raw = msgspec.json.decode(body, type=dict[str, bool | int | float])
        unknown = raw.keys() - asdict(StoreFaults()).keys()
        faults = msgspec.convert(raw, StoreFaults)
    except msgspec.MsgspecError as exc:
        raise MessageError(f"the faults are not valid: {exc}", "correct that key") from exc
    if unknown or min(asdict(faults).values()) < 0:
        raise MessageError(
            f"the faults have unknown keys {sorted(unknown)} or negative numbers", "correct them"
        )
    return faults


@dataclass
class CallCounts:
    """Number of calls by kind, in total and for each of the last COUNTED_SECONDS seconds.

    Attributes
    ----------
    per_second : list of dict
        One entry for each second with calls; ``second`` is its Unix time.
    """

    total: dict[str, int] = field(default_factory=lambda: {kind.value: 0 for kind in CallKind})
    per_second: list[dict[str, int]] = field(default_factory=list)


class CallCounter:
    """Counts the calls of a store by kind and second."""

    def __init__(self) -> None:
        self.counts = CallCounts()

    def count(self, kind: CallKind, now: float) -> None:
        """Count a call that arrives now."""
        second = int(now)
        self.counts.total[kind.value] += 1
        recent = self.counts.per_second
        if not recent or recent[-1]["second"] != second:
            recent.append({"second": second, **{item.value: 0 for item in CallKind}})
        recent[-1][kind.value] += 1
        while recent[0]["second"] <= second - COUNTED_SECONDS:
            del recent[0]
