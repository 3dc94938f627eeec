"""Token buckets that limit requests and retries."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RetryBudget", "TokenBucket"]

RETRY_RATIO = 0.1  # retries per first attempt
RETRY_BURST = 5.0  # retries that an account may make at once
TOKEN_TOLERANCE = 1e-6  # for rounding errors in sums of fractions of a token


@dataclass
class TokenBucket:
    """Admits ``rate`` requests per second on average and ``burst`` at once.

    Attributes
    ----------
    tokens : float
        Requests that are admitted at ``updated_at``.
    updated_at : float
        Time of the last refill in seconds since the Unix epoch.
    """

    rate: float
    burst: float
    tokens: float
    updated_at: float

    @classmethod
    def full(cls, rate: float, burst: float, now: float) -> TokenBucket:
        """Return a full bucket, which admits a whole burst."""
        return cls(rate, burst, burst, now)

    def set_limits(self, rate: float, burst: float, now: float) -> None:
        """Change the limits; tokens beyond the new burst are dropped."""
        self._refill(now)
        self.rate, self.burst = rate, burst
        self.tokens = min(self.tokens, burst)

    def take(self, now: float) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
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
    """Limits the retries of an account to a fraction of its first attempts.

    Attributes
    ----------
    ratio : float
        Retries earned by each first attempt.
    burst : float
        Maximum number of retries kept for later.
    tokens : float
        Retries that may be made now.
    """

    ratio: float = RETRY_RATIO
    burst: float = RETRY_BURST
    tokens: float = RETRY_BURST

    def record_first_attempt(self) -> None:
        """Add the fraction of a retry that a first attempt earns."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def take(self) -> bool:
        """Take a retry from the budget and return True, or return False if none is left."""
        if self.tokens < 1 - TOKEN_TOLERANCE:
            return False
        self.tokens -= 1
        return True
