"""Reservation of a placement and start time for a large job at the head of the queue."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from chivefall.model import Adjacency, JobId, Placement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.model import JobSpec, RackId, WorkerId
    from chivefall.scheduling._cluster import QueuedJob, RunningJob
    from chivefall.scheduling._estimator import RunTimeEstimator
    from chivefall.scheduling._free_capacity import FreeCapacity

__all__ = ["Reservation", "make_reservation", "renew_reservation", "unreserved_capacity"]

CHECKPOINT_SECONDS = 0.5  # until the accelerators of a checkpointed job are released
BACKFILL_WAIT_FACTOR = 1.5  # backfill ends after this multiple of the first estimated wait
RACK_CHANGE_WAIT_RATIO = 0.5  # another rack must at least halve the remaining wait


@dataclass(frozen=True)
class Reservation:
    """A placement that a queued job will get at an estimated time.

    Attributes
    ----------
    starts_at : float
        Estimated start in seconds since the Unix epoch.
    backfill_until : float
        Time after which no job is backfilled into the placement, in seconds since the
        Unix epoch. It bounds the delay from wrong run times: after it, the reserved job waits
        only for jobs that already run there.
    """

    job_id: JobId
    placement: Placement
    starts_at: float
    backfill_until: float

    def reserved_workers(self, spec: JobSpec, capacity: FreeCapacity) -> set[WorkerId]:
        """Return the reserved worker, or all workers of the reserved racks."""
        if spec.adjacency is Adjacency.WORKER:
            return {member.worker for member in self.placement}
        racks = {member.rack for member in self.placement}
        return {name for rack in racks for name in capacity.racks.get(rack, ())}

    def with_placement(self, placement: Placement, now: float) -> Reservation:
        """Return the reservation for a placement whose jobs are being checkpointed."""
        return replace(self, placement=placement, starts_at=now + CHECKPOINT_SECONDS)


def make_reservation(
    job: QueuedJob,
    capacity: FreeCapacity,
    running: Iterable[RunningJob],
    estimator: RunTimeEstimator,
    now: float,
) -> Reservation | None:
    """Return a reservation for the earliest time at which a job fits, or None if it never does.

    Parameters
    ----------
    capacity : FreeCapacity
        Accelerators that are free, or whose jobs are being checkpointed; not changed.
    running : iterable of RunningJob
        Jobs that use the other accelerators.
    """
    after = capacity.copy()
    spec = job.spec
    placement = after.find_placement(spec)
    if placement is not None:
        at = now + CHECKPOINT_SECONDS
        return Reservation(job.job_id, placement, at, at)
    ends = [
        (estimator.remaining_seconds(other, now), other)
        for other in running
        if other.spec.accelerators
    ]
    for seconds, other in sorted(ends, key=lambda item: item[0]):
        touched = {member.rack for member in other.placement} & after.racks.keys()
        after.release(other.placement)
        if not touched or not _may_fit(spec, after, touched):
            continue
        placement = after.find_placement(spec)
        if placement is not None:
            backfill_until = now + BACKFILL_WAIT_FACTOR * seconds
            return Reservation(job.job_id, placement, now + seconds, backfill_until)
    return None


def _may_fit(spec: JobSpec, capacity: FreeCapacity, racks: Iterable[RackId]) -> bool:
    if spec.adjacency is Adjacency.DOMAIN:
        return True
    return any(capacity.fits(spec, rack) for rack in racks)


def renew_reservation(
    old: Reservation,
    job: QueuedJob,
    capacity: FreeCapacity,
    running: list[RunningJob],
    estimator: RunTimeEstimator,
    now: float,
) -> Reservation | None:
    """Return a reservation with new estimates.

    The reserved worker or rack changes only if this at least halves the remaining wait.
    The end of the backfill is kept.
    """
    fresh = make_reservation(job, capacity, running, estimator, now)
    if job.spec.adjacency is not Adjacency.DOMAIN:
        kept = make_reservation(
            job, capacity.copy(old.reserved_workers(job.spec, capacity)), running, estimator, now
        )
        if kept is not None and (
            fresh is None or fresh.starts_at - now > RACK_CHANGE_WAIT_RATIO * (kept.starts_at - now)
        ):
            fresh = kept
    return None if fresh is None else replace(fresh, backfill_until=old.backfill_until)


def unreserved_capacity(
    reservation: Reservation, spec: JobSpec, capacity: FreeCapacity, now: float
) -> FreeCapacity:
    """Return the free capacity for jobs that may run beyond the reserved start time.

    After the end of the backfill, this excludes the whole reserved worker or racks, not
    only the reserved placement.
    """
    free = capacity.copy()
    free.withhold(reservation.placement)
    if now > reservation.backfill_until:
        for name in reservation.reserved_workers(spec, capacity):
            free.free[name] = min(0, free.free.get(name, 0))
    return free
