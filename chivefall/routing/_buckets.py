"""Token buckets for rates and retries."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RetryBudget", "TokenBucket"]

RETRY_RATIO = 0.1  # retries for each first attempt
RETRY_RESERVE = 5.0  # retries that an idle account may make at once
# Sums of fractions fall short of a whole token by rounding errors.
TOKEN_TOLERANCE = 1e-6


@dataclass
class TokenBucket:
    """Admits ``rate`` requests a second and ``burst`` at once."""

    rate: float
    burst: float
    tokens: float
    updated_at: float

    @classmethod
    def full(cls, rate: float, burst: float, now: float) -> TokenBucket:
        """Return a bucket that admits a whole burst."""
        return cls(rate, burst, burst, now)

    def set_limits(self, rate: float, burst: float, now: float) -> None:
        """Adopt other limits and keep the tokens, up to the new burst."""
        self._refill(now)
        self.rate, self.burst = rate, burst
        self.tokens = min(self.tokens, burst)

    def take(self, now: float) -> float:
        """Take a token and return 0, or return the seconds until there is one."""
        self._refill(now)
        if self.tokens >= 1 - TOKEN_TOLERANCE:
            self.tokens -= 1
            return 0.0
        if self.rate <= 0 or self.burst < 1:
            return float("inf")
        return (1 - self.tokens) / self.rate

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.updated_at = max(now, self.updated_at)


@dataclass
class RetryBudget:
    """Limits the retries of an account to a fraction of its first attempts."""

    ratio: float = RETRY_RATIO
    reserve: float = RETRY_RESERVE
    tokens: float = RETRY_RESERVE

    def record_first_attempt(self) -> None:
        """Earn a fraction of a retry."""
        self.tokens = min(self.reserve, self.tokens + self.ratio)

    def take(self) -> bool:
        """Take a retry if one is left."""
        if self.tokens < 1 - TOKEN_TOLERANCE:
            return False
        self.tokens -= 1
        return True
