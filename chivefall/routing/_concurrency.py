"""Bound on the requests in progress, divided fairly among accounts."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from chivefall.model import AccountId

__all__ = ["ConcurrencyLimiter"]

MAX_REQUESTS_IN_PROGRESS = 512
URGENT_RESERVE_FRACTION = 0.125  # part of the room that only urgent requests may use


@dataclass
class ConcurrencyLimiter:
    """Counts the requests in progress and decides about one more.

    An account may always hold an equal part of the room, and more while that
    leaves as much free room as it holds. A burst of one account therefore
    takes at most half, and each further account that bursts gets a part too.
    """

    limit: int = MAX_REQUESTS_IN_PROGRESS
    total: int = 0
    by_account: dict[AccountId, int] = field(default_factory=lambda: defaultdict(int))

    def admits(self, account: AccountId, accounts: int, urgent: bool) -> bool:
        """Return whether one more request of an account fits."""
        limit = self.limit if urgent else int(self.limit * (1 - URGENT_RESERVE_FRACTION))
        held = self.by_account.get(account, 0)
        if self.total >= limit:
            return False
        fair = limit // max(1, accounts)
        return held < fair or held < limit - self.total

    def acquire(self, account: AccountId) -> None:
        """Count a request that begins."""
        self.total += 1
        self.by_account[account] += 1

    def release(self, account: AccountId) -> None:
        """Count a request that ended; accounts without requests take no memory."""
        self.total -= 1
        self.by_account[account] -= 1
        if not self.by_account[account]:
            del self.by_account[account]
