"""In-process client of the stand-in store, for tests on a manual clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from chivefall.runtime import Clock, sleep, spawn, wait_for
from chivefall.store import (
    Changed,
    Conflict,
    Entry,
    Found,
    Granted,
    LeaseExpired,
    LeaseId,
    LeaseOutcome,
    Listed,
    Mismatch,
    Missing,
    Put,
    ReadOutcome,
    Stored,
    TransactionalStore,
    TransactOutcome,
    Unavailable,
    Unchanged,
    Unmodified,
    Version,
    WatchOutcome,
    WriteOutcome,
)
from standins.store_faults import CallKind, StoreFaults

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from standins.memory import Gate
    from standins.store import KeyValueState

__all__ = ["MemoryStore"]

DOWN = Unavailable("the store is down")
LOST = Unavailable("the reply was lost", applied_unknown=True)


class MemoryStore(TransactionalStore):
    """A client of a shared key-value state, with the faults of the stand-in store.

    A call takes effect on the clock of the state and returns on the clock of the
    client, so that a test can pause the client while the store keeps running.

    Attributes
    ----------
    faults : StoreFaults
        Faults that affect only this client; ``down``, ``lose_replies`` and
        ``delay`` can be set on the client itself.
    timeout : float
        Seconds after which a call returns :data:`LOST`; it may still take effect
        later.
    """

    def __init__(
        self,
        state: KeyValueState,
        clock: Clock,
        timeout: float = float("inf"),
        gate: Gate | None = None,
    ) -> None:
        self._state = state
        self._clock = clock
        self._gate = gate
        self.timeout = timeout
        self.faults = StoreFaults()
        self.calls = 0

    @property
    def down(self) -> bool:
        """Whether calls fail before they take effect."""
        return self.faults.down

    @down.setter
    def down(self, value: bool) -> None:
        self.faults.down = value

    @property
    def lose_replies(self) -> int:
        """Number of upcoming writes whose reply is lost."""
        return self.faults.lose_replies

    @lose_replies.setter
    def lose_replies(self, value: int) -> None:
        self.faults.lose_replies = value

    @property
    def delay(self) -> float:
        """Seconds until a call takes effect."""
        return self.faults.delay

    @delay.setter
    def delay(self, value: float) -> None:
        self.faults.delay = value

    async def get(self, key: str, known: Version | None = None) -> ReadOutcome:
        """Read one key; return Unmodified if it is still at version ``known``."""

        def act() -> ReadOutcome:
            item = self._state.get(key)
            if item is None:
                return Missing()
            if item.version == known:
                return Unmodified()
            return Found(Entry(key, item.value, Version(item.version)))

        return await self._call(CallKind.READ, act)

    async def list(self, prefix: str) -> Listed | Unavailable:
        """Read all keys below a prefix."""

        def act() -> Listed:
            items = self._state.list(prefix)
            return Listed(_entries(items), Version(self._state.version))

        return await self._call(CallKind.READ, act)

    async def put(
        self, key: str, value: bytes, expected: Version, lease: LeaseId | None = None
    ) -> WriteOutcome:
        """Write a key if it is at the expected version."""

        def act() -> WriteOutcome:
            return self._write_outcome(key, self._state.put(key, value, expected, lease))

        return await self._call(CallKind.WRITE, act)

    async def delete(self, key: str, expected: Version) -> WriteOutcome:
        """Delete a key if it is at the expected version."""

        def act() -> WriteOutcome:
            return self._write_outcome(key, self._state.delete(key, expected))

        return await self._call(CallKind.WRITE, act)

    async def grant_lease(self, ttl: float) -> LeaseOutcome:
        """Create a lease of ``ttl`` seconds."""
        return await self._call(
            CallKind.LEASE, lambda: Granted(LeaseId(self._state.grant(ttl)), ttl)
        )

    async def renew_lease(self, lease: LeaseId) -> LeaseOutcome:
        """Restart the time to live of a lease."""

        def act() -> LeaseOutcome:
            ttl = self._state.renew(lease)
            return LeaseExpired() if ttl is None else Granted(lease, ttl)

        return await self._call(CallKind.LEASE, act)

    async def revoke_lease(self, lease: LeaseId) -> LeaseOutcome:
        """End a lease and delete its keys."""

        def act() -> LeaseOutcome:
            ttl = self._state.revoke(lease)
            return LeaseExpired() if ttl is None else Granted(lease, ttl)

        return await self._call(CallKind.LEASE, act)

    async def watch(self, prefix: str, after: Version, wait: float) -> WatchOutcome:
        """Wait up to ``wait`` seconds for a change below a prefix since version ``after``."""

        def act() -> WatchOutcome:
            written, deleted = self._state.changes(prefix, after)
            version = Version(self._state.version)
            if not written and not deleted:
                return Unchanged(version)
            return Changed(_entries(written), tuple(deleted), version)

        outcome = await self._call(CallKind.WATCH, act)
        if not isinstance(outcome, Unchanged):
            return outcome
        await wait_for(self._clock, self._state.watch(prefix), wait, None)
        await self._wait_while_frozen()
        return DOWN if self.faults.down else act()

    async def transact(
        self,
        conditions: Mapping[str, Version],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> TransactOutcome:
        """Write and delete keys atomically if all keys are at the versions in ``conditions``."""

        def act() -> TransactOutcome:
            if not self._state.versions_match(conditions):
                current = {key: self._state.get(key) for key in conditions}
                return Mismatch(
                    {
                        key: Entry(key, item.value, Version(item.version)) if item else None
                        for key, item in current.items()
                    }
                )
            version = self._state.write_all(
                [(put.key, put.value, put.lease) for put in puts], deletes
            )
            return LeaseExpired() if version is None else Stored(Version(version))

        return await self._call(CallKind.WRITE, act)

    async def _call(self, kind: CallKind, act: Callable[[], Any]) -> Any:
        self.calls += 1
        fut = spawn(self._exchange(kind, act))
        if not fut.done() and self.timeout != float("inf"):
            fut = wait_for(self._clock, fut, self.timeout, LOST)
        return await fut

    async def _exchange(self, kind: CallKind, act: Callable[[], Any]) -> Any:
        faults = self.faults
        if delay := faults.delay_of(kind):
            await sleep(self._state.clock, delay)
        if faults.refuses(kind):
            return DOWN
        is_lost = faults.loses_reply(kind)
        if delay := faults.effect_delay(kind, is_lost=is_lost):
            await sleep(self._state.clock, delay)
        outcome = act()
        if is_lost:
            return LOST
        if faults.reply_delay:
            await sleep(self._state.clock, faults.reply_delay)
        await self._wait_while_frozen()
        return outcome

    async def _wait_while_frozen(self) -> None:
        """Wait until the instance is not frozen and its clock is not paused."""
        if self._gate is not None:
            await self._gate.opened()
        elif self._clock is not self._state.clock:
            await sleep(self._clock, 0.0)

    def _write_outcome(self, key: str, done: bool) -> WriteOutcome:
        item = self._state.get(key)
        if done:
            return Stored(Version(item.version if item else self._state.version))
        return Conflict(Entry(key, item.value, Version(item.version)) if item else None)


def _entries(items: Sequence[tuple[str, Any]]) -> tuple[Entry, ...]:
    return tuple(Entry(key, item.value, Version(item.version)) for key, item in items)
