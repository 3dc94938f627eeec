"""Data classes of the operators' document."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from chivefall.model._ids import AccountId, DomainId, Revision, ServiceId, TeamId
from chivefall.model._states import Adjacency, DomainState

__all__ = ["Account", "ChangeRecord", "Document", "Guarantee", "Section", "Service"]


class Section(Enum):
    """A part of the document that has its own owners."""

    ACCOUNTS = "accounts"
    GUARANTEES = "guarantees"
    FAILURE_DOMAINS = "failure_domains"
    SERVICES = "services"
    OWNERS = "owners"


@dataclass(frozen=True)
class Account:
    """Limits of a client account.

    Attributes
    ----------
    max_accelerators : int
        Quota over all failure domains of the region, including borrowed accelerators.
    requests_per_second : float
        Sustained rate of admitted requests at each instance.
    burst : int
        Requests admitted at once in excess of the sustained rate.
    """

    max_accelerators: int = 192
    requests_per_second: float = 50.0
    burst: int = 100


@dataclass(frozen=True)
class Guarantee:
    """Capacity for gangs of one shape that an account can always reclaim.

    Attributes
    ----------
    gangs : int
        Number of gangs over the whole region.
    gang_size, accelerators : int
        Members of each gang and accelerators of each member.
    adjacency : Adjacency
        Topology level within which each gang is placed.
    """

    account: AccountId
    gangs: int = 1
    gang_size: int = 1
    accelerators: int = 8
    adjacency: Adjacency = Adjacency.RACK


@dataclass(frozen=True)
class Service:
    """A service whose requests are handled by endpoints.

    Attributes
    ----------
    timeout : float
        Time limit of each attempt in seconds.
    """

    account: AccountId
    timeout: float = 30.0
    max_attempts: int = 3


@dataclass(frozen=True)
class ChangeRecord:
    """The audit record of an accepted change.

    Attributes
    ----------
    base : Revision
        Revision on which the team based the change.
    change_id : str
        Random identifier, by which a change is recognized if a store response is lost.
    made_at : float
        Unix time in seconds by the clock of the instance that accepted the change.
    diff : tuple of str
        Changed keys with their old and new values, truncated to a bounded length.
    """

    revision: Revision
    base: Revision
    change_id: str
    team: TeamId
    sections: tuple[Section, ...]
    made_at: float
    reason: str = ""
    diff: tuple[str, ...] = ()


@dataclass(frozen=True)
class Document:
    """One revision of the operators' document.

    Attributes
    ----------
    section_revisions : dict
        Revision at which each section last changed; for a missing section, the
        document's own revision applies.
    last_change : ChangeRecord or None
        Audit record of the change that created this revision. It is stored with the
        document, so that a crash before the history is written does not lose it.
    """

    revision: Revision = Revision(0)
    accounts: dict[AccountId, Account] = field(default_factory=dict)
    guarantees: tuple[Guarantee, ...] = ()
    failure_domains: dict[DomainId, DomainState] = field(default_factory=dict)
    services: dict[ServiceId, Service] = field(default_factory=dict)
    owners: dict[Section, tuple[TeamId, ...]] = field(default_factory=dict)
    section_revisions: dict[Section, Revision] = field(default_factory=dict)
    last_change: ChangeRecord | None = None

    def is_in_service(self, domain: DomainId) -> bool:
        """Return whether new work may start in a failure domain."""
        return self.failure_domains.get(domain) is DomainState.IN_SERVICE

    def section(self, section: Section) -> Any:
        """Return the content of a section."""
        return getattr(self, section.value)

    def section_revision(self, section: Section) -> Revision:
        """Return the revision at which a section last changed."""
        return self.section_revisions.get(section, self.revision)
