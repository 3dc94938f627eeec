"""Kinds of edits that operators can make to the document."""

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
        """Return the sections that must not have changed since the edit's base revision."""

    @abstractmethod
    def apply(self, document: Document) -> Document:
        """Return the document with the edit applied and everything else unchanged.

        Raises
        ------
        DocumentError
            If the edit cannot be applied to this document.
        """


@dataclass(frozen=True)
class SectionEdit(Edit):
    """Replaces one section."""

    section: Section
    content: Any

    def guarded_sections(self) -> tuple[Section, ...]:
        """Return the replaced section."""
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

    It guards no section: it sets the state of a single entry, so it remains valid
    after any concurrent edit.
    """

    domain: DomainId
    state: DomainState

    def guarded_sections(self) -> tuple[Section, ...]:
        """Return an empty tuple."""
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
