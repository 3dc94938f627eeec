"""Decides whether a change of the document may be written."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any, Union

import msgspec

from chivefall.document._codec import encode_document
from chivefall.document._edits import Edit
from chivefall.document._parse import MAX_DOCUMENT_BYTES, check_document
from chivefall.errors import DocumentError
from chivefall.model import ChangeRecord, Document, Revision, Section, TeamId

__all__ = [
    "ChangeAccepted",
    "ChangeConflict",
    "ChangeDenied",
    "ChangeInvalid",
    "ChangeNotMade",
    "ChangeOutcome",
    "ChangePlan",
    "ChangePlanned",
    "ChangeRequest",
    "ChangeUnknown",
    "ChangeUnneeded",
    "plan_change",
]

MAX_DIFF_LINES = 32
MAX_DIFF_LINE_CHARS = 120
MAX_REASON_CHARS = 500


@dataclass(frozen=True)
class ChangeRequest:
    """A team's request to change the document.

    Attributes
    ----------
    base : Revision
        Revision on which the team based the change.
    """

    team: TeamId
    base: Revision
    edit: Edit
    change_id: str
    reason: str = ""


@dataclass(frozen=True)
class ChangePlanned:
    """The change may be written; ``document`` is the new revision."""

    document: Document


@dataclass(frozen=True)
class ChangeAccepted:
    """The change is stored."""

    revision: Revision
    change_id: str
    warnings: tuple[str, ...] = ()


@dataclass(frozen=True)
class ChangeUnneeded:
    """The document already has the requested content; nothing was written."""

    revision: Revision


@dataclass(frozen=True)
class ChangeConflict:
    """A concurrent change of a guarded section was written first; nothing was written.

    Attributes
    ----------
    changes : tuple of ChangeRecord
        Known changes of the guarded sections since the base.
    """

    base: Revision
    current: Revision
    sections: tuple[Section, ...]
    changes: tuple[ChangeRecord, ...] = ()


@dataclass(frozen=True)
class ChangeDenied:
    """The team does not own a section that the change touches."""

    section: Section
    owners: tuple[TeamId, ...]


@dataclass(frozen=True)
class ChangeInvalid:
    """The changed document would not be valid."""

    problem: str
    remedy: str


@dataclass(frozen=True)
class ChangeNotMade:
    """Nothing was written; a repeat may succeed."""

    detail: str


@dataclass(frozen=True)
class ChangeUnknown:
    """The change may have been written, or may still be written shortly."""

    detail: str
    change_id: str


ChangePlan = Union[ChangePlanned, ChangeUnneeded, ChangeConflict, ChangeDenied, ChangeInvalid]
ChangeOutcome = Union[
    ChangeAccepted,
    ChangeUnneeded,
    ChangeConflict,
    ChangeDenied,
    ChangeInvalid,
    ChangeNotMade,
    ChangeUnknown,
]


def plan_change(
    current: Document, request: ChangeRequest, now: float, stored: bool = True
) -> ChangePlan:
    """Return the next revision, or the reason why the change cannot be made.

    A change based on an older revision is rebased onto the current one unless a
    section that it guards has changed since.

    Parameters
    ----------
    current : Document
        The document in the store, or the replacement of an invalid one.
    now : float
        Seconds since the Unix epoch, for the audit record.
    stored : bool
        Whether the store holds the current document; if not, it is written even
        if the change makes no difference.
    """
    guarded = request.edit.guarded_sections()
    changed = tuple(item for item in guarded if current.section_revision(item) > request.base)
    if guarded and (changed or request.base > current.revision):
        return ChangeConflict(request.base, current.revision, changed or guarded)
    try:
        edited = request.edit.apply(current)
        touched = tuple(item for item in Section if current.section(item) != edited.section(item))
        if stored and not touched:
            return ChangeUnneeded(current.revision)
        for section in touched:
            if current.owners and request.team not in current.owners.get(section, ()):
                return ChangeDenied(section, current.owners.get(section, ()))
        check_document(edited)
        planned = _next_revision(current, edited, touched, request, now)
        _check_size(planned)
    except DocumentError as exc:
        return ChangeInvalid(exc.problem, exc.remedy)
    return ChangePlanned(planned)


def _next_revision(
    current: Document,
    edited: Document,
    touched: tuple[Section, ...],
    request: ChangeRequest,
    now: float,
) -> Document:
    revision = Revision(current.revision + 1)
    return replace(
        edited,
        revision=revision,
        section_revisions={
            item: revision if item in touched else current.section_revision(item)
            for item in Section
        },
        last_change=ChangeRecord(
            revision,
            request.base,
            request.change_id,
            request.team,
            touched,
            now,
            request.reason[:MAX_REASON_CHARS],
            _diff(current, edited, touched),
        ),
    )


def _check_size(document: Document) -> None:
    size = len(encode_document(document))
    if size >= MAX_DOCUMENT_BYTES:
        raise DocumentError(
            f"the changed document would have {size} bytes",
            f"keep it under {MAX_DOCUMENT_BYTES} bytes",
        )


def _diff(old: Document, new: Document, touched: tuple[Section, ...]) -> tuple[str, ...]:
    """Return one line per changed entry, with limited line length and number of lines."""
    lines = []
    for section in touched:
        before, after = _entries(old.section(section)), _entries(new.section(section))
        for key in [*before, *(key for key in after if key not in before)]:
            if before.get(key) != after.get(key):
                line = f"{section.value}.{key}: {before.get(key, '-')} -> {after.get(key, '-')}"
                lines.append(line[:MAX_DIFF_LINE_CHARS])
    if len(lines) > MAX_DIFF_LINES:
        rest = len(lines) - MAX_DIFF_LINES + 1
        lines = [*lines[: MAX_DIFF_LINES - 1], f"{rest} more entries"]
    return tuple(lines)


def _entries(content: Any) -> dict[str, str]:
    raw = msgspec.to_builtins(content)
    pairs = raw.items() if isinstance(raw, dict) else enumerate(raw)
    return {str(key): msgspec.json.encode(item).decode() for key, item in pairs}
