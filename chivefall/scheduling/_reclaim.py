"""Choice of the running jobs that make room for another."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.model import Placement
from chivefall.scheduling._cluster import RunningJob
from chivefall.scheduling._victim_index import lost_work

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.model import JobSpec, WorkerId
    from chivefall.scheduling._free_capacity import FreeCapacity
    from chivefall.scheduling._victim_index import VictimIndex

__all__ = ["Reclaim", "choose_victims"]


@dataclass(frozen=True)
class Reclaim:
    """Jobs to preempt and the place that they make.

    Attributes
    ----------
    lost : float
        Accelerator-seconds that the preemptions are expected to cost.
    """

    victims: tuple[RunningJob, ...]
    placement: Placement
    lost: float


def choose_victims(
    spec: JobSpec,
    room: FreeCapacity,
    index: VictimIndex,
    allowed: Callable[[RunningJob], bool] = lambda _: True,
) -> Reclaim | None:
    """Return the cheapest jobs whose preemption makes room for a gang.

    Compares the least lost work, then the fewest jobs, over all groups that may
    hold the gang.

    Parameters
    ----------
    room : FreeCapacity
        Room that is free or about to be free; not changed.
    allowed : callable
        Whether a job of the index may be preempted for this gang.
    """
    best: tuple[float, int] | None = None
    victims: tuple[RunningJob, ...] = ()
    rack = None
    for group in index.groups(spec, room):
        if best is not None and group.bound > best[0] + 1:
            break
        jobs = [job for job in index.present(group) if allowed(job)]
        frees = {name: max(0, room.free[name]) for name in group.workers}
        room.cost.examined += len(frees) + len(jobs)
        for order in _orders(jobs, frees, index.now):
            chosen = _fewest(spec, frees, order, index.now)
            if chosen is None:
                break
            # Rounded, so that the number of jobs decides between almost equal losses.
            lost = float(round(sum(lost_work(job, index.now) for job in chosen)))
            if best is None or (lost, len(chosen)) < best:
                best, victims, rack = (lost, len(chosen)), chosen, group.rack
    if best is None:
        return None
    after = room.copy()
    for job in victims:
        after.release(job.placement)
    placement = after.find_placement(spec, racks=None if rack is None else [rack])
    return None if placement is None else Reclaim(victims, placement, best[0])


def _orders(
    jobs: list[RunningJob], frees: dict[WorkerId, int], now: float
) -> tuple[list[RunningJob], list[RunningJob]]:
    """Return the jobs cheapest first, and by cost for each useful accelerator."""

    def price(job: RunningJob) -> tuple[float, int]:
        useful = sum(member.accelerators for member in job.placement if member.worker in frees)
        return (lost_work(job, now) / max(1, useful), -useful)

    return sorted(jobs, key=lambda job: lost_work(job, now)), sorted(jobs, key=price)


def _fewest(
    spec: JobSpec, frees: dict[WorkerId, int], order: list[RunningJob], now: float
) -> tuple[RunningJob, ...] | None:
    """Return the first jobs of an order that suffice, without those not needed."""
    rest = dict(frees)
    slots = sum(free // spec.accelerators for free in rest.values())
    chosen: list[RunningJob] = []
    for job in order:
        if slots >= spec.gang_size:
            break
        slots += _change(spec, rest, job, 1)
        chosen.append(job)
    if slots < spec.gang_size:
        return None
    for job in sorted(chosen, key=lambda item: -lost_work(item, now)):
        slots += _change(spec, rest, job, -1)
        if slots >= spec.gang_size:
            chosen.remove(job)
        else:
            slots += _change(spec, rest, job, 1)
    return tuple(chosen)


def _change(spec: JobSpec, rest: dict[WorkerId, int], job: RunningJob, sign: int) -> int:
    """Add or remove a job's accelerators and return the change in places for members."""
    change = 0
    for member in job.placement:
        if member.worker in rest:
            before = rest[member.worker]
            rest[member.worker] = before + sign * member.accelerators
            change += rest[member.worker] // spec.accelerators - before // spec.accelerators
    return change
