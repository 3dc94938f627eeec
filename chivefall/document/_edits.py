"""The kinds of change that operators make."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, replace
from typing import Any

from chivefall.errors import DocumentError
from chivefall.model import Document, DomainId, DomainState, Section

__all__ = ["DocumentEdit", "DomainEdit", "Edit", "SectionEdit"]


class Edit(ABC):
    """A change that can be applied to any revision of the document."""

    @abstractmethod
    def guarded_sections(self) -> tuple[Section, ...]:
        """Return the sections that must be unchanged since the edit's base."""

    @abstractmethod
    def apply(self, document: Document) -> Document:
        """Return the document with the change made and everything else kept.

        Raises
        ------
        DocumentError
            If the change cannot be made to this document.
        """


@dataclass(frozen=True)
class SectionEdit(Edit):
    """Replaces one section."""

    section: Section
    content: Any

    def guarded_sections(self) -> tuple[Section, ...]:
        """Return the section."""
        return (self.section,)

    def apply(self, document: Document) -> Document:
        """Return the document with the section replaced."""
        return replace(document, **{self.section.value: self.content})


@dataclass(frozen=True)
class DocumentEdit(Edit):
    """Replaces all sections."""

    document: Document

    def guarded_sections(self) -> tuple[Section, ...]:
        """Return all sections."""
        return tuple(Section)

    def apply(self, document: Document) -> Document:
        """Return the document with all sections replaced."""
        return replace(
            document,
            **{section.value: self.document.section(section) for section in Section},
        )


@dataclass(frozen=True)
class DomainEdit(Edit):
    """Takes one failure domain out of service or brings it back.

    It guards no section: it states the wanted end state of one entry, which
    stays right whatever else was edited meanwhile.
    """

    domain: DomainId
    state: DomainState

    def guarded_sections(self) -> tuple[Section, ...]:
        """Return no section."""
        return ()

    def apply(self, document: Document) -> Document:
        """Return the document with the state of the failure domain set."""
        if self.domain not in document.failure_domains:
            raise DocumentError(
                f"failure_domains.{self.domain}: no such failure domain",
                f"use one of {', '.join(sorted(document.failure_domains)) or 'none yet'}",
            )
        return replace(
            document, failure_domains={**document.failure_domains, self.domain: self.state}
        )
