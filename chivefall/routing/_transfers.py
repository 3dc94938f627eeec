"""Choice of target failure domains for the transfer of queued jobs."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from chivefall.model import DomainId, JobId, JobSpec

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from chivefall.routing._domains import DomainCandidate

__all__ = ["TransferableJob", "choose_transfer_targets"]


@dataclass(frozen=True)
class TransferableJob:
    """A queued job that may be transferred to another failure domain.

    Attributes
    ----------
    refused_by : frozenset of DomainId
        Domains whose leaders have refused the job because it can never run there.
    must_leave : bool
        Whether the job cannot run in this domain; it is then transferred even if it has
        to wait at the target.
    reclaim_domains : frozenset of DomainId
        Domains where the account can reclaim accelerators for the job; empty if it can
        do so in this domain.
    """

    job_id: JobId
    spec: JobSpec
    refused_by: frozenset[DomainId] = frozenset()
    must_leave: bool = False
    reclaim_domains: frozenset[DomainId] = frozenset()


def choose_transfer_targets(
    jobs: Iterable[TransferableJob], candidates: Sequence[DomainCandidate]
) -> list[tuple[JobId, DomainId]]:
    """Return the jobs to transfer and their targets.

    Accelerators that one job will use at its target are not counted again for the next.
    """
    available = {candidate.domain: candidate for candidate in candidates}
    chosen = []
    for job in jobs:
        need = job.spec.total_accelerators
        eligible = [item for name, item in available.items() if name not in job.refused_by]
        starting = [item for item in eligible if item.can_start_now(job.spec)]
        reclaiming = [item for item in eligible if item.domain in job.reclaim_domains]
        waiting = eligible if job.must_leave else []
        best = max(starting or reclaiming or waiting, key=lambda item: item.free, default=None)
        if best is None:
            continue
        chosen.append((job.job_id, best.domain))
        available[best.domain] = replace(
            best, free=best.free - need, largest_block=best.largest_block - need
        )
    return chosen
