"""Idempotency claims and the sweep of expired claims."""

from __future__ import annotations

import unittest

from chivefall.config import Settings
from chivefall.controllers import ClaimController
from chivefall.model import Completed, DomainId, InstanceId, NotRun, Unknown
from chivefall.runtime import ManualClock
from chivefall.store import (
    ABSENT,
    CLAIM_LIFETIME_SECONDS,
    CLAIM_SHARDS,
    AwaitOutcome,
    ClaimRecord,
    ReplaceClaim,
    ReturnOutcome,
    claims_prefix,
    decide_claim,
    encode_claim,
    with_outcome,
)
from standins.memory_store import MemoryStore
from standins.store import KeyValueState

SWEEP_CYCLE_SECONDS = 5.0 * CLAIM_SHARDS


def claim(nonce: str, claimed_at: float = 0.0) -> ClaimRecord:
    """Return a claim without an outcome."""
    return ClaimRecord(nonce, "digest", InstanceId("a"), claimed_at, claimed_at + 30.0)


class DecideClaimTest(unittest.TestCase):
    def test_claim_without_outcome(self) -> None:
        """Guards against a second run while the first one may still be running."""
        cases = (
            (False, 31.0, AwaitOutcome),
            (False, CLAIM_LIFETIME_SECONDS - 1, AwaitOutcome),
            (False, CLAIM_LIFETIME_SECONDS, ReplaceClaim),
            (True, 31.0, AwaitOutcome),
            (True, 36.0, ReplaceClaim),
        )
        for idempotent, now, kind in cases:
            with self.subTest(idempotent=idempotent, now=now):
                decision = decide_claim(claim("first"), claim("second"), idempotent, now)
                self.assertIsInstance(decision, kind)

    def test_large_outcome_is_unknown_to_a_duplicate_request(self) -> None:
        """Guards against storing large responses, and against reporting "not run" for them."""
        completed = with_outcome(claim("first"), Completed("x" * 100_000))
        self.assertLess(len(encode_claim(completed)), 500)
        decision = decide_claim(completed, claim("second"), False, 1.0)
        self.assertIsInstance(decision, ReturnOutcome)
        self.assertIsInstance(decision.outcome, Unknown)
        self.assertNotIsInstance(decision.outcome, NotRun)


class SweepTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(0.0)
        self.state = KeyValueState(self.clock)
        self.partition: tuple[int, int] | None = (0, 1)
        addresses = [f"127.0.0.1:{port}" for port in (1, 2, 3)]
        cfg = Settings(InstanceId("a"), "region", DomainId("zarcero"), *addresses)
        self.store = MemoryStore(self.state, self.clock)
        self.claims = ClaimController(self.clock, cfg, self.store, lambda: self.partition)

    def put(self, shard: int, number: int, claimed_at: float) -> None:
        value = encode_claim(claim("first", claimed_at))
        self.state.put(f"{claims_prefix(shard)}{number:04d}", value, ABSENT, None)

    def test_only_expired_claims_are_deleted_at_a_low_rate(self) -> None:
        """Guards against unbounded growth of the store and against bursts of store calls."""
        for number in range(50):
            self.put(7, number, 0.0)
        self.put(7, 50, 2 * CLAIM_LIFETIME_SECONDS)
        self.clock.advance(CLAIM_LIFETIME_SECONDS)
        self.claims.start()
        before = self.store.calls
        self.clock.advance(SWEEP_CYCLE_SECONDS)
        self.assertEqual(len(self.state.list("claims/")), 1)
        self.assertLess(self.store.calls - before, CLAIM_SHARDS + 60)

    def test_each_leader_sweeps_its_partition(self) -> None:
        """Guards against shards that no instance sweeps, and against sweeps by followers."""
        for shard in (6, 7):
            self.put(shard, 0, 0.0)
        self.clock.advance(CLAIM_LIFETIME_SECONDS)
        self.partition = None
        self.claims.start()
        self.clock.advance(SWEEP_CYCLE_SECONDS)
        self.assertEqual(self.store.calls, 0)
        self.partition = (1, 2)
        self.clock.advance(SWEEP_CYCLE_SECONDS)
        self.assertEqual([key[:10] for key, _ in self.state.list("claims/")], [claims_prefix(6)])
