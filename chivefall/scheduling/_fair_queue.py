"""Fair-share order of the queued jobs of all accounts."""

from __future__ import annotations

import heapq
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from chivefall.model import AccountId
    from chivefall.scheduling._cluster import QueuedJob
    from chivefall.scheduling._round_state import RoundState

__all__ = ["FairQueue"]


class FairQueue:
    """Iterates over queued jobs; the next job is from the account with the least borrowed share.

    Shares are rounded to whole multiples of the account's weight, and equal shares are
    ordered by submission time, so that small differences do not let small jobs overtake
    large ones. Jobs with a checkpoint come first, because part of their work is done.
    The jobs of one account stay in the order of their submission. Shares are read again
    for each job, so they include the jobs started during the iteration.
    """

    def __init__(self, state: RoundState, jobs: Iterable[QueuedJob]) -> None:
        self._state = state
        self._jobs: dict[AccountId, list[QueuedJob]] = defaultdict(list)
        for job in reversed(sorted(jobs, key=lambda item: item.submitted_at)):  # noqa: C413 - keeps ties
            self._jobs[job.spec.account].append(job)

    def __iter__(self) -> Iterator[QueuedJob]:
        heap = [self._entry(account) for account in self._jobs]
        heapq.heapify(heap)
        while heap:
            *_, account = heapq.heappop(heap)
            yield self._jobs[account].pop()
            if self._jobs[account]:
                heapq.heappush(heap, self._entry(account))

    def _entry(self, account: AccountId) -> tuple[bool, int, float, AccountId]:
        job = self._jobs[account][-1]
        share = round(self._state.borrowed_share(account))
        return (job.checkpointed_seconds <= 0, share, job.submitted_at, account)
