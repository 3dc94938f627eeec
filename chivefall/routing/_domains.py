"""Choice of the failure domain that a job is sent to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.model import Adjacency, DomainId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.model import Guarantee, JobSpec

__all__ = ["DomainOffer", "choose_domain", "covers"]


@dataclass(frozen=True)
class DomainOffer:
    """What is known of a failure domain that takes jobs.

    Attributes
    ----------
    free, block : int
        Free accelerators, and the most of them in one rack.
    queued : int
        Jobs that wait there.
    guaranteed : bool
        Whether the domain's share of the guarantees covers the job.
    own : bool
        Whether it is the failure domain of this instance.
    """

    domain: DomainId
    free: int = 0
    block: int = 0
    queued: int = 0
    guaranteed: bool = False
    own: bool = False

    def starts(self, spec: JobSpec) -> bool:
        """Return whether a job starts there at once."""
        adjacent = self.free if spec.adjacency is Adjacency.DOMAIN else self.block
        return self.queued == 0 and adjacent >= spec.total_accelerators


def choose_domain(spec: JobSpec, offers: Iterable[DomainOffer]) -> DomainId | None:
    """Return the failure domain to send a job to, or None if there is none.

    A domain where the job starts at once comes first, then one where its account
    can reclaim the room, then the one with the shortest queue. Among equals the
    own domain saves a message between domains.
    """
    best = max(offers, key=lambda offer: _rank(spec, offer), default=None)
    return None if best is None else best.domain


def covers(guarantees: Iterable[Guarantee], spec: JobSpec) -> bool:
    """Return whether one gang of an account's guarantees has the size of a job."""
    return any(
        guarantee.account == spec.account
        and guarantee.gangs > 0
        and guarantee.gang_size * guarantee.accelerators >= spec.total_accelerators
        for guarantee in guarantees
    )


def _rank(spec: JobSpec, offer: DomainOffer) -> tuple[bool, bool, bool, int, int, DomainId]:
    starts = offer.starts(spec)
    return (
        starts,
        offer.guaranteed and not starts,
        offer.own,
        -offer.queued,
        offer.free,
        offer.domain,
    )
