"""Choice of the failure domain for a submitted job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.model import Adjacency, DomainId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.model import Guarantee, JobSpec

__all__ = ["DomainCandidate", "choose_domain", "guarantees_cover"]


@dataclass(frozen=True)
class DomainCandidate:
    """A failure domain that may run a job, as reported by its leader.

    Attributes
    ----------
    free, largest_block : int
        Free accelerators of the domain, and of the rack that has the most.
    queued : int
        Number of queued jobs.
    guaranteed : bool
        Whether the domain's share of the guarantees covers the job.
    is_local : bool
        Whether it is the failure domain of this instance.
    """

    domain: DomainId
    free: int = 0
    largest_block: int = 0
    queued: int = 0
    guaranteed: bool = False
    is_local: bool = False

    def can_start_now(self, spec: JobSpec) -> bool:
        """Return whether a job can start in this domain without waiting."""
        adjacent = self.free if spec.adjacency is Adjacency.DOMAIN else self.largest_block
        return self.queued == 0 and adjacent >= spec.total_accelerators


def choose_domain(spec: JobSpec, candidates: Iterable[DomainCandidate]) -> DomainId | None:
    """Return the failure domain to send a job to, or None without candidates.

    The order of preference is: a domain where the job can start now, a domain where
    its account can reclaim the accelerators, the local domain, the domain with the
    shortest queue. The local domain saves a message between domains.
    """
    best = max(candidates, key=lambda candidate: _rank(spec, candidate), default=None)
    return None if best is None else best.domain


def guarantees_cover(guarantees: Iterable[Guarantee], spec: JobSpec) -> bool:
    """Return whether one guaranteed gang of the job's account is at least as large as the job."""
    return any(
        guarantee.account == spec.account
        and guarantee.gangs > 0
        and guarantee.gang_size * guarantee.accelerators >= spec.total_accelerators
        for guarantee in guarantees
    )


def _rank(spec: JobSpec, candidate: DomainCandidate) -> tuple[bool, bool, bool, int, int, DomainId]:
    can_start = candidate.can_start_now(spec)
    return (
        can_start,
        candidate.guaranteed and not can_start,
        candidate.is_local,
        -candidate.queued,
        candidate.free,
        candidate.domain,
    )
