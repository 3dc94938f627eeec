"""The working state of one scheduling round."""

from __future__ import annotations

from collections import Counter
from functools import cached_property
from typing import TYPE_CHECKING

from chivefall.scheduling._cluster import Plan, RunningJob
from chivefall.scheduling._free_capacity import FreeCapacity, count_tasks
from chivefall.scheduling._guarantees import GuaranteeLedger, count_unplaceable_accelerators
from chivefall.scheduling._victim_index import VictimIndex

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from chivefall.model import AccountId, Adjacency, JobId, JobSpec, Placement, RackId
    from chivefall.scheduling._cluster import ClusterView, QueuedJob

__all__ = ["RoundState"]

MAX_RACKS_TRIED = 8  # racks compared for a guaranteed start; bounds the work of a round
MIN_WEIGHT_ACCELERATORS = (
    8  # accelerators that an account counts for at least when borrowing is shared
)


class RoundState:
    """Room, usage and decisions while one plan is made.

    Attributes
    ----------
    room : FreeCapacity
        Room that is free now and not held for another job.
    future : FreeCapacity
        The same with the room of jobs whose checkpoint is under way.
    placed : list of RunningJob
        Jobs that start in this round or for which a place is held.
    reclaims : int
        Jobs for which others were preempted.
    unreclaimable : set
        Shapes for which no victims were found, and the number of jobs displaced from their
        guarantee until then; without more of these, victims only get fewer.
    cannot_checkpoint : callable
        Whether jobs like a given one cannot be checkpointed in time.
    """

    def __init__(
        self,
        view: ClusterView,
        being_checkpointed: Collection[JobId],
        cannot_checkpoint: Callable[[JobSpec], bool],
        now: float,
    ) -> None:
        self.view = view
        self.now = now
        self.cannot_checkpoint = cannot_checkpoint
        self.tasks = count_tasks(view.running)
        self.free_capacity = FreeCapacity(view.workers, self.tasks)
        self.future_capacity = self.free_capacity.copy()
        self.staying = [job for job in view.running if job.job_id not in being_checkpointed]
        for job in view.running:
            if job.job_id in being_checkpointed:
                self.future_capacity.release(job.placement)
        self.ledger = GuaranteeLedger(view.guarantees, self.staying, self.free_capacity.search_cost)
        self.usage: Counter[AccountId] = Counter()
        for job in view.running:
            self.usage[job.spec.account] += job.spec.total_accelerators
        self.starts: list[tuple[JobId, Placement]] = []
        self.placed: list[RunningJob] = []
        self.preemptions: list[JobId] = []
        self.reclaim_count = 0
        self.unreclaimable_shapes: set[tuple[bool, int, int, Adjacency, int]] = set()
        self.moves: list[JobId] = []

    def plan(self, rejections: dict[JobId, str]) -> Plan:
        """Return the decisions made so far."""
        return Plan(tuple(self.starts), tuple(self.preemptions), tuple(self.moves), rejections)

    @property
    def examined(self) -> int:
        """Return the racks, workers and jobs that searches looked at."""
        return self.free_capacity.search_cost.examined

    def start(self, job: QueuedJob, placement: Placement) -> None:
        """Start a job at a place."""
        self.free_capacity.allocate(placement)
        self.future_capacity.allocate(placement)
        self.usage[job.spec.account] += job.spec.total_accelerators
        self.starts.append((job.job_id, placement))
        self._record_placed(job, placement)

    def hold(self, job: QueuedJob, placement: Placement) -> None:
        """Keep a place for a job until the jobs that leave it are gone."""
        self.free_capacity.withhold(placement)
        self.future_capacity.allocate(placement)
        self.usage[job.spec.account] += job.spec.total_accelerators
        self._record_placed(job, placement)

    def _record_placed(self, job: QueuedJob, placement: Placement) -> None:
        self.placed.append(
            RunningJob(job.job_id, job.spec, placement, self.now, False, job.checkpointed_seconds)
        )

    @property
    def occupants(self) -> list[RunningJob]:
        """Return the jobs whose end will make room, with those that were placed in this round."""
        return [*self.staying, *self.placed]

    def preempt(self, jobs: Iterable[RunningJob]) -> None:
        """Checkpoint jobs and count their room as about to be free.

        Jobs that cannot be checkpointed yet are asked in a later round.
        """
        self.reclaim_count += 1
        self.preemptions += [job.job_id for job in jobs if job.checkpointable]
        self._release(jobs)

    def move(self, jobs: Iterable[RunningJob]) -> None:
        """Checkpoint jobs so that they start elsewhere."""
        self.moves += [job.job_id for job in jobs]
        self._release(jobs)

    def started_at(self, job_id: JobId) -> float:
        """Return when a running job was started."""
        return next(job.started_at for job in self.view.running if job.job_id == job_id)

    @cached_property
    def victim_index(self) -> VictimIndex:
        """Return the jobs that may be preempted unless a guarantee protects them."""
        return VictimIndex((job for job in self.staying if job.spec.accelerators > 0), self.now)

    def _release(self, jobs: Iterable[RunningJob]) -> None:
        self.victim_index.remove(jobs)
        names = set()
        for job in jobs:
            self.future_capacity.release(job.placement)
            names.add(job.job_id)
        self.staying = [job for job in self.staying if job.job_id not in names]

    def within_quota(self, spec: JobSpec) -> bool:
        """Return whether an account may use that much more."""
        account = self.view.accounts.get(spec.account)
        if account is None:
            return True
        return self.usage[spec.account] + spec.total_accelerators <= account.max_accelerators

    def borrowed_share(self, account: AccountId) -> float:
        """Return what an account uses beyond its guarantee, by its weight."""
        guaranteed = self.ledger.guaranteed_accelerators(account)
        return (self.usage[account] - guaranteed) / max(MIN_WEIGHT_ACCELERATORS, guaranteed)

    def borrowers(self) -> list[RunningJob]:
        """Return the staying jobs that hold accelerators beyond their account's guarantee."""
        return [
            job
            for job in self.staying
            if job.spec.accelerators > 0 and not self.ledger.is_protected(job)
        ]

    def find_guaranteed_placement(self, job: QueuedJob) -> Placement | None:
        """Return the place that leaves most of the unused guaranteed shapes reclaimable.

        Borrowers can make room, so only protected jobs count as occupied.
        """
        placement = self.free_capacity.find_placement(job.spec, job.avoid)
        shapes = self.ledger.unused_shapes()
        if placement is None or not shapes:
            return placement
        allowed = count_unplaceable_accelerators(shapes, self.reclaimable_capacity)
        best, best_missing = placement, self._unplaceable_with(shapes, placement)
        for rack in self._other_racks(job.spec, placement):
            if best_missing <= allowed:
                break
            other = self.free_capacity.find_placement(job.spec, job.avoid, [rack])
            missing = best_missing if other is None else self._unplaceable_with(shapes, other)
            if missing < best_missing:
                best, best_missing = other, missing
        self.reclaimable_capacity.allocate(best)
        return best

    @cached_property
    def reclaimable_capacity(self) -> FreeCapacity:
        """Return the room that is free or that borrowers can be made to leave."""
        capacity = self.future_capacity.copy()
        for job in self.borrowers():
            if not self.cannot_checkpoint(job.spec):
                capacity.release(job.placement)
        return capacity

    def may_borrow(self, spec: JobSpec, placement: Placement) -> bool:
        """Return whether a borrower leaves the unused guaranteed shapes reclaimable."""
        if not self.cannot_checkpoint(spec):
            return True
        shapes = self.ledger.unused_shapes()
        return not shapes or self._unplaceable_with(
            shapes, placement
        ) <= count_unplaceable_accelerators(shapes, self.reclaimable_capacity)

    def _unplaceable_with(self, shapes: list[JobSpec], placement: Placement) -> int:
        return count_unplaceable_accelerators(shapes, self.reclaimable_capacity, placement)

    def _other_racks(self, spec: JobSpec, placement: Placement) -> list[RackId]:
        used = {member.rack for member in placement}
        racks = [
            rack
            for rack in self.free_capacity.racks
            if rack not in used and self.free_capacity.fits(spec, rack)
        ]
        return racks[:MAX_RACKS_TRIED]
