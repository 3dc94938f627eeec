"""Free accelerators by worker and rack, and best-fit placement of gangs."""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.model import Adjacency, GangMember, Placement, WorkerState

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator

    from chivefall.model import JobSpec, RackId, WorkerId
    from chivefall.scheduling._cluster import RunningJob, WorkerView

__all__ = ["FreeCapacity", "SearchCost", "count_tasks"]

MAX_RACKS_COMPARED = 16  # racks searched for the best-fitting worker of a single-worker gang


def count_tasks(running: Iterable[RunningJob]) -> Counter[WorkerId]:
    """Return the number of gang members on each worker."""
    return Counter(member.worker for job in running for member in job.placement)


@dataclass
class SearchCost:
    """Number of racks, workers and jobs examined by searches, for the benchmark of round costs."""

    examined: int = 0


class FreeCapacity:
    """Free accelerators of the workers that can run jobs.

    Racks are indexed by their number of free accelerators, so that a search starts with
    the fullest rack that may fit the gang and stops at the first one that does. Values
    computed for a rack are cached until its free accelerators change.

    Attributes
    ----------
    free : dict
        Free accelerators of each usable worker; negative if no job may be placed on it.
    racks : dict
        Usable workers with accelerators, by rack.
    rack_of : dict
        Rack of each usable worker.
    task_counts : Counter
        Number of gang members on each worker.
    probation : set of WorkerId
        Usable workers on probation.
    search_cost : SearchCost
        Cost of all searches in this object and its copies.
    """

    def __init__(
        self,
        workers: Iterable[WorkerView],
        tasks: Counter[WorkerId] | None = None,
        cost: SearchCost | None = None,
    ) -> None:
        self.free: dict[WorkerId, int] = {}
        self.racks: dict[RackId, list[WorkerId]] = {}
        self.rack_of: dict[WorkerId, RackId] = {}
        self.task_counts = Counter(tasks)
        self.probation: set[WorkerId] = set()
        self.search_cost = cost or SearchCost()
        self._cache: dict[RackId, dict[tuple[int, int], int]] = {}
        self._racks_by_free: dict[int, dict[RackId, None]] = {}
        self._free_of_rack: dict[RackId, int] = {}
        self._changed_racks: dict[RackId, None] = {}
        self._unplaceable_shapes: set[tuple[int, int, Adjacency]] = set()
        for worker in workers:
            self._add(worker)
        self._changed_racks = dict.fromkeys(self.racks)

    def _add(self, worker: WorkerView) -> None:
        name = worker.worker
        if worker.state is WorkerState.PROBATION:
            # A worker on probation runs only one job at a time.
            if self.task_counts[name] or worker.free < worker.accelerators:
                return
            self.probation.add(name)
        elif worker.state is not WorkerState.HEALTHY:
            return
        self.free[name] = worker.free
        self.rack_of[name] = worker.rack
        if worker.accelerators > 0:
            self.racks.setdefault(worker.rack, []).append(name)

    def copy(self, names: Collection[WorkerId] | None = None) -> FreeCapacity:
        """Return an independent copy, restricted to the workers ``names`` if given."""
        other = FreeCapacity((), cost=self.search_cost)
        other.free = dict(self.free)
        other.racks = self.racks
        if names is not None:
            other.free = {name: free for name, free in self.free.items() if name in names}
            other.racks = {}
            equipped = {name for items in self.racks.values() for name in items}
            for name in other.free:
                if name in equipped:
                    other.racks.setdefault(self.rack_of[name], []).append(name)
        other.rack_of = self.rack_of
        other.task_counts = self.task_counts.copy()
        other.probation = set(self.probation)
        other._changed_racks = dict.fromkeys(other.racks)
        if names is None:
            self._update_rack_order()
            other._racks_by_free = {
                free: dict(racks) for free, racks in self._racks_by_free.items()
            }
            other._free_of_rack = dict(self._free_of_rack)
            other._changed_racks = {}
        return other

    def allocate(self, members: Iterable[GangMember]) -> None:
        """Mark the accelerators of a job as used."""
        for member in members:
            name = member.worker
            if name not in self.free:
                continue
            self.task_counts[name] += 1
            self.free[name] -= member.accelerators
            self._invalidate(name)
        for name in {member.worker for member in members} & self.probation:
            self.free[name] = -1

    def release(self, members: Iterable[GangMember]) -> None:
        """Mark the accelerators of a job as free."""
        for member in members:
            if member.worker in self.free and member.worker not in self.probation:
                self.free[member.worker] += member.accelerators
                self._invalidate(member.worker)
        self._unplaceable_shapes.clear()

    def restore(self, free_by_worker: dict[WorkerId, int]) -> None:
        """Reset the free accelerators of workers to earlier values."""
        self._set_free(free_by_worker)
        self._unplaceable_shapes.clear()

    def withhold(self, members: Iterable[GangMember]) -> None:
        """Mark those accelerators of a placement as used that are free now."""
        for member in members:
            free = self.free.get(member.worker, 0)
            if free > 0:
                self.free[member.worker] = max(0, free - member.accelerators)
                self._invalidate(member.worker)

    def total_free(self) -> int:
        """Return the number of free accelerators of all workers."""
        return sum(free for free in self.free.values() if free > 0)

    def free_in_rack(self, rack: RackId) -> int:
        """Return the number of free accelerators of a rack."""
        return self._cached(rack, (0, 0))

    def fits(self, spec: JobSpec, rack: RackId) -> bool:
        """Return whether the whole gang fits the rack, or one of its workers if required."""
        if spec.adjacency is Adjacency.WORKER:
            return self._best_fit(rack, spec.total_accelerators) > 0
        return self._slots(rack, spec.accelerators) >= spec.gang_size

    def find_placement(
        self,
        spec: JobSpec,
        avoid: Collection[WorkerId] = (),
        racks: Collection[RackId] | None = None,
    ) -> Placement | None:
        """Return a placement of the whole gang, or None; does not allocate it.

        Parameters
        ----------
        avoid : collection of WorkerId
            Workers to use only if the gang does not fit without them.
        racks : collection of RackId or None
            Racks to search; all if None.
        """
        shape = (spec.gang_size, spec.accelerators, spec.adjacency)
        if racks is None and shape in self._unplaceable_shapes:
            return None
        avoided = self._workers_to_avoid(spec, avoid)
        if avoided:
            placement = self._place_excluding(spec, avoided, racks)
            if placement is not None:
                return placement
        placement = self._place(spec, racks)
        if placement is None and racks is None:
            self._unplaceable_shapes.add(shape)
        return placement

    def _workers_to_avoid(self, spec: JobSpec, avoid: Collection[WorkerId]) -> list[WorkerId]:
        names = set(avoid)
        if spec.gang_size > 1:
            # The failure of one member ends the whole gang, so gangs avoid workers on probation.
            names |= self.probation
        return [name for name in names if self.free.get(name, -1) >= 0]

    def _place_excluding(
        self, spec: JobSpec, names: list[WorkerId], racks: Collection[RackId] | None
    ) -> Placement | None:
        saved = {name: self.free[name] for name in names}
        self._set_free(dict.fromkeys(names, -1))
        placement = self._place(spec, racks)
        self._set_free(saved)
        return placement

    def _set_free(self, values: dict[WorkerId, int]) -> None:
        for name, free in values.items():
            self.free[name] = free
            self._invalidate(name)

    def _place(self, spec: JobSpec, racks: Collection[RackId] | None) -> Placement | None:
        if spec.accelerators == 0:
            return self._place_without_accelerators(spec)
        if spec.adjacency is Adjacency.DOMAIN:
            return self._place_in_domain(spec)
        best, best_free = None, 0
        for compared, rack in enumerate(self._racks_by_least_free(spec, racks)):
            if best is not None and compared >= MAX_RACKS_COMPARED:
                break
            if not self.fits(spec, rack):
                continue
            if spec.adjacency is Adjacency.RACK:
                return self._fill(spec, self._workers_by_free(rack))
            free = self._best_fit(rack, spec.total_accelerators)
            if best is None or free < best_free:
                best, best_free = rack, free
            if free == spec.total_accelerators:
                break
        if best is None:
            return None
        names = [name for name in self._workers_by_free(best) if self.free[name] == best_free]
        return self._fill(spec, names[:1])

    def _place_in_domain(self, spec: JobSpec) -> Placement | None:
        names: list[WorkerId] = []
        slots = 0
        for rack in self._racks_by_least_free(spec, None):
            slots += self._slots(rack, spec.accelerators)
            names += self._workers_by_free(rack)
            if slots >= spec.gang_size:
                return self._fill(spec, names)
        return None

    def _racks_by_least_free(
        self, spec: JobSpec, racks: Collection[RackId] | None
    ) -> Iterator[RackId]:
        """Yield the racks that may fit the gang, those with the fewest free accelerators first."""
        need = spec.accelerators if spec.adjacency is Adjacency.DOMAIN else spec.total_accelerators
        self._update_rack_order()
        for free in sorted(free for free in self._racks_by_free if free >= need):
            for rack in list(self._racks_by_free[free]):
                if racks is None or rack in racks:
                    self.search_cost.examined += 1
                    yield rack

    def _invalidate(self, name: WorkerId) -> None:
        rack = self.rack_of[name]
        self._cache.pop(rack, None)
        if rack in self.racks:
            self._changed_racks[rack] = None

    def _update_rack_order(self) -> None:
        for rack in self._changed_racks:
            free = self.free_in_rack(rack)
            previous = self._free_of_rack.get(rack)
            if previous != free:
                if previous is not None:
                    del self._racks_by_free[previous][rack]
                self._racks_by_free.setdefault(free, {})[rack] = None
                self._free_of_rack[rack] = free
        self._changed_racks = {}

    def _fill(self, spec: JobSpec, names: Iterable[WorkerId]) -> Placement | None:
        members: list[GangMember] = []
        for name in names:
            count = min(self.free[name] // spec.accelerators, spec.gang_size - len(members))
            if count > 0:
                member = GangMember(name, self.rack_of[name], spec.accelerators)
                members.extend([member] * count)
            if len(members) == spec.gang_size:
                return Placement(tuple(members))
        return None

    def _place_without_accelerators(self, spec: JobSpec) -> Placement | None:
        """Return a placement on the workers with the fewest tasks."""
        usable = [name for name, free in self.free.items() if free >= 0]
        self.search_cost.examined += len(usable)
        if not usable:
            return None
        first = min(usable, key=self._task_count)
        if spec.adjacency is Adjacency.WORKER:
            usable = [first]
        elif spec.adjacency is Adjacency.RACK:
            rack = self.rack_of[first]
            usable = [name for name in usable if self.rack_of[name] == rack]
        names = heapq.nsmallest(spec.gang_size, usable, key=self._task_count)
        chosen = [names[index % len(names)] for index in range(spec.gang_size)]
        return Placement(tuple(GangMember(name, self.rack_of[name], 0) for name in chosen))

    def _task_count(self, name: WorkerId) -> int:
        return self.task_counts[name]

    def _workers_by_free(self, rack: RackId) -> list[WorkerId]:
        self.search_cost.examined += len(self.racks[rack])
        return sorted(self.racks[rack], key=self.free.__getitem__)

    def _slots(self, rack: RackId, accelerators: int) -> int:
        return self._cached(rack, (1, accelerators))

    def _best_fit(self, rack: RackId, need: int) -> int:
        """Return the fewest free accelerators of a worker with at least ``need``, or 0 if none."""
        return self._cached(rack, (2, need))

    def _cached(self, rack: RackId, key: tuple[int, int]) -> int:
        """Return a value of a rack, computed if it is not in the cache.

        ``key`` is (0, 0) for the free accelerators, (1, n) for the number of gang members
        with n accelerators that fit, and (2, n) for the best fit of n accelerators.
        """
        values = self._cache.setdefault(rack, {})
        if key not in values:
            free_counts = [self.free[name] for name in self.racks[rack] if self.free[name] > 0]
            self.search_cost.examined += len(self.racks[rack])
            kind, size = key
            if kind == 0:
                values[key] = sum(free_counts)
            elif kind == 1:
                values[key] = sum(free // size for free in free_counts)
            else:
                values[key] = min((free for free in free_counts if free >= size), default=0)
        return values[key]
