"""Selection of workers for the tasks of one step."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.batch._fleet import Worker
from chivefall.batch._model import Resources
from chivefall.model import RackId, WorkerId

if TYPE_CHECKING:
    from chivefall.batch._model import StepSpec

__all__ = ["FreeResources", "WorkerSet", "place_gang", "place_independent", "rack_capacity"]


@dataclass
class FreeResources:
    """Free resources of the workers while a round is planned.

    Attributes
    ----------
    by_worker : dict
        Free resources by worker; reduced by each placement.
    step_tasks : dict
        Number of tasks of the current step by worker, for ``max_per_worker``.
    """

    by_worker: dict[WorkerId, Resources]
    step_tasks: dict[WorkerId, int]

    def slots(self, worker: Worker, step: StepSpec) -> int:
        """Return how many more tasks of the step fit on a worker."""
        count = self.by_worker[worker.worker_id].count_fitting(step.resources)
        if step.max_per_worker:
            count = min(count, step.max_per_worker - self.step_tasks.get(worker.worker_id, 0))
        return max(0, count)


def group_by_rack(workers: Sequence[Worker]) -> dict[RackId, list[Worker]]:
    """Group workers by rack."""
    racks: dict[RackId, list[Worker]] = defaultdict(list)
    for worker in workers:
        racks[worker.entry.rack].append(worker)
    return racks


@dataclass(frozen=True)
class WorkerSet:
    """Workers on which a group may run, and all their racks."""

    workers: Sequence[Worker]
    racks: tuple[RackId, ...]


def rack_capacity(workers: Sequence[Worker], step: StepSpec) -> dict[RackId, int]:
    """Return how many tasks of a step fit on each rack when nothing else runs there."""
    totals: dict[RackId, int] = defaultdict(int)
    for worker in workers:
        count = worker.entry.capacity.count_fitting(step.resources)
        if step.max_per_worker:
            count = min(count, step.max_per_worker)
        totals[worker.entry.rack] += count
    return totals


def place_gang(
    workers: Sequence[Worker], step: StepSpec, count: int, free: FreeResources, *, local_only: bool
) -> list[Worker] | None:
    """Return a worker for each of ``count`` tasks that start together, or None.

    Uses the rack of the data if all tasks fit there, else the rack with the fewest free
    slots that suffices, else several racks, those with the most free slots first. With
    ``local_only`` returns None instead of a placement that makes the tasks slow.
    """
    racks = group_by_rack(workers)
    slots = {
        rack: sum(free.slots(worker, step) for worker in members) for rack, members in racks.items()
    }
    fitting = [rack for rack, number in slots.items() if number >= count]
    if step.data_rack is not None and (local_only or step.data_rack in fitting):
        fitting = [rack for rack in fitting if rack == step.data_rack]
    if fitting:
        best = min(fitting, key=lambda rack: (slots[rack], rack))
        return _fill(racks[best], step, count, free)
    slow = step.same_rack or step.data_rack is not None
    if (local_only and slow) or sum(slots.values()) < count:
        return None
    order = sorted(slots, key=lambda rack: (rack != step.data_rack, -slots[rack], rack))
    return _fill([worker for rack in order for worker in racks[rack]], step, count, free)


def place_independent(
    workers: Sequence[Worker], step: StepSpec, count: int, free: FreeResources, *, local_only: bool
) -> list[Worker]:
    """Return workers for up to ``count`` tasks that run independently of each other.

    Workers on the rack of the data come first; other racks are used unless ``local_only``
    is set.
    """
    local = [w for w in workers if step.data_rack is None or w.entry.rack == step.data_rack]
    chosen = _fill(local, step, count, free, all_or_none=False)
    if len(chosen) < count and not local_only and step.data_rack is not None:
        remote = [worker for worker in workers if worker.entry.rack != step.data_rack]
        chosen += _fill(remote, step, count - len(chosen), free, all_or_none=False)
    return chosen


def _fill(
    workers: Sequence[Worker],
    step: StepSpec,
    count: int,
    free: FreeResources,
    *,
    all_or_none: bool = True,
) -> list[Worker]:
    """Place tasks on the fullest workers first and allocate their resources."""
    chosen: list[Worker] = []
    available: list[tuple[int, Worker]] = [
        (slots, worker) for worker in workers if (slots := free.slots(worker, step)) > 0
    ]
    if all_or_none and sum(slots for slots, _ in available) < count:
        return []
    # Keeps workers empty for tasks that need all accelerators of a worker.
    available.sort(key=_fullest_first)
    for slots, worker in available:
        placed = min(slots, count - len(chosen))
        if placed <= 0:
            break
        chosen += [worker] * placed
        allocate(free, worker, step, placed)
    return chosen


def allocate(free: FreeResources, worker: Worker, step: StepSpec, count: int) -> None:
    """Allocate the resources of ``count`` tasks of the step on a worker."""
    name = worker.worker_id
    free.by_worker[name] -= step.resources * count
    free.step_tasks[name] = free.step_tasks.get(name, 0) + count


def _fullest_first(item: tuple[int, Worker]) -> tuple[int, WorkerId]:
    return item[0], item[1].worker_id
