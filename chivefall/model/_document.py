"""The operators' document in typed form."""

from __future__ import annotations

from dataclasses import dataclass, field

from chivefall.model._ids import AccountId, DomainId, Revision, ServiceId, TeamId
from chivefall.model._states import Adjacency, DomainState

__all__ = ["Account", "Document", "Guarantee", "Service"]


@dataclass(frozen=True)
class Account:
    """Limits of a client account.

    Attributes
    ----------
    max_accelerators : int
        Quota over all failure domains of the region; borrowing included.
    requests_per_second : float
        Sustained rate of admitted requests at each instance.
    burst : int
        Requests admitted at once above the sustained rate.
    """

    max_accelerators: int = 192
    requests_per_second: float = 50.0
    burst: int = 100


@dataclass(frozen=True)
class Guarantee:
    """A shape that an account can always reclaim.

    Attributes
    ----------
    gangs : int
        Number of gangs over the whole region.
    gang_size, accelerators : int
        Members of each gang and accelerators of each member.
    adjacency : Adjacency
        Smallest group that holds one gang.
    """

    account: AccountId
    gangs: int = 1
    gang_size: int = 1
    accelerators: int = 8
    adjacency: Adjacency = Adjacency.RACK


@dataclass(frozen=True)
class Service:
    """A service that endpoints answer for."""

    account: AccountId
    timeout: float = 30.0
    max_attempts: int = 3


@dataclass(frozen=True)
class Document:
    """One revision of the operators' document."""

    revision: Revision = Revision(0)
    accounts: dict[AccountId, Account] = field(default_factory=dict)
    guarantees: tuple[Guarantee, ...] = ()
    failure_domains: dict[DomainId, DomainState] = field(default_factory=dict)
    services: dict[ServiceId, Service] = field(default_factory=dict)
    owners: dict[str, tuple[TeamId, ...]] = field(default_factory=dict)

    def is_in_service(self, domain: DomainId) -> bool:
        """Return whether new work may start in a failure domain."""
        return self.failure_domains.get(domain) is DomainState.IN_SERVICE
