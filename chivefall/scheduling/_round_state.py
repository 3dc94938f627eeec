"""State of one scheduling round while its plan is made."""

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

MAX_RACKS_TRIED = 8  # for the placement of a guaranteed job; bounds the cost of a round
MIN_WEIGHT_ACCELERATORS = 8  # fair-share weight of accounts with a smaller guarantee


class RoundState:
    """Free capacity, usage and decisions of one scheduling round.

    Attributes
    ----------
    free_capacity : FreeCapacity
        Accelerators that are free now and not held for another job.
    future_capacity : FreeCapacity
        The same, plus the accelerators of jobs that are being checkpointed.
    staying : list of RunningJob
        Running jobs that are not being checkpointed.
    placed : list of RunningJob
        Queued jobs that start in this round or for which a placement is held.
    usage : Counter
        Accelerators of the running and placed jobs, by account.
    reclaim_count : int
        Number of queued jobs for which others were preempted.
    unreclaimable_shapes : set
        Job shapes for which no victims were found, each with the number of displacements
        in the guarantee ledger at that time. Only a displacement adds possible victims
        during a round, so the search is not repeated before the next one.
    cannot_checkpoint : callable
        Returns whether jobs of a specification cannot be checkpointed in time.
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
        self.task_counts = count_tasks(view.running)
        self.free_capacity = FreeCapacity(view.workers, self.task_counts)
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
        """Return the number of racks, workers and jobs examined by searches."""
        return self.free_capacity.search_cost.examined

    def start(self, job: QueuedJob, placement: Placement) -> None:
        """Start a job with a placement."""
        self.free_capacity.allocate(placement)
        self.future_capacity.allocate(placement)
        self.usage[job.spec.account] += job.spec.total_accelerators
        self.starts.append((job.job_id, placement))
        self._record_placed(job, placement)

    def hold(self, job: QueuedJob, placement: Placement) -> None:
        """Hold a placement for a job until jobs that are being checkpointed have released it."""
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
        """Return the jobs whose end will release accelerators, including those placed now."""
        return [*self.staying, *self.placed]

    def preempt(self, jobs: Iterable[RunningJob]) -> None:
        """Preempt jobs and count their accelerators as about to be released.

        Jobs that cannot be checkpointed yet are left out of the plan; a later round
        preempts them.
        """
        self.reclaim_count += 1
        self.preemptions += [job.job_id for job in jobs if job.checkpointable]
        self._release(jobs)

    def move(self, jobs: Iterable[RunningJob]) -> None:
        """Checkpoint jobs so that they can be started on other workers."""
        self.moves += [job.job_id for job in jobs]
        self._release(jobs)

    def started_at(self, job_id: JobId) -> float:
        """Return the start time of a running job in seconds since the Unix epoch."""
        return next(job.started_at for job in self.view.running if job.job_id == job_id)

    @cached_property
    def victim_index(self) -> VictimIndex:
        """Return the index of the jobs that may be preempted unless protected by a guarantee."""
        return VictimIndex((job for job in self.staying if job.spec.accelerators > 0), self.now)

    def _release(self, jobs: Iterable[RunningJob]) -> None:
        self.victim_index.remove(jobs)
        names = set()
        for job in jobs:
            self.future_capacity.release(job.placement)
            names.add(job.job_id)
        self.staying = [job for job in self.staying if job.job_id not in names]

    def within_quota(self, spec: JobSpec) -> bool:
        """Return whether the account's usage with one more job stays within its quota."""
        account = self.view.accounts.get(spec.account)
        if account is None:
            return True
        return self.usage[spec.account] + spec.total_accelerators <= account.max_accelerators

    def borrowed_share(self, account: AccountId) -> float:
        """Return the accelerators used beyond an account's guarantee, divided by its weight.

        The weight is the number of guaranteed accelerators, but at least
        ``MIN_WEIGHT_ACCELERATORS``.
        """
        guaranteed = self.ledger.guaranteed_accelerators(account)
        return (self.usage[account] - guaranteed) / max(MIN_WEIGHT_ACCELERATORS, guaranteed)

    def borrowers(self) -> list[RunningJob]:
        """Return the staying jobs that use accelerators beyond their account's guarantee."""
        return [
            job
            for job in self.staying
            if job.spec.accelerators > 0 and not self.ledger.is_protected(job)
        ]

    def find_guaranteed_placement(self, job: QueuedJob) -> Placement | None:
        """Return the placement that keeps the most unused guaranteed shapes reclaimable.

        Borrowers that can be checkpointed do not block a shape. The placement is then
        treated as used by later checks for reclaimable shapes in this round.
        """
        placement = self.free_capacity.find_placement(job.spec, job.avoid)
        shapes = self.ledger.unused_shapes()
        if placement is None or not shapes:
            return placement
        unavoidable = count_unplaceable_accelerators(shapes, self.reclaimable_capacity)
        best, best_missing = placement, self._unplaceable_with(shapes, placement)
        for rack in self._other_racks(job.spec, placement):
            if best_missing <= unavoidable:
                break
            other = self.free_capacity.find_placement(job.spec, job.avoid, [rack])
            missing = best_missing if other is None else self._unplaceable_with(shapes, other)
            if missing < best_missing:
                best, best_missing = other, missing
        self.reclaimable_capacity.allocate(best)
        return best

    @cached_property
    def reclaimable_capacity(self) -> FreeCapacity:
        """Return the accelerators that are free or can be reclaimed from borrowers."""
        capacity = self.future_capacity.copy()
        for job in self.borrowers():
            if not self.cannot_checkpoint(job.spec):
                capacity.release(job.placement)
        return capacity

    def may_borrow(self, spec: JobSpec, placement: Placement) -> bool:
        """Return whether the unused guaranteed shapes stay reclaimable if a job borrows."""
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
