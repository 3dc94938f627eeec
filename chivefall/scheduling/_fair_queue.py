"""The order in which accounts borrow."""

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
    """Queued jobs, each time from the account that borrows least by its weight.

    Shares are compared in whole multiples of the weight, and accounts with the
    same share take turns by submission, so that small differences do not let
    small jobs pass large ones. Jobs that were preempted come first, because their
    work is half done. The jobs of one account keep the order of their submission.
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
