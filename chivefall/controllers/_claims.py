"""Idempotency claims of requests and the sweep of expired ones."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Union

from chivefall.controllers._base import Controller
from chivefall.model import AccountId, IdempotencyKey, Outcome, Unknown
from chivefall.runtime import sleep, wait_for
from chivefall.store import (
    ABSENT,
    CLAIMS_SHARDS,
    Answer,
    ClaimRecord,
    Conflict,
    Entry,
    Found,
    Hold,
    Listed,
    Missing,
    Store,
    Stored,
    TakeOver,
    Unavailable,
    Version,
    claim_key,
    claims_prefix,
    decide_claim,
    decode_claim,
    encode_claim,
    is_expired,
    with_outcome,
)
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.config import Settings
    from chivefall.runtime import Clock

__all__ = ["ClaimAcquired", "ClaimController", "ClaimRequest", "ClaimResult", "ClaimUnavailable"]

RETRY_DELAY = 2.0  # seconds between attempts while the store does not answer
WATCH_WAIT = 20.0  # seconds of one wait for the first request's outcome
SETTLE_INTERVAL = 2.0
SETTLES_PER_TURN = 20  # bounds the writes of all instances when an outage ends
MAX_UNSETTLED = 1000  # bounds memory during an outage
LATE_WRITE_WINDOW = 60.0  # seconds in which a write that was given up may take effect
SWEEP_INTERVAL = 5.0  # seconds between two shards; all shards take 5.7 h
BUSY_SWEEP_INTERVAL = 1.0
DELETES_PER_SWEEP = 20


@dataclass(frozen=True)
class ClaimRequest:
    """A request that needs a claim before it may be dispatched."""

    account: AccountId
    key: IdempotencyKey
    digest: str
    idempotent: bool
    deadline: float


@dataclass(frozen=True)
class ClaimAcquired:
    """The claim is recorded for this request."""

    key: str
    record: ClaimRecord
    version: Version


@dataclass(frozen=True)
class ClaimUnavailable:
    """The store did not answer, so that no claim is known to be held."""

    reason: str


ClaimResult = Union[ClaimAcquired, Answer, ClaimUnavailable]


@dataclass(frozen=True)
class _Unsettled:
    """A claim that has to be completed, or deleted if ``final`` is None.

    Attributes
    ----------
    version : Version or None
        Version of the claim; None if it has to be read.
    absent_until : float
        Time until which an absent claim may still be written by a late call.
    """

    key: str
    nonce: str
    final: ClaimRecord | None
    version: Version | None
    absent_until: float


class ClaimController(Controller):
    """Claims idempotency keys, records outcomes and deletes expired claims.

    Parameters
    ----------
    swept_share : callable
        Returns the index of this instance's share of the sweep and the number
        of shares, or None if this instance does not sweep.
    """

    def __init__(
        self,
        clock: Clock,
        cfg: Settings,
        store: Store,
        swept_share: Callable[[], tuple[int, int] | None],
    ) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._store = store
        self._swept_share = swept_share
        self._unsettled: dict[str, _Unsettled] = {}
        self._settling = False
        self._shard = secrets.randbelow(CLAIMS_SHARDS)

    def start(self) -> None:
        """Begin to settle claims that the store missed, and to sweep."""
        self.every(SETTLE_INTERVAL, self._settle_turn)
        self.run_task(self._sweep())

    async def claim(self, request: ClaimRequest) -> ClaimResult:
        """Record a claim, or return what is known of the request that holds it.

        A repeat waits until its deadline for the outcome of the first request.
        """
        now = self.clock.now()
        mine = ClaimRecord(
            secrets.token_hex(8), request.digest, self._cfg.instance, now, request.deadline
        )
        key = claim_key(request.account, request.key)
        expected = ABSENT
        while True:
            outcome = await self._write(key, mine, expected)
            if isinstance(outcome, Stored):
                return ClaimAcquired(key, mine, outcome.version)
            if isinstance(outcome, Unavailable):
                return ClaimUnavailable(outcome.reason)
            if outcome.current is None:
                if expected == ABSENT:
                    return ClaimUnavailable(
                        "the store neither wrote the claim nor returned another"
                    )
                expected = ABSENT
                continue
            expected = ABSENT
            found = decode_claim(outcome.current.value)
            if found is None:
                return Answer(Unknown(f"the claim {key} cannot be read"))
            decision = decide_claim(found, mine, request.idempotent, self.clock.now())
            if isinstance(decision, Hold):
                return ClaimAcquired(key, mine, outcome.current.version)
            if isinstance(decision, Answer):
                return decision
            if isinstance(decision, TakeOver):
                expected = outcome.current.version
            elif not await self._await_change(key, outcome.current.version, request.deadline):
                return Answer(Unknown("an earlier request with the same key has no outcome yet"))

    async def resolve(self, held: ClaimAcquired, outcome: Outcome | None, deadline: float) -> None:
        """Record a request's outcome, or release the claim if ``outcome`` is None.

        Returns when it is recorded or at the deadline; it is retried until the
        store answers.
        """
        final = None if outcome is None else with_outcome(held.record, outcome)
        item = _Unsettled(held.key, held.record.nonce, final, held.version, 0.0)
        fut = self.run_task(self._settle_or_keep(item))
        await wait_for(self.clock, fut, max(0.0, deadline - self.clock.now()), None)

    async def _write(
        self, key: str, mine: ClaimRecord, expected: Version
    ) -> Stored | Conflict | Unavailable:
        """Write a claim; a lost reply is resolved by reading the nonce back."""
        outcome = await self._store.put(key, encode_claim(mine), expected)
        if not isinstance(outcome, Unavailable) or not outcome.applied_unknown:
            return outcome
        found = await self._store.get(key)
        if isinstance(found, Found):
            record = decode_claim(found.entry.value)
            if record is not None and record.nonce == mine.nonce:
                return Stored(found.entry.version)
        # The write may still take effect; nothing was dispatched, so the claim
        # has to go when it appears.
        until = self.clock.now() + LATE_WRITE_WINDOW
        self._keep(_Unsettled(key, mine.nonce, None, None, until))
        return outcome

    async def _await_change(self, key: str, version: Version, deadline: float) -> bool:
        """Wait for a change of a claim; return whether there was one before the deadline."""
        while (remaining := deadline - self.clock.now()) > 0:
            wait = min(WATCH_WAIT, remaining)
            changed = await self._store.watch(key, version, wait)
            if isinstance(changed, Unavailable):
                await sleep(self.clock, min(RETRY_DELAY, remaining))
            elif getattr(changed, "entries", ()) or getattr(changed, "deleted", ()):
                return self.clock.now() < deadline
        return False

    def _keep(self, item: _Unsettled) -> None:
        self._unsettled[item.nonce] = item
        if len(self._unsettled) > MAX_UNSETTLED:
            dropped = self._unsettled.pop(next(iter(self._unsettled)))
            log_event(LogEvent.CLAIM_UNSETTLED, key=dropped.key)

    async def _settle_or_keep(self, item: _Unsettled) -> None:
        following = await self._settle_once(item)
        if following is not None:
            self._keep(following)

    def _settle_turn(self, now: float) -> None:
        del now
        if self._unsettled and not self._settling:
            self._settling = True
            fut = self.run_task(self._settle_some())
            fut.add_done_callback(lambda _: setattr(self, "_settling", False))

    async def _settle_some(self) -> None:
        for nonce in list(self._unsettled)[:SETTLES_PER_TURN]:
            item = self._unsettled.pop(nonce)
            following = await self._settle_once(item)
            if following is not None:
                self._keep(following)

    async def _settle_once(self, item: _Unsettled) -> _Unsettled | None:
        """Try to settle a claim and return what is left to do."""
        version = item.version
        if version is None:
            found = await self._store.get(item.key)
            if isinstance(found, Missing):
                return item if self.clock.now() < item.absent_until else None
            if not isinstance(found, Found):
                return item
            version = _version_to_settle(found.entry, item)
            if version is None:
                return None if self.clock.now() >= item.absent_until else item
        if item.final is None:
            outcome = await self._store.delete(item.key, version)
        else:
            outcome = await self._store.put(item.key, encode_claim(item.final), version)
        if isinstance(outcome, Stored):
            return None
        return replace(item, version=None)

    async def _sweep(self) -> None:
        """Delete expired claims shard by shard, at a bounded rate."""
        while not self._stopped:
            share = self._swept_share()
            deleted = 0
            if share is not None:
                self._shard = (self._shard + 1) % CLAIMS_SHARDS
                index, count = share
                if self._shard % count == index:
                    deleted = await self._sweep_shard(self._shard)
                    if deleted == DELETES_PER_SWEEP:
                        self._shard -= 1
                elif count > 1:
                    continue
            busy = deleted == DELETES_PER_SWEEP
            await sleep(self.clock, BUSY_SWEEP_INTERVAL if busy else SWEEP_INTERVAL)

    async def _sweep_shard(self, shard: int) -> int:
        """Delete expired claims of a shard and return how many were tried."""
        listed = await self._store.list(claims_prefix(shard))
        if not isinstance(listed, Listed):
            return 0
        now = self.clock.now()
        expired = [entry for entry in listed.entries if _is_expired(entry, now)]
        for entry in expired[:DELETES_PER_SWEEP]:
            if isinstance(await self._store.delete(entry.key, entry.version), Unavailable):
                return 0
        return len(expired[:DELETES_PER_SWEEP])


def _version_to_settle(entry: Entry, item: _Unsettled) -> Version | None:
    """Return the version at which a claim is to be written, or None if it is not to be."""
    record = decode_claim(entry.value)
    if record is None or record.nonce != item.nonce or record == item.final:
        return None
    return entry.version


def _is_expired(entry: Entry, now: float) -> bool:
    record = decode_claim(entry.value)
    return record is None or is_expired(record, now)
