"""Defragmentation: moves of small jobs that free adjacent accelerators for a gang."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.scheduling._reclaim import VictimSelection, choose_victims
from chivefall.scheduling._victim_index import RESTART_SECONDS, VictimIndex

if TYPE_CHECKING:
    from collections.abc import Sequence

    from chivefall.model import JobSpec
    from chivefall.scheduling._cluster import RunningJob
    from chivefall.scheduling._free_capacity import FreeCapacity

__all__ = ["choose_moves"]

MIN_WAIT_SECONDS = 2 * RESTART_SECONDS  # a shorter wait ends before a move helps


def choose_moves(
    spec: JobSpec, capacity: FreeCapacity, candidates: Sequence[RunningJob], wait: float, now: float
) -> VictimSelection | None:
    """Return the jobs to move, or None if moving is not worthwhile.

    Moving is worthwhile if every moved job fits elsewhere at once and the moves cost fewer
    accelerator-seconds than the gang would lose by waiting.

    Parameters
    ----------
    candidates : sequence of RunningJob
        Jobs that may be moved; only those smaller than the gang are considered.
    wait : float
        Estimated seconds until the gang fits without moves.
    """
    if wait < MIN_WAIT_SECONDS or capacity.total_free() < spec.total_accelerators:
        return None
    small = [job for job in candidates if job.spec.total_accelerators < spec.total_accelerators]
    choice = choose_victims(spec, capacity, VictimIndex(small, now))
    if choice is None:
        return None
    saved = spec.total_accelerators * (wait - RESTART_SECONDS)
    if choice.cost >= saved or not _all_fit_elsewhere(choice, capacity):
        return None
    return choice


def _all_fit_elsewhere(choice: VictimSelection, capacity: FreeCapacity) -> bool:
    after = capacity.copy()
    for job in choice.victims:
        after.release(job.placement)
    after.allocate(choice.placement)
    for job in sorted(choice.victims, key=lambda item: -item.spec.total_accelerators):
        placement = after.find_placement(job.spec)
        if placement is None:
            return False
        after.allocate(placement)
    return True
