"""Interface of the platform's key-value service and the outcomes of its calls."""

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
    """The key is still at the version that the caller passed as known."""


@dataclass(frozen=True)
class Listed:
    """All entries below a prefix, with the version of the store to watch from."""

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
    """The store did not respond, or did not carry out the call.

    Attributes
    ----------
    applied_unknown : bool
        Whether a write may have taken effect nevertheless.
    """

    reason: str
    applied_unknown: bool = False


@dataclass(frozen=True)
class Granted:
    """The lease is valid for ``ttl`` seconds from the time of the call."""

    lease: LeaseId
    ttl: float


@dataclass(frozen=True)
class LeaseExpired:
    """The lease no longer exists; its keys have been deleted."""


@dataclass(frozen=True)
class Changed:
    """Changed entries and deleted keys below a watched prefix."""

    entries: tuple[Entry, ...]
    deleted: tuple[str, ...]
    version: Version


@dataclass(frozen=True)
class Unchanged:
    """Nothing changed during the wait."""

    version: Version


@dataclass(frozen=True)
class HistoryLost:
    """The store no longer has all changes since the given version; list the prefix again."""


@dataclass(frozen=True)
class Put:
    """A write within a transaction."""

    key: str
    value: bytes
    lease: LeaseId | None = None


@dataclass(frozen=True)
class Mismatch:
    """A key of a transaction was not at its expected version; nothing was written.

    Attributes
    ----------
    current : dict
        Current entry of every key in the conditions; None for a key that does not exist.
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
        """Read one key; return Unmodified if it is still at version ``known``."""

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
        """Restart the time to live of a lease."""

    @abstractmethod
    async def revoke_lease(self, lease: LeaseId) -> LeaseOutcome:
        """End a lease and delete its keys."""

    @abstractmethod
    async def watch(self, prefix: str, after: Version, wait: float) -> WatchOutcome:
        """Wait up to ``wait`` seconds for a change below a prefix since version ``after``."""


class TransactionalStore(Store):
    """A store that writes several keys atomically if keys are at expected versions."""

    @abstractmethod
    async def transact(
        self,
        conditions: Mapping[str, Version],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> TransactOutcome:
        """Write and delete keys atomically if all keys are at the versions in ``conditions``."""
