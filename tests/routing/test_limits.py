"""Tests of token buckets, retry budgets and the concurrency limit."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from chivefall.model import AccountId
from chivefall.routing import ConcurrencyLimiter, RetryBudget, TokenBucket


class TokenBucketTest(unittest.TestCase):
    @settings(derandomize=True, database=None, max_examples=100)
    @given(st.floats(0.1, 1000), st.integers(1, 50))
    def test_exact_retry_after(self, rate: float, burst: int) -> None:
        """Guards against a Retry-After that is too early or too late."""
        bucket = TokenBucket.full(rate, burst, 0.0)
        self.assertEqual([bucket.take(0.0) for _ in range(burst)], [0.0] * burst)
        wait = bucket.take(0.0)
        self.assertAlmostEqual(wait, 1 / rate)
        self.assertGreater(bucket.take(wait * 0.99), 0)
        self.assertEqual(bucket.take(wait), 0.0)

    def test_rate_over_time(self) -> None:
        """Guards against tokens beyond the burst, and extra tokens if the clock steps back."""
        bucket = TokenBucket.full(10, 5, 0.0)
        admitted = sum(bucket.take(step / 100) == 0.0 for step in range(1000))
        self.assertIn(admitted, range(104, 106))
        while bucket.take(10.0) == 0.0:
            pass
        self.assertGreater(bucket.take(5.0), 0)

    def test_account_without_rate(self) -> None:
        """Guards against a division by zero."""
        self.assertEqual(TokenBucket(0, 1, 0, 0.0).take(9.0), float("inf"))


class RetryBudgetTest(unittest.TestCase):
    def test_fraction_of_first_attempts(self) -> None:
        """Guards against retries that amplify an overload."""
        budget, retries = RetryBudget(), 0
        for _ in range(1000):
            budget.record_first_attempt()
            retries += sum(budget.take() for _ in range(3))
        self.assertIn(retries, range(100, 106))


class ConcurrencyLimiterTest(unittest.TestCase):
    def fill(self, limiter: ConcurrencyLimiter, name: str, urgent: bool = False) -> int:
        """Start requests of an account until one is refused; return their number."""
        count = 0
        while limiter.admits(AccountId(name), 4, urgent):
            limiter.acquire(AccountId(name))
            count += 1
        return count

    def test_burst_leaves_capacity_for_others_and_for_urgent_requests(self) -> None:
        """Guards against one account that uses the whole limit."""
        limiter = ConcurrencyLimiter(limit=64)
        self.assertEqual(
            self.fill(limiter, "a"), 28, "half of the 56 requests not reserved for urgent ones"
        )
        self.assertGreaterEqual(self.fill(limiter, "b"), 14)
        self.assertGreaterEqual(self.fill(limiter, "c"), 14)
        self.assertEqual(limiter.total, 56)
        self.assertGreaterEqual(self.fill(limiter, "d", urgent=True), 8)

    def test_accounts_without_requests_use_no_memory(self) -> None:
        """Guards against state that grows with the number of accounts ever seen."""
        limiter = ConcurrencyLimiter()
        for number in range(1000):
            limiter.acquire(AccountId(str(number)))
            limiter.release(AccountId(str(number)))
        self.assertEqual((limiter.total, dict(limiter.by_account)), (0, {}))
