"""Choice of the running jobs to preempt for a gang."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.model import Placement
from chivefall.scheduling._cluster import RunningJob
from chivefall.scheduling._victim_index import preemption_cost

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.model import JobSpec, WorkerId
    from chivefall.scheduling._free_capacity import FreeCapacity
    from chivefall.scheduling._victim_index import VictimIndex

__all__ = ["VictimSelection", "choose_victims"]


@dataclass(frozen=True)
class VictimSelection:
    """Jobs to preempt and the placement that this makes possible.

    Attributes
    ----------
    cost : float
        Expected cost of the preemptions in weighted accelerator-seconds.
    """

    victims: tuple[RunningJob, ...]
    placement: Placement
    cost: float


def choose_victims(
    spec: JobSpec,
    capacity: FreeCapacity,
    index: VictimIndex,
    allowed: Callable[[RunningJob], bool] = lambda _: True,
) -> VictimSelection | None:
    """Return the cheapest set of jobs whose preemption frees a placement for a gang.

    Compares the groups of workers that may fit the gang by preemption cost, then by the
    number of preempted jobs. The choice within a group is a heuristic.

    Parameters
    ----------
    capacity : FreeCapacity
        Accelerators that are free or about to be released; not changed.
    allowed : callable
        Returns whether a job of the index may be preempted for this gang.
    """
    best: tuple[float, int] | None = None
    victims: tuple[RunningJob, ...] = ()
    rack = None
    for group in index.groups(spec, capacity):
        if best is not None and group.min_cost > best[0] + 1:
            break
        jobs = [job for job in index.available_jobs(group) if allowed(job)]
        free_by_worker = {name: max(0, capacity.free[name]) for name in group.workers}
        capacity.search_cost.examined += len(free_by_worker) + len(jobs)
        for order in _candidate_orders(jobs, free_by_worker, index.now):
            chosen = _sufficient_victims(spec, free_by_worker, order, index.now)
            if chosen is None:
                break
            # Rounded, so that the number of jobs decides between almost equal costs.
            cost = float(round(sum(preemption_cost(job, index.now) for job in chosen)))
            if best is None or (cost, len(chosen)) < best:
                best, victims, rack = (cost, len(chosen)), chosen, group.rack
    if best is None:
        return None
    after = capacity.copy()
    for job in victims:
        after.release(job.placement)
    placement = after.find_placement(spec, racks=None if rack is None else [rack])
    return None if placement is None else VictimSelection(victims, placement, best[0])


def _candidate_orders(
    jobs: list[RunningJob], free_by_worker: dict[WorkerId, int], now: float
) -> tuple[list[RunningJob], list[RunningJob]]:
    """Return the jobs by cost, and by cost per accelerator that they release on the workers."""

    def unit_cost(job: RunningJob) -> tuple[float, int]:
        released = sum(
            member.accelerators for member in job.placement if member.worker in free_by_worker
        )
        return (preemption_cost(job, now) / max(1, released), -released)

    return sorted(jobs, key=lambda job: preemption_cost(job, now)), sorted(jobs, key=unit_cost)


def _sufficient_victims(
    spec: JobSpec, free_by_worker: dict[WorkerId, int], order: list[RunningJob], now: float
) -> tuple[RunningJob, ...] | None:
    """Return the shortest prefix of ``order`` that suffices, without the jobs not needed."""
    remaining = dict(free_by_worker)
    slots = sum(free // spec.accelerators for free in remaining.values())
    chosen: list[RunningJob] = []
    for job in order:
        if slots >= spec.gang_size:
            break
        slots += _update_free(spec, remaining, job, 1)
        chosen.append(job)
    if slots < spec.gang_size:
        return None
    for job in sorted(chosen, key=lambda item: -preemption_cost(item, now)):
        slots += _update_free(spec, remaining, job, -1)
        if slots >= spec.gang_size:
            chosen.remove(job)
        else:
            slots += _update_free(spec, remaining, job, 1)
    return tuple(chosen)


def _update_free(
    spec: JobSpec, free_by_worker: dict[WorkerId, int], job: RunningJob, sign: int
) -> int:
    """Add (sign 1) or remove (-1) a job's accelerators; return the change in member slots."""
    change = 0
    for member in job.placement:
        if member.worker in free_by_worker:
            before = free_by_worker[member.worker]
            free_by_worker[member.worker] = before + sign * member.accelerators
            change += (
                free_by_worker[member.worker] // spec.accelerators - before // spec.accelerators
            )
    return change
