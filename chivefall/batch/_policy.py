"""Policies that decide which tasks start where and which runs are preempted."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from chivefall.batch._round import Round

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from chivefall.batch._fleet import Fleet
    from chivefall.batch._plan import Candidate, Plan
    from chivefall.batch._timing import BatchTiming
    from chivefall.model import AccountId

__all__ = ["BatchPolicy", "DeadlinePolicy"]


class BatchPolicy(ABC):
    """Decides the starts and preemptions of a scheduling round."""

    @abstractmethod
    def plan(
        self,
        candidates: Iterable[Candidate],
        fleet: Fleet,
        now: float,
        guarantees: Mapping[AccountId, int] | None = None,
    ) -> Plan:
        """Return the starts and preemptions of one round.

        Parameters
        ----------
        candidates : iterable of Candidate
            All jobs that have not ended.
        fleet : Fleet
            Workers and the resources that their runs use.
        now : float
            Time of the round, in seconds since the Unix epoch.
        guarantees : mapping, optional
            Accelerators guaranteed at any time to the urgent jobs of an account.
        """


class DeadlinePolicy(BatchPolicy):
    """Places urgent groups within a guarantee first, then other urgent ones, then the rest.

    Within each class, groups are placed in the order of their latest start; those that are
    too late to be of value come last. A gang that does not fit reserves the resources of the
    rack on which it should fit first, so that later groups do not take them. An urgent
    group that does not fit preempts the runs whose stop loses the least work.
    """

    def __init__(self, timing: BatchTiming) -> None:
        self._timing = timing

    def plan(
        self,
        candidates: Iterable[Candidate],
        fleet: Fleet,
        now: float,
        guarantees: Mapping[AccountId, int] | None = None,
    ) -> Plan:
        """Return the starts and preemptions of one round at the time ``now``."""
        return Round(fleet, now, guarantees or {}, self._timing).run(candidates)
