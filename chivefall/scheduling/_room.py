"""Free accelerators by worker and rack, and the choice of places in them."""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.model import Adjacency, GangMember, Placement, WorkerState

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from chivefall.model import JobSpec, RackId, WorkerId
    from chivefall.scheduling._cluster import RunningJob, WorkerView

__all__ = ["Room", "SearchCost", "count_tasks"]


def count_tasks(running: Iterable[RunningJob]) -> Counter[WorkerId]:
    """Return the number of gang members on each worker."""
    return Counter(member.worker for job in running for member in job.placement)


@dataclass
class SearchCost:
    """Racks, workers and jobs that searches looked at; the unit of the cost benchmark."""

    examined: int = 0


class Room:
    """Accelerators that may be given to jobs.

    The figures of a rack are cached until room in that rack changes, so that a
    search looks at each rack once and at the workers of the chosen rack only.

    Attributes
    ----------
    free : dict
        Free accelerators of each usable worker.
    cost : SearchCost
        Cost of all searches in this room and its copies.
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
        self.tasks = Counter(tasks)
        self.probation: set[WorkerId] = set()
        self.cost = cost or SearchCost()
        self._cache: dict[RackId, dict[tuple[int, int], int]] = {}
        self._failed: set[tuple[int, int, Adjacency]] = set()
        for worker in workers:
            self._add(worker)

    def _add(self, worker: WorkerView) -> None:
        name = worker.worker
        if worker.state is WorkerState.PROBATION:
            # A worker on probation gets one job, so a busy one offers nothing.
            if self.tasks[name] or worker.free < worker.accelerators:
                return
            self.probation.add(name)
        elif worker.state is not WorkerState.HEALTHY:
            return
        self.free[name] = worker.free
        self.rack_of[name] = worker.rack
        self.racks.setdefault(worker.rack, []).append(name)

    def copy(self, names: Collection[WorkerId] | None = None) -> Room:
        """Return an independent copy, of some workers only if names are given."""
        other = Room((), cost=self.cost)
        other.free = dict(self.free)
        other.racks = self.racks
        if names is not None:
            other.free = {name: free for name, free in self.free.items() if name in names}
            other.racks = {}
            for name in other.free:
                other.racks.setdefault(self.rack_of[name], []).append(name)
        other.rack_of = self.rack_of
        other.tasks = Counter(self.tasks)
        other.probation = set(self.probation)
        return other

    def take(self, members: Iterable[GangMember]) -> None:
        """Remove a job's accelerators."""
        for member in members:
            name = member.worker
            if name not in self.free:
                continue
            self.tasks[name] += 1
            self.free[name] -= member.accelerators
            self._cache.pop(self.rack_of[name], None)
        for name in {member.worker for member in members} & self.probation:
            self.free[name] = -1

    def give(self, members: Iterable[GangMember]) -> None:
        """Add the accelerators that a job releases."""
        for member in members:
            if member.worker in self.free and member.worker not in self.probation:
                self.free[member.worker] += member.accelerators
                self._cache.pop(self.rack_of[member.worker], None)
        self._failed.clear()

    def hold(self, members: Iterable[GangMember]) -> None:
        """Remove as much of a future job's room as is free now."""
        for member in members:
            free = self.free.get(member.worker, 0)
            if free > 0:
                self.free[member.worker] = max(0, free - member.accelerators)
                self._cache.pop(self.rack_of[member.worker], None)

    def total(self) -> int:
        """Return all free accelerators."""
        return sum(free for free in self.free.values() if free > 0)

    def fits(self, spec: JobSpec, rack: RackId) -> bool:
        """Return whether a rack holds the whole gang."""
        if spec.accelerators == 0:
            return any(self.free[name] >= 0 for name in self.racks[rack])
        if spec.adjacency is Adjacency.WORKER:
            return self._tightest(rack, spec.total_accelerators) > 0
        return self._slots(rack, spec.accelerators) >= spec.gang_size

    def place(
        self,
        spec: JobSpec,
        avoid: Collection[WorkerId] = (),
        racks: Collection[RackId] | None = None,
    ) -> Placement | None:
        """Return a place for the whole gang, or None; takes nothing.

        Parameters
        ----------
        avoid : collection of WorkerId
            Workers that are used only if the gang does not fit without them.
        racks : collection of RackId or None
            The only racks to use; all if None.
        """
        shape = (spec.gang_size, spec.accelerators, spec.adjacency)
        if racks is None and shape in self._failed:
            return None
        avoided = self._avoided(spec, avoid)
        if avoided:
            placement = self._place_without(spec, avoided, racks)
            if placement is not None:
                return placement
        placement = self._place(spec, self.racks if racks is None else racks)
        if placement is None and racks is None:
            self._failed.add(shape)
        return placement

    def _avoided(self, spec: JobSpec, avoid: Collection[WorkerId]) -> list[WorkerId]:
        names = set(avoid)
        if spec.gang_size > 1:
            # One bad member costs the whole gang its work.
            names |= self.probation
        return [name for name in names if self.free.get(name, -1) >= 0]

    def _place_without(
        self, spec: JobSpec, names: list[WorkerId], racks: Collection[RackId] | None
    ) -> Placement | None:
        saved = {name: self.free[name] for name in names}
        self._set(dict.fromkeys(names, -1))
        placement = self._place(spec, self.racks if racks is None else racks)
        self._set(saved)
        return placement

    def _set(self, values: dict[WorkerId, int]) -> None:
        for name, free in values.items():
            self.free[name] = free
            self._cache.pop(self.rack_of[name], None)

    def _place(self, spec: JobSpec, racks: Collection[RackId]) -> Placement | None:
        if spec.accelerators == 0:
            return self._place_processors(spec, racks)
        self.cost.examined += len(racks)
        if spec.adjacency is Adjacency.DOMAIN:
            if sum(self._slots(rack, spec.accelerators) for rack in racks) < spec.gang_size:
                return None
            order = sorted(racks, key=self._rack_free)
            return self._fill(spec, [name for rack in order for name in self._by_free(rack)])
        fitting = [rack for rack in racks if self.fits(spec, rack)]
        if not fitting:
            return None
        if spec.adjacency is Adjacency.WORKER:
            need = spec.total_accelerators
            best = min(fitting, key=lambda r: (self._tightest(r, need), self._rack_free(r)))
            names = [name for name in self._by_free(best) if self.free[name] >= need]
            return self._fill(spec, names[:1])
        best = min(fitting, key=self._rack_free)
        return self._fill(spec, self._by_free(best))

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

    def _place_processors(self, spec: JobSpec, racks: Collection[RackId]) -> Placement | None:
        """Return the least loaded workers for work without accelerators."""
        usable = [name for rack in racks for name in self.racks[rack] if self.free[name] >= 0]
        self.cost.examined += len(usable)
        if not usable:
            return None
        first = min(usable, key=self._load)
        if spec.adjacency is Adjacency.WORKER:
            usable = [first]
        elif spec.adjacency is Adjacency.RACK:
            rack = self.rack_of[first]
            usable = [name for name in usable if self.rack_of[name] == rack]
        names = heapq.nsmallest(spec.gang_size, usable, key=self._load)
        chosen = [names[index % len(names)] for index in range(spec.gang_size)]
        return Placement(tuple(GangMember(name, self.rack_of[name], 0) for name in chosen))

    def _load(self, name: WorkerId) -> int:
        return self.tasks[name]

    def _by_free(self, rack: RackId) -> list[WorkerId]:
        self.cost.examined += len(self.racks[rack])
        return sorted(self.racks[rack], key=self.free.__getitem__)

    def _rack_free(self, rack: RackId) -> int:
        return self._cached(rack, (0, 0))

    def _slots(self, rack: RackId, accelerators: int) -> int:
        return self._cached(rack, (1, accelerators))

    def _tightest(self, rack: RackId, need: int) -> int:
        """Return the least free room of a worker that holds ``need``, or 0."""
        return self._cached(rack, (2, need))

    def _cached(self, rack: RackId, key: tuple[int, int]) -> int:
        figures = self._cache.setdefault(rack, {})
        if key not in figures:
            frees = [self.free[name] for name in self.racks[rack] if self.free[name] > 0]
            self.cost.examined += len(self.racks[rack])
            kind, size = key
            if kind == 0:
                figures[key] = sum(frees)
            elif kind == 1:
                figures[key] = sum(free // size for free in frees)
            else:
                figures[key] = min((free for free in frees if free >= size), default=0)
        return figures[key]
