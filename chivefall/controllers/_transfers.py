"""Decides which jobs leave a failure domain, in which order and where to."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from chivefall.model import Adjacency, DomainId, JobId, JobSpec

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = ["DomainRoom", "Transferable", "choose_targets"]


@dataclass(frozen=True)
class DomainRoom:
    """What the leader of another failure domain told last.

    Attributes
    ----------
    free, block : int
        Free accelerators, and the most of them in one rack.
    queued : int
        Jobs that wait there.
    """

    domain: DomainId
    free: int
    block: int
    queued: int


@dataclass(frozen=True)
class Transferable:
    """A queued job that may go to another failure domain.

    Attributes
    ----------
    refused_by : set of DomainId
        Domains whose leaders said that it never fits there.
    must_leave : bool
        Whether it cannot run here, so that it goes even where it has to wait.
    reclaims_at : frozenset of DomainId
        Domains where its account can reclaim room for it, if it cannot here.
    """

    job_id: JobId
    spec: JobSpec
    refused_by: frozenset[DomainId] = frozenset()
    must_leave: bool = False
    reclaims_at: frozenset[DomainId] = frozenset()


def choose_targets(
    jobs: Iterable[Transferable], rooms: Sequence[DomainRoom]
) -> list[tuple[JobId, DomainId]]:
    """Return a target for each job that has one; each choice takes room from the next."""
    left = {room.domain: room for room in rooms}
    chosen = []
    for job in jobs:
        need = job.spec.total_accelerators
        candidates = [room for name, room in left.items() if name not in job.refused_by]
        starting = [room for room in candidates if _starts_now(job.spec, room)]
        reclaiming = [room for room in candidates if room.domain in job.reclaims_at]
        waiting = candidates if job.must_leave else []
        best = max(starting or reclaiming or waiting, key=lambda room: room.free, default=None)
        if best is None:
            continue
        chosen.append((job.job_id, best.domain))
        left[best.domain] = replace(best, free=best.free - need, block=best.block - need)
    return chosen


def _starts_now(spec: JobSpec, room: DomainRoom) -> bool:
    need = spec.total_accelerators
    adjacent = room.free if spec.adjacency is Adjacency.DOMAIN else room.block
    return room.queued == 0 and adjacent >= need
