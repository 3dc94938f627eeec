"""The operators' document in typed form."""

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
class ChangeRecord:
    """The audit record of an accepted change.

    Attributes
    ----------
    base : Revision
        Revision from which the team made the change.
    change_id : str
        Random name that identifies the change when a store reply is lost.
    made_at : float
        Seconds since the epoch at the instance that took the change.
    diff : tuple of str
        Changed keys with their old and new values, cut to a bounded length.
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
        Revision at which each section last changed; a missing section counts as
        changed at the document's own revision.
    last_change : ChangeRecord or None
        Audit record of the change that made this revision. It is part of the
        value, so that a crash before the history is written does not lose it.
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
