"""Interface of the platform's key-value service and its tagged outcomes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, NewType, Union

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = [
    "ABSENT",
    "Changed",
    "Conflict",
    "Entry",
    "Found",
    "Granted",
    "HistoryLost",
    "LeaseExpired",
    "LeaseId",
    "LeaseOutcome",
    "Listed",
    "Mismatch",
    "Missing",
    "Put",
    "ReadOutcome",
    "Store",
    "Stored",
    "TransactOutcome",
    "TransactionalStore",
    "Unavailable",
    "Unchanged",
    "Unmodified",
    "Version",
    "WatchOutcome",
    "WriteOutcome",
]

LeaseId = NewType("LeaseId", str)
Version = NewType("Version", int)

ABSENT = Version(0)
"""Expected version of a key that must not exist yet."""


@dataclass(frozen=True)
class Entry:
    """A key with its value and the version of its last write."""

    key: str
    value: bytes
    version: Version


@dataclass(frozen=True)
class Found:
    """The key exists."""

    entry: Entry


@dataclass(frozen=True)
class Missing:
    """The key does not exist."""


@dataclass(frozen=True)
class Unmodified:
    """The key is still at the version that the reader knows."""


@dataclass(frozen=True)
class Listed:
    """All entries below a prefix, as of one version of the store."""

    entries: tuple[Entry, ...]
    version: Version


@dataclass(frozen=True)
class Stored:
    """The write took effect."""

    version: Version


@dataclass(frozen=True)
class Conflict:
    """The key was not at the expected version; nothing was written."""

    current: Entry | None


@dataclass(frozen=True)
class Unavailable:
    """The store did not answer.

    Attributes
    ----------
    applied_unknown : bool
        Whether a write may have taken effect.
    """

    reason: str
    applied_unknown: bool = False


@dataclass(frozen=True)
class Granted:
    """The lease lives for ``ttl`` seconds from the time of the call."""

    lease: LeaseId
    ttl: float


@dataclass(frozen=True)
class LeaseExpired:
    """The lease does not exist any more; its keys are deleted."""


@dataclass(frozen=True)
class Changed:
    """Entries below a watched prefix that changed; deleted keys are listed."""

    entries: tuple[Entry, ...]
    deleted: tuple[str, ...]
    version: Version


@dataclass(frozen=True)
class Unchanged:
    """Nothing changed during the wait."""

    version: Version


@dataclass(frozen=True)
class HistoryLost:
    """The store forgot changes since the version given; list the prefix again."""


@dataclass(frozen=True)
class Put:
    """A write within a transaction."""

    key: str
    value: bytes
    lease: LeaseId | None = None


@dataclass(frozen=True)
class Mismatch:
    """A condition of a transaction does not hold; nothing was written.

    Attributes
    ----------
    current : dict
        Every key of the conditions with its present entry, or None if it does not exist.
    """

    current: dict[str, Entry | None]


ReadOutcome = Union[Found, Unmodified, Missing, Unavailable]
WriteOutcome = Union[Stored, Conflict, Unavailable]
LeaseOutcome = Union[Granted, LeaseExpired, Unavailable]
WatchOutcome = Union[Changed, Unchanged, HistoryLost, Unavailable]
TransactOutcome = Union[Stored, Mismatch, LeaseExpired, Unavailable]


class Store(ABC):
    """A key-value service with compare-and-swap, leases and watches."""

    @abstractmethod
    async def get(self, key: str, known: Version | None = None) -> ReadOutcome:
        """Read one key; the answer has no value if it is at the known version."""

    @abstractmethod
    async def list(self, prefix: str) -> Listed | Unavailable:
        """Read all keys below a prefix."""

    @abstractmethod
    async def put(
        self, key: str, value: bytes, expected: Version, lease: LeaseId | None = None
    ) -> WriteOutcome:
        """Write a key if it is at the expected version."""

    @abstractmethod
    async def delete(self, key: str, expected: Version) -> WriteOutcome:
        """Delete a key if it is at the expected version."""

    @abstractmethod
    async def grant_lease(self, ttl: float) -> LeaseOutcome:
        """Create a lease of ``ttl`` seconds."""

    @abstractmethod
    async def renew_lease(self, lease: LeaseId) -> LeaseOutcome:
        """Restart a lease's period."""

    @abstractmethod
    async def revoke_lease(self, lease: LeaseId) -> LeaseOutcome:
        """End a lease and delete its keys."""

    @abstractmethod
    async def watch(self, prefix: str, after: Version, wait: float) -> WatchOutcome:
        """Wait up to ``wait`` seconds for a change below a prefix after a version."""


class TransactionalStore(Store):
    """A store that changes several keys at once under conditions."""

    @abstractmethod
    async def transact(
        self,
        conditions: Mapping[str, Version],
        puts: Sequence[Put] = (),
        removes: Sequence[str] = (),
    ) -> TransactOutcome:
        """Write and remove keys if every key of the conditions is at its version."""
