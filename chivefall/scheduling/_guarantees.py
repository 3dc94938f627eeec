"""Assignment of jobs to the guaranteed shapes of their accounts."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING

from chivefall.model import Adjacency, JobSpec, RackId, Urgency, WorkerId
from chivefall.scheduling._cluster import WorkerView
from chivefall.scheduling._free_capacity import FreeCapacity, SearchCost

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.model import AccountId, Guarantee, JobId, Placement
    from chivefall.scheduling._cluster import QueuedJob, RunningJob

__all__ = ["GuaranteeLedger", "count_unplaceable_accelerators"]

Rank = tuple[bool, int, bool, float]


class _AccountGuarantees:
    """The guaranteed shapes of one account and the jobs of that account assigned to them.

    A shape is a gang size, a number of accelerators per member and an adjacency.
    Each guaranteed gang is modelled as a virtual rack (or worker, or set of racks,
    depending on its adjacency), so that the placement search decides which jobs a
    shape covers.

    Attributes
    ----------
    accelerators : int
        Number of guaranteed accelerators.
    protected : set of JobId
        Jobs assigned to a guaranteed shape.
    displacements : int
        Number of queued jobs whose assignment displaced other jobs.
    """

    def __init__(self, guarantees: list[Guarantee], cost: SearchCost) -> None:
        self._cost = cost
        self.accelerators = sum(g.gangs * g.gang_size * g.accelerators for g in guarantees)
        self.protected: set[JobId] = set()
        self.displacements = 0
        self._gangs: list[tuple[JobSpec, list[WorkerId]]] = []
        self._workers: list[WorkerView] = []
        self._ranked_jobs: dict[JobId, tuple[Rank, JobSpec]] = {}
        self._refused_shapes: set[tuple[bool, int, int, Adjacency]] = set()
        for number, guarantee in enumerate(guarantees):
            for index in range(guarantee.gangs):
                self._add_gang(guarantee, f"{number}.{index}")
        self._capacity = FreeCapacity(self._workers, cost=self._cost)

    def _add_gang(self, shape: Guarantee, name: str) -> None:
        count, size = shape.gang_size, shape.accelerators
        if shape.adjacency is Adjacency.WORKER:
            count, size = 1, size * count
        names = [WorkerId(f"{name}.{member}") for member in range(count)]
        for worker in names:
            rack = worker if shape.adjacency is Adjacency.DOMAIN else name
            self._workers.append(WorkerView(worker, RackId(rack), size, size))
        spec = JobSpec(
            shape.account, "", None, shape.gang_size, shape.accelerators, shape.adjacency
        )
        self._gangs.append((spec, names))

    def add(self, jobs: Iterable[RunningJob]) -> None:
        """Add the running jobs of the account and assign them to its shapes."""
        for job in jobs:
            self._ranked_jobs[job.job_id] = (_rank(job.spec, False, job.started_at), job.spec)
        self._assign_jobs()

    def _assign_jobs(self) -> None:
        self._capacity = FreeCapacity(self._workers, cost=self._cost)
        self.protected = set()
        for job_id, (_, spec) in sorted(self._ranked_jobs.items(), key=lambda item: item[1][0]):
            self._cover(job_id, spec)

    def _cover(self, job_id: JobId, spec: JobSpec) -> bool:
        placement = self._capacity.find_placement(spec)
        if placement is None:
            return False
        self._capacity.allocate(placement)
        self.protected.add(job_id)
        return True

    def admit(self, job: QueuedJob) -> bool:
        """Assign a queued job to a shape if one covers it, and return whether it did.

        Urgent and larger jobs replace smaller running jobs of the account, which then
        count as borrowers.
        """
        spec = job.spec
        shape = (
            spec.urgency is Urgency.URGENT,
            spec.gang_size,
            spec.accelerators,
            spec.adjacency,
        )
        if shape in self._refused_shapes:
            return False
        rank = _rank(spec, True, job.submitted_at)
        if self._cover(job.job_id, spec):
            self._ranked_jobs[job.job_id] = (rank, spec)
            return True
        if any(self._ranked_jobs[other][0] > rank for other in self.protected):
            before = (self._capacity, self.protected)
            self._ranked_jobs[job.job_id] = (rank, spec)
            self._assign_jobs()
            if job.job_id in self.protected:
                self.displacements += 1
                return True
            del self._ranked_jobs[job.job_id]
            self._capacity, self.protected = before
        self._refused_shapes.add(shape)
        return False

    def unused_shapes(self) -> list[JobSpec]:
        """Return the parts of the shapes to which no job is assigned."""
        shapes = []
        for spec, names in self._gangs:
            size = sum(self._capacity.free[name] // spec.accelerators for name in names)
            if size > 0:
                shapes.append(replace(spec, gang_size=size))
        return shapes


def _rank(spec: JobSpec, queued: bool, since: float) -> Rank:
    """Return the sort key by which the jobs of an account are assigned to its shapes."""
    return (spec.urgency is not Urgency.URGENT, -spec.total_accelerators, queued, since)


class GuaranteeLedger:
    """The guaranteed shapes of all accounts and the jobs assigned to them."""

    def __init__(
        self,
        guarantees: Iterable[Guarantee],
        running: Iterable[RunningJob],
        cost: SearchCost | None = None,
    ) -> None:
        cost = cost or SearchCost()
        shapes: dict[AccountId, list[Guarantee]] = defaultdict(list)
        for guarantee in guarantees:
            shapes[guarantee.account].append(guarantee)
        self._accounts = {
            account: _AccountGuarantees(items, cost) for account, items in shapes.items()
        }
        jobs: dict[AccountId, list[RunningJob]] = defaultdict(list)
        for job in running:
            if job.spec.accelerators > 0 and not job.checkpointing:
                jobs[job.spec.account].append(job)
        for account, account_guarantees in self._accounts.items():
            account_guarantees.add(jobs[account])

    def admit(self, job: QueuedJob) -> bool:
        """Assign a queued job to its account's shapes if they cover it; return whether they do."""
        if job.spec.accelerators == 0:
            return False
        account_guarantees = self._accounts.get(job.spec.account)
        return account_guarantees is not None and account_guarantees.admit(job)

    @property
    def displacements(self) -> int:
        """Return the number of queued jobs whose assignment displaced other jobs."""
        return sum(
            account_guarantees.displacements for account_guarantees in self._accounts.values()
        )

    def is_protected(self, job: RunningJob) -> bool:
        """Return whether a running job is covered by the guarantee of its account."""
        account_guarantees = self._accounts.get(job.spec.account)
        return account_guarantees is not None and job.job_id in account_guarantees.protected

    def guaranteed_accelerators(self, account: AccountId) -> int:
        """Return the number of guaranteed accelerators of an account."""
        account_guarantees = self._accounts.get(account)
        return 0 if account_guarantees is None else account_guarantees.accelerators

    def unused_shapes(self) -> list[JobSpec]:
        """Return the unused parts of all guaranteed shapes, largest first."""
        shapes = [
            spec
            for account_guarantees in self._accounts.values()
            for spec in account_guarantees.unused_shapes()
        ]
        return sorted(shapes, key=lambda spec: -spec.total_accelerators)


def count_unplaceable_accelerators(
    shapes: Iterable[JobSpec], capacity: FreeCapacity, used: Placement | None = None
) -> int:
    """Return the total accelerators of the shapes that cannot be placed together.

    Parameters
    ----------
    capacity : FreeCapacity
        Changed during the call and restored afterwards, which costs less than a copy.
    used : Placement or None
        A placement to treat as used.
    """
    saved: dict[WorkerId, int] = {}
    missing = 0

    def allocate(placement: Placement) -> None:
        for member in placement:
            if member.worker in capacity.free:
                saved.setdefault(member.worker, capacity.free[member.worker])
        capacity.allocate(placement)

    if used is not None:
        allocate(used)
    for spec in shapes:
        placement = capacity.find_placement(spec)
        if placement is None:
            missing += spec.total_accelerators
        else:
            allocate(placement)
    capacity.restore(saved)
    return missing
