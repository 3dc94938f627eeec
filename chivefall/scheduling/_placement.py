"""Choice of the workers for a gang."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.scheduling._free_capacity import FreeCapacity

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.model import JobSpec, Placement, WorkerId
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
    return FreeCapacity(workers).find_placement(spec, tuple(avoid))
