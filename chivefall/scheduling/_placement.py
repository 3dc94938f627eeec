"""Placement of a gang on workers."""

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

    Prefers the worker or rack with the fewest free accelerators that still fits the
    gang (best fit), to keep larger adjacent blocks free for larger gangs.

    Parameters
    ----------
    avoid : iterable of WorkerId
        Workers to use only if the gang does not fit without them.
    """
    return FreeCapacity(workers).find_placement(spec, tuple(avoid))
