"""Choice of workers for the tasks of one step."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.batch._model import Resources
from chivefall.model import WorkerId

if TYPE_CHECKING:
    from collections.abc import Sequence

    from chivefall.batch._fleet import Worker
    from chivefall.batch._model import StepSpec
    from chivefall.model import RackId

__all__ = ["FreeResources", "place_gang", "place_some", "rack_capacity"]


@dataclass
class FreeResources:
    """Free room for each worker while a round is planned.

    Attributes
    ----------
    by_worker : dict
        Room by worker; reduced as places are chosen.
    step_tasks : dict
        Tasks of the step that is placed, by worker.
    """

    by_worker: dict[WorkerId, Resources]
    step_tasks: dict[WorkerId, int]

    def slots(self, worker: Worker, step: StepSpec) -> int:
        """Return how many more tasks of the step a worker takes."""
        count = self.by_worker[worker.worker_id].count_fitting(step.resources)
        if step.max_per_worker:
            count = min(count, step.max_per_worker - self.step_tasks.get(worker.worker_id, 0))
        return max(0, count)


def by_rack(workers: Sequence[Worker]) -> dict[RackId, list[Worker]]:
    """Group workers by rack."""
    racks: dict[RackId, list[Worker]] = defaultdict(list)
    for worker in workers:
        racks[worker.entry.rack].append(worker)
    return racks


def rack_capacity(workers: Sequence[Worker], step: StepSpec) -> dict[RackId, int]:
    """Return how many tasks of a step each rack takes when it is empty."""
    totals: dict[RackId, int] = defaultdict(int)
    for worker in workers:
        count = worker.entry.capacity.count_fitting(step.resources)
        if step.max_per_worker:
            count = min(count, step.max_per_worker)
        totals[worker.entry.rack] += count
    return totals


def place_gang(
    workers: Sequence[Worker], step: StepSpec, count: int, free: FreeResources, *, near_only: bool
) -> list[Worker] | None:
    """Return a worker for each of ``count`` tasks that start together, or None.

    The tightest rack that takes all of them is chosen, the rack of the data
    first. Without such a rack the tasks spread over the racks with most room,
    unless ``near_only`` is set and that would make them slow.
    """
    racks = by_rack(workers)
    slots = {
        rack: sum(free.slots(worker, step) for worker in members) for rack, members in racks.items()
    }
    fitting = [rack for rack, number in slots.items() if number >= count]
    if step.data_rack is not None and (near_only or step.data_rack in fitting):
        fitting = [rack for rack in fitting if rack == step.data_rack]
    if fitting:
        best = min(fitting, key=lambda rack: (slots[rack], rack))
        return _fill(racks[best], step, count, free)
    slow = step.same_rack or step.data_rack is not None
    if (near_only and slow) or sum(slots.values()) < count:
        return None
    order = sorted(slots, key=lambda rack: (rack != step.data_rack, -slots[rack], rack))
    return _fill([worker for rack in order for worker in racks[rack]], step, count, free)


def place_some(
    workers: Sequence[Worker], step: StepSpec, count: int, free: FreeResources, *, near_only: bool
) -> list[Worker]:
    """Return workers for up to ``count`` tasks that run on their own."""
    near = [w for w in workers if step.data_rack is None or w.entry.rack == step.data_rack]
    chosen = _fill(near, step, count, free, whole=False)
    if len(chosen) < count and not near_only and step.data_rack is not None:
        far = [worker for worker in workers if worker.entry.rack != step.data_rack]
        chosen += _fill(far, step, count - len(chosen), free, whole=False)
    return chosen


def _fill(
    workers: Sequence[Worker],
    step: StepSpec,
    count: int,
    free: FreeResources,
    *,
    whole: bool = True,
) -> list[Worker]:
    """Put tasks on the workers with least room first and take the room."""
    chosen: list[Worker] = []
    open_workers: list[tuple[int, Worker]] = [
        (slots, worker) for worker in workers if (slots := free.slots(worker, step)) > 0
    ]
    if whole and sum(slots for slots, _ in open_workers) < count:
        return []
    # Whole workers stay free for tasks that need all accelerators of one.
    open_workers.sort(key=_fullest_first)
    for slots, worker in open_workers:
        taken = min(slots, count - len(chosen))
        if taken <= 0:
            break
        chosen += [worker] * taken
        take(free, worker, step, taken)
    return chosen


def take(free: FreeResources, worker: Worker, step: StepSpec, count: int) -> None:
    """Take the room of ``count`` tasks on a worker."""
    name = worker.worker_id
    free.by_worker[name] -= step.resources * count
    free.step_tasks[name] = free.step_tasks.get(name, 0) + count


def _fullest_first(item: tuple[int, Worker]) -> tuple[int, WorkerId]:
    return item[0], item[1].worker_id
