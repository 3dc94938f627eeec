"""Idempotency claims of requests and deletion of expired claims."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Union

from chivefall.controllers._base import Controller
from chivefall.model import AccountId, IdempotencyKey, Outcome, Unknown
from chivefall.runtime import sleep, wait_for
from chivefall.store import (
    ABSENT,
    CLAIM_SHARDS,
    ClaimRecord,
    Conflict,
    DispatchRequest,
    Entry,
    Found,
    Listed,
    Missing,
    ReplaceClaim,
    ReturnOutcome,
    Store,
    Stored,
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

WATCH_RETRY_DELAY_SECONDS = 2.0  # before the next watch while the store is unavailable
WATCH_TIMEOUT_SECONDS = 20.0  # of one watch for the first request's outcome
RESOLVE_INTERVAL_SECONDS = 2.0
MAX_RESOLVES_PER_TICK = 20  # limits the write burst of all instances after a store outage
MAX_UNRESOLVED_CLAIMS = 1000  # bounds memory during a store outage
LATE_WRITE_WINDOW_SECONDS = 60.0  # a write that timed out may take effect within this time
SWEEP_INTERVAL_SECONDS = 5.0  # between two shards; a full pass takes 5.7 h
BUSY_SWEEP_INTERVAL_SECONDS = 1.0  # after a full batch of deletions
MAX_DELETES_PER_SWEEP = 20


@dataclass(frozen=True)
class ClaimRequest:
    """A request that needs a claim before dispatch."""

    account: AccountId
    key: IdempotencyKey
    digest: str
    idempotent: bool
    deadline: float


@dataclass(frozen=True)
class ClaimAcquired:
    """The claim is stored for this request, which may be dispatched."""

    key: str
    record: ClaimRecord
    version: Version


@dataclass(frozen=True)
class ClaimUnavailable:
    """The store is unavailable, so the claim is not known to be stored."""

    reason: str


ClaimResult = Union[ClaimAcquired, ReturnOutcome, ClaimUnavailable]


@dataclass(frozen=True)
class _UnresolvedClaim:
    """A claim that must still be completed, or deleted if ``final`` is None.

    Attributes
    ----------
    version : Version or None
        Version of the stored claim; None if it must be read first.
    absent_until : float
        Time in seconds since the Unix epoch until which a late write may create the claim.
    """

    key: str
    nonce: str
    final: ClaimRecord | None
    version: Version | None
    absent_until: float


class ClaimController(Controller):
    """Claims idempotency keys, stores outcomes and deletes expired claims.

    Parameters
    ----------
    sweep_partition : callable
        Returns the index of the partition that this instance sweeps and the
        number of partitions, or None if this instance does not sweep.
    """

    def __init__(
        self,
        clock: Clock,
        cfg: Settings,
        store: Store,
        sweep_partition: Callable[[], tuple[int, int] | None],
    ) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._store = store
        self._sweep_partition = sweep_partition
        self._unresolved: dict[str, _UnresolvedClaim] = {}
        self._resolving = False
        self._shard = secrets.randbelow(CLAIM_SHARDS)

    def start(self) -> None:
        """Start retrying unresolved claims and sweeping expired ones."""
        self.every(RESOLVE_INTERVAL_SECONDS, self._resolve_tick)
        self.run_task(self._sweep())

    async def claim(self, request: ClaimRequest) -> ClaimResult:
        """Store a claim, or return the outcome of the request that already holds the key.

        A duplicate request waits until its deadline for the outcome of the first one.
        """
        now = self.clock.now()
        new_claim = ClaimRecord(
            secrets.token_hex(8), request.digest, self._cfg.instance, now, request.deadline
        )
        key = claim_key(request.account, request.key)
        expected = ABSENT
        while True:
            outcome = await self._write(key, new_claim, expected)
            if isinstance(outcome, Stored):
                return ClaimAcquired(key, new_claim, outcome.version)
            if isinstance(outcome, Unavailable):
                return ClaimUnavailable(outcome.reason)
            if outcome.current is None:
                if expected == ABSENT:
                    return ClaimUnavailable(
                        "the store rejected the claim but returned no existing one"
                    )
                expected = ABSENT
                continue
            expected = ABSENT
            found = decode_claim(outcome.current.value)
            if found is None:
                return ReturnOutcome(Unknown(f"stored claim {key} cannot be decoded"))
            decision = decide_claim(found, new_claim, request.idempotent, self.clock.now())
            if isinstance(decision, DispatchRequest):
                return ClaimAcquired(key, new_claim, outcome.current.version)
            if isinstance(decision, ReturnOutcome):
                return decision
            if isinstance(decision, ReplaceClaim):
                expected = outcome.current.version
            elif not await self._await_change(key, outcome.current.version, request.deadline):
                return ReturnOutcome(
                    Unknown("an earlier request with the same key has no outcome yet")
                )

    async def resolve(self, claim: ClaimAcquired, outcome: Outcome | None, deadline: float) -> None:
        """Store a request's outcome, or release the claim if ``outcome`` is None.

        Returns after the first attempt or at the deadline. Failed attempts are
        repeated in the background.
        """
        final = None if outcome is None else with_outcome(claim.record, outcome)
        item = _UnresolvedClaim(claim.key, claim.record.nonce, final, claim.version, 0.0)
        fut = self.run_task(self._resolve_or_keep(item))
        await wait_for(self.clock, fut, max(0.0, deadline - self.clock.now()), None)

    async def _write(
        self, key: str, new_claim: ClaimRecord, expected: Version
    ) -> Stored | Conflict | Unavailable:
        """Write a claim; after a lost reply, read the claim back and compare nonces."""
        outcome = await self._store.put(key, encode_claim(new_claim), expected)
        if not isinstance(outcome, Unavailable) or not outcome.applied_unknown:
            return outcome
        found = await self._store.get(key)
        if isinstance(found, Found):
            record = decode_claim(found.entry.value)
            if record is not None and record.nonce == new_claim.nonce:
                return Stored(found.entry.version)
        # The write may still take effect. Nothing was dispatched under this
        # claim, so it must be deleted if it appears.
        until = self.clock.now() + LATE_WRITE_WINDOW_SECONDS
        self._add_unresolved(_UnresolvedClaim(key, new_claim.nonce, None, None, until))
        return outcome

    async def _await_change(self, key: str, version: Version, deadline: float) -> bool:
        """Wait until a claim changes; return False if the deadline passes first."""
        while (remaining := deadline - self.clock.now()) > 0:
            wait = min(WATCH_TIMEOUT_SECONDS, remaining)
            changed = await self._store.watch(key, version, wait)
            if isinstance(changed, Unavailable):
                await sleep(self.clock, min(WATCH_RETRY_DELAY_SECONDS, remaining))
            elif getattr(changed, "entries", ()) or getattr(changed, "deleted", ()):
                return self.clock.now() < deadline
        return False

    def _add_unresolved(self, item: _UnresolvedClaim) -> None:
        self._unresolved[item.nonce] = item
        if len(self._unresolved) > MAX_UNRESOLVED_CLAIMS:
            dropped = self._unresolved.pop(next(iter(self._unresolved)))
            log_event(LogEvent.CLAIM_UNSETTLED, key=dropped.key)

    async def _resolve_or_keep(self, item: _UnresolvedClaim) -> None:
        retry = await self._try_resolve(item)
        if retry is not None:
            self._add_unresolved(retry)

    def _resolve_tick(self, now: float) -> None:
        del now
        if self._unresolved and not self._resolving:
            self._resolving = True
            fut = self.run_task(self._resolve_batch())
            fut.add_done_callback(lambda _: setattr(self, "_resolving", False))

    async def _resolve_batch(self) -> None:
        for nonce in list(self._unresolved)[:MAX_RESOLVES_PER_TICK]:
            item = self._unresolved.pop(nonce)
            retry = await self._try_resolve(item)
            if retry is not None:
                self._add_unresolved(retry)

    async def _try_resolve(self, item: _UnresolvedClaim) -> _UnresolvedClaim | None:
        """Try once to write a claim's final state; return what to retry, or None when done."""
        version = item.version
        if version is None:
            found = await self._store.get(item.key)
            if isinstance(found, Missing):
                return item if self.clock.now() < item.absent_until else None
            if not isinstance(found, Found):
                return item
            version = _version_to_write(found.entry, item)
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
        """Delete expired claims shard by shard at a limited rate."""
        while not self._stopped:
            partition = self._sweep_partition()
            deleted = 0
            if partition is not None:
                self._shard = (self._shard + 1) % CLAIM_SHARDS
                index, count = partition
                if self._shard % count == index:
                    deleted = await self._sweep_shard(self._shard)
                    if deleted == MAX_DELETES_PER_SWEEP:
                        self._shard -= 1
                elif count > 1:
                    continue
            busy = deleted == MAX_DELETES_PER_SWEEP
            await sleep(self.clock, BUSY_SWEEP_INTERVAL_SECONDS if busy else SWEEP_INTERVAL_SECONDS)

    async def _sweep_shard(self, shard: int) -> int:
        """Delete expired claims of a shard; return the number of attempts, 0 if a call fails."""
        listed = await self._store.list(claims_prefix(shard))
        if not isinstance(listed, Listed):
            return 0
        now = self.clock.now()
        expired = [entry for entry in listed.entries if _is_expired(entry, now)]
        for entry in expired[:MAX_DELETES_PER_SWEEP]:
            if isinstance(await self._store.delete(entry.key, entry.version), Unavailable):
                return 0
        return len(expired[:MAX_DELETES_PER_SWEEP])


def _version_to_write(entry: Entry, item: _UnresolvedClaim) -> Version | None:
    """Return the stored version to overwrite, or None if no write is needed."""
    record = decode_claim(entry.value)
    if record is None or record.nonce != item.nonce or record == item.final:
        return None
    return entry.version


def _is_expired(entry: Entry, now: float) -> bool:
    record = decode_claim(entry.value)
    return record is None or is_expired(record, now)
