"""Choice of the workers for a gang."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from chivefall.model import Adjacency, GangMember, Placement, WorkerState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.model import JobSpec, WorkerId
    from chivefall.scheduling._cluster import WorkerView

__all__ = ["find_placement"]


def find_placement(
    spec: JobSpec, workers: Iterable[WorkerView], avoid: Iterable[WorkerId] = ()
) -> Placement | None:
    """Return a placement of the whole gang, or None if it does not fit.

    Takes the group with the least free room that still fits, so that groups
    with more adjacent room stay whole for larger gangs.

    Parameters
    ----------
    avoid : iterable of WorkerId
        Workers that are used only if the gang does not fit without them.
    """
    usable = [worker for worker in workers if worker.state is WorkerState.HEALTHY]
    avoided = set(avoid)
    preferred = [worker for worker in usable if worker.worker not in avoided]
    placement = _place(spec, preferred)
    if placement is None and len(preferred) < len(usable):
        placement = _place(spec, usable)
    return placement


def _place(spec: JobSpec, workers: list[WorkerView]) -> Placement | None:
    groups = _groups(spec.adjacency, workers)
    for group in sorted(groups, key=lambda items: sum(worker.free for worker in items)):
        members = _fill(spec, group)
        if members is not None:
            return Placement(members)
    return None


def _groups(adjacency: Adjacency, workers: list[WorkerView]) -> list[list[WorkerView]]:
    if adjacency is Adjacency.DOMAIN:
        return [workers]
    if adjacency is Adjacency.WORKER:
        return [[worker] for worker in workers]
    racks = defaultdict(list)
    for worker in workers:
        racks[worker.rack].append(worker)
    return list(racks.values())


def _fill(spec: JobSpec, group: list[WorkerView]) -> tuple[GangMember, ...] | None:
    members: list[GangMember] = []
    for worker in sorted(group, key=lambda item: item.free):
        free = worker.free
        while len(members) < spec.gang_size and free >= spec.accelerators:
            members.append(GangMember(worker.worker, worker.rack, spec.accelerators))
            if spec.accelerators == 0:
                continue
            free -= spec.accelerators
    return tuple(members) if len(members) == spec.gang_size else None
