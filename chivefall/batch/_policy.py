"""Which waiting tasks start where, and which runs are stopped for others."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from chivefall.batch._round import Round

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from chivefall.batch._fleet import Fleet
    from chivefall.batch._plan import Candidate, Plan
    from chivefall.model import AccountId

__all__ = ["BatchPolicy", "DeadlinePolicy"]


class BatchPolicy(ABC):
    """Decides what a scheduling round does."""

    @abstractmethod
    def plan(
        self,
        candidates: Iterable[Candidate],
        fleet: Fleet,
        now: float,
        guarantees: Mapping[AccountId, int] | None = None,
    ) -> Plan:
        """Return the starts and stops of one round.

        Parameters
        ----------
        candidates : iterable of Candidate
            All jobs that have not ended.
        fleet : Fleet
            Workers with the room that runs hold.
        now : float
            Time of the round, in seconds since the epoch.
        guarantees : mapping, optional
            Accelerators that an account's urgent jobs get at any time.
        """


class DeadlinePolicy(BatchPolicy):
    """Urgent work within a guarantee first, then urgent work, then what has to start soonest.

    A gang that does not fit keeps the room of the rack that suits it best, so
    that tasks behind it do not take what becomes free. An urgent group that does
    not fit stops the runs whose loss is smallest.
    """

    def plan(
        self,
        candidates: Iterable[Candidate],
        fleet: Fleet,
        now: float,
        guarantees: Mapping[AccountId, int] | None = None,
    ) -> Plan:
        """Return the starts and stops of one round at the time ``now``."""
        return Round(fleet, now, guarantees or {}).run(candidates)
