"""Limit on the number of requests in progress, shared fairly among accounts."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from chivefall.model import AccountId

__all__ = ["ConcurrencyLimiter"]

MAX_REQUESTS_IN_PROGRESS = 512  # per instance
URGENT_RESERVE_FRACTION = 0.125  # part of the limit that only urgent requests may use


@dataclass
class ConcurrencyLimiter:
    """Limits the requests in progress, in total and for each account.

    An account may use an equal share of the limit. It may use more while the unused part
    of the limit is larger than its own use. One of several accounts can therefore use at
    most half of the limit, and the rest remains for bursts of the others.

    Attributes
    ----------
    limit : int
        Maximum number of requests in progress.
    total : int
        Number of requests in progress.
    by_account : dict
        Number of requests in progress of each account; accounts without any are absent.
    """

    limit: int = MAX_REQUESTS_IN_PROGRESS
    total: int = 0
    by_account: dict[AccountId, int] = field(default_factory=lambda: defaultdict(int))

    def admits(self, account: AccountId, accounts: int, urgent: bool) -> bool:
        """Return whether one more request of an account may start.

        Parameters
        ----------
        accounts : int
            Number of accounts that share the limit.
        """
        limit = self.limit if urgent else int(self.limit * (1 - URGENT_RESERVE_FRACTION))
        used = self.by_account.get(account, 0)
        if self.total >= limit:
            return False
        fair = limit // max(1, accounts)
        return used < fair or used < limit - self.total

    def acquire(self, account: AccountId) -> None:
        """Count a request that starts."""
        self.total += 1
        self.by_account[account] += 1

    def release(self, account: AccountId) -> None:
        """Count a request that ended."""
        self.total -= 1
        self.by_account[account] -= 1
        if not self.by_account[account]:
            del self.by_account[account]
