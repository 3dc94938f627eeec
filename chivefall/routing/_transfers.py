"""Choice of the failure domains that queued jobs move to."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from chivefall.model import DomainId, JobId, JobSpec

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from chivefall.routing._domains import DomainOffer

__all__ = ["Transferable", "choose_targets"]


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
    jobs: Iterable[Transferable], offers: Sequence[DomainOffer]
) -> list[tuple[JobId, DomainId]]:
    """Return a target for each job that has one; each choice takes room from the next."""
    left = {offer.domain: offer for offer in offers}
    chosen = []
    for job in jobs:
        need = job.spec.total_accelerators
        candidates = [offer for name, offer in left.items() if name not in job.refused_by]
        starting = [offer for offer in candidates if offer.starts(job.spec)]
        reclaiming = [offer for offer in candidates if offer.domain in job.reclaims_at]
        waiting = candidates if job.must_leave else []
        best = max(starting or reclaiming or waiting, key=lambda offer: offer.free, default=None)
        if best is None:
            continue
        chosen.append((job.job_id, best.domain))
        left[best.domain] = replace(best, free=best.free - need, block=best.block - need)
    return chosen
