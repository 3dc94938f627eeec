"""Choice of the running jobs that make room for another."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.model import Adjacency, Placement, Urgency
from chivefall.scheduling._cluster import RunningJob

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable, Sequence

    from chivefall.model import JobSpec, RackId, WorkerId
    from chivefall.scheduling._room import Room

__all__ = ["Reclaim", "choose_victims", "lost_work"]

RESTART_SECONDS = 5.0  # checkpoint, queueing and restore of a preempted job
LOST_FRACTION = 0.02  # part of the run time that a failed checkpoint loses on average
URGENT_WEIGHT = 10.0  # an urgent borrower is preempted only if that spares this much normal work


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


def lost_work(job: RunningJob, now: float) -> float:
    """Return the expected accelerator-seconds that preempting a job costs."""
    elapsed = max(0.0, now - job.started_at) if job.started_at > 0 else 0.0
    weight = URGENT_WEIGHT if job.spec.urgency is Urgency.URGENT else 1.0
    return weight * job.spec.total_accelerators * (RESTART_SECONDS + LOST_FRACTION * elapsed)


def choose_victims(
    spec: JobSpec, room: Room, candidates: Sequence[RunningJob], now: float
) -> Reclaim | None:
    """Return the cheapest jobs whose preemption makes room for a gang.

    Compares the least lost work, then the fewest jobs, over all groups that may
    hold the gang.

    Parameters
    ----------
    room : Room
        Room that is free or about to be free; not changed.
    candidates : sequence of RunningJob
        Jobs that may be preempted.
    """
    best: tuple[float, int, tuple[RunningJob, ...], RackId | None] | None = None
    for rack, names, jobs in _groups(spec, room, candidates):
        frees = {name: max(0, room.free[name]) for name in names}
        room.cost.examined += len(names) + len(jobs)
        for order in _orders(jobs, frees, now):
            victims = _fewest(spec, frees, order, now)
            if victims is None:
                break
            # Rounded, so that the number of jobs decides between almost equal losses.
            lost = float(round(sum(lost_work(job, now) for job in victims)))
            if best is None or (lost, len(victims)) < best[:2]:
                best = (lost, len(victims), victims, rack)
    if best is None:
        return None
    lost, _, victims, rack = best
    after = room.copy()
    for job in victims:
        after.give(job.placement)
    placement = after.place(spec, racks=None if rack is None else [rack])
    return None if placement is None else Reclaim(victims, placement, lost)


def _groups(
    spec: JobSpec, room: Room, candidates: Sequence[RunningJob]
) -> Iterable[tuple[RackId | None, list[WorkerId], list[RunningJob]]]:
    """Yield the groups that may hold the gang with the jobs that run there."""
    if spec.adjacency is Adjacency.DOMAIN:
        yield None, list(room.free), list(candidates)
        return
    per_worker = spec.adjacency is Adjacency.WORKER
    groups: dict[Hashable, dict[str, RunningJob]] = defaultdict(dict)
    for job in candidates:
        for member in job.placement:
            if member.worker in room.free:
                group = member.worker if per_worker else room.rack_of[member.worker]
                groups[group][job.job_id] = job
    for group, jobs in groups.items():
        if per_worker:
            yield room.rack_of[group], [group], list(jobs.values())
        else:
            yield group, room.racks[group], list(jobs.values())


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
