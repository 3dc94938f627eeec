"""Writes changes of the document with compare-and-swap."""

from __future__ import annotations

from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING, Any

import msgspec

from chivefall.document import (
    ChangeAccepted,
    ChangeConflict,
    ChangeNotMade,
    ChangeOutcome,
    ChangePlanned,
    ChangeRequest,
    ChangeUnknown,
    DocumentEdit,
    decode_document,
    encode_document,
    plan_change,
)
from chivefall.errors import DocumentError
from chivefall.model import ChangeRecord, Document, Revision
from chivefall.runtime import Clock, sleep
from chivefall.store import (
    ABSENT,
    DOCUMENT_KEY,
    Conflict,
    Entry,
    Found,
    Store,
    Stored,
    Unavailable,
    Version,
)
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.controllers.document._history import DocumentHistory

__all__ = ["DocumentChanges"]

MAX_ATTEMPTS = 8  # of a change that is rebased onto concurrent changes of other sections
RESOLVE_TIMEOUT_SECONDS = 5.0  # spent on finding out whether a write took effect
RESOLVE_INTERVAL_SECONDS = 0.5


class _WriteStatus(Enum):
    """Whether a write took effect, as far as it can be determined from the store."""

    APPLIED = "applied"
    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"


class DocumentChanges:
    """Writes changes and resolves writes whose reply was lost.

    Attributes
    ----------
    in_progress : int
        Number of writes whose outcome is not yet known.
    unknown_since : float or None
        Time of the last change that ended with an unknown outcome, in seconds
        since the Unix epoch; None once the document was read again.
    """

    def __init__(
        self,
        clock: Clock,
        store: Store,
        history: DocumentHistory,
        in_force: Callable[[], Document],
        on_read: Callable[[bool], None],
        on_accepted: Callable[[Document, Version | None, float], None],
    ) -> None:
        self._clock = clock
        self._store = store
        self._history = history
        self._in_force = in_force
        self._on_read = on_read
        self._on_accepted = on_accepted
        self.in_progress = 0
        self.unknown_since: float | None = None

    async def apply(self, request: ChangeRequest) -> ChangeOutcome:
        """Write a change, rebased onto the current revision after each lost race."""
        for _ in range(MAX_ATTEMPTS):
            read = await self._read_current(request)
            if isinstance(read, ChangeNotMade):
                return read
            current, version, stored = read
            plan = plan_change(current, request, self._clock.now(), stored)
            if isinstance(plan, ChangeConflict):
                return await self._with_changes(plan, current)
            if not isinstance(plan, ChangePlanned):
                return plan
            # The next revision overwrites this record, so it must be in the history first.
            if not await self._history.ensure(current.last_change):
                return ChangeNotMade(
                    "the audit record of the current revision could not be stored;"
                    " nothing was written"
                )
            outcome = await self._write(plan.document, version)
            if outcome is not None:
                return outcome
        return ChangeNotMade(
            f"all {MAX_ATTEMPTS} attempts conflicted with concurrent changes; nothing was written"
        )

    async def _read_current(
        self, request: ChangeRequest
    ) -> tuple[Document, Version, bool] | ChangeNotMade:
        """Return the base document, its key's version and whether the store holds that document.

        If the stored value is invalid or outdated, the base of a ``DocumentEdit``
        is the document in force.
        """
        outcome = await self._store.get(DOCUMENT_KEY)
        self._on_read(not isinstance(outcome, Unavailable))
        if isinstance(outcome, Unavailable):
            return ChangeNotMade(f"{outcome.reason}; nothing was written")
        in_force = self._in_force()
        entry = outcome.entry if isinstance(outcome, Found) else None
        if entry is None and not in_force.revision:
            return Document(), ABSENT, True
        version = entry.version if entry else ABSENT
        stored = _decode_or_none(entry)
        if stored is not None and stored.revision >= in_force.revision:
            return stored, version, True
        if isinstance(request.edit, DocumentEdit):
            highest = max(in_force.revision, _stored_revision(entry))
            return replace(in_force, revision=highest), version, False
        return ChangeNotMade(
            f"the stored document is invalid or older than revision {in_force.revision} in force;"
            " replace the whole document"
        )

    async def _write(self, document: Document, version: Version) -> ChangeOutcome | None:
        """Write a revision; return None if another change was written first."""
        self.in_progress += 1
        try:
            return await self._write_until_resolved(document, version)
        finally:
            self.in_progress -= 1

    async def _write_until_resolved(
        self, document: Document, version: Version
    ) -> ChangeOutcome | None:
        data, change = encode_document(document), document.last_change
        deadline = self._clock.now() + RESOLVE_TIMEOUT_SECONDS
        maybe_applied = False
        while True:
            requested_at = self._clock.now()
            outcome = await self._store.put(DOCUMENT_KEY, data, version)
            if isinstance(outcome, Stored):
                return self._report_accepted(document, outcome.version, requested_at)
            if isinstance(outcome, Conflict):
                status = await self._write_status(change, outcome.current, maybe_applied)
                if status is _WriteStatus.APPLIED:
                    return self._report_accepted(document, None, float("-inf"))
                if status is _WriteStatus.NOT_APPLIED:
                    log_event(LogEvent.DOCUMENT_CONFLICT, revision=change.revision)
                    return None
            else:
                maybe_applied = maybe_applied or outcome.applied_unknown
                if not maybe_applied:
                    return ChangeNotMade(f"{outcome.reason}; nothing was written")
            if self._clock.now() >= deadline:
                self.unknown_since = self._clock.now()
                return ChangeUnknown(
                    "the store did not confirm whether the change was written; look for change"
                    f" {change.change_id} in the history before you repeat it",
                    change.change_id,
                )
            # Repeating is safe: a write with this expected version takes effect at most once.
            await sleep(self._clock, RESOLVE_INTERVAL_SECONDS)

    async def _write_status(
        self, change: ChangeRecord, entry: Entry | None, maybe_applied: bool
    ) -> _WriteStatus:
        """Return whether a write took effect, given the entry that it conflicted with."""
        current = _decode_or_none(entry)
        if current and current.last_change and current.last_change.change_id == change.change_id:
            return _WriteStatus.APPLIED
        if not maybe_applied or (current and current.revision <= change.revision):
            return _WriteStatus.NOT_APPLIED
        record = await self._history.read(change.revision)
        if not isinstance(record, ChangeRecord):
            return _WriteStatus.UNKNOWN
        ours = record.change_id == change.change_id
        return _WriteStatus.APPLIED if ours else _WriteStatus.NOT_APPLIED

    def _report_accepted(
        self, document: Document, version: Version | None, requested_at: float
    ) -> ChangeAccepted:
        change = document.last_change
        log_event(
            LogEvent.DOCUMENT_CHANGED,
            revision=document.revision,
            team=change.team,
            change=change.change_id,
            sections=[section.value for section in change.sections],
        )
        self._on_accepted(document, version, requested_at)
        return ChangeAccepted(document.revision, change.change_id)

    async def _with_changes(self, conflict: ChangeConflict, current: Document) -> ChangeConflict:
        """Return the conflict with the changes of its sections since the base revision."""
        records = await self._history.list(current.last_change)
        if isinstance(records, Unavailable):
            records = (current.last_change,) if current.last_change else ()
        changes = tuple(
            record
            for record in records
            if record.revision > conflict.base and set(record.sections) & set(conflict.sections)
        )
        log_event(LogEvent.DOCUMENT_CONFLICT, base=conflict.base, current=conflict.current)
        return replace(conflict, changes=changes)


def _decode_or_none(entry: Entry | None) -> Document | None:
    if entry is None:
        return None
    try:
        return decode_document(entry.value)
    except DocumentError:
        return None


def _stored_revision(entry: Entry | None) -> Revision:
    """Return the revision number of a stored value that may not be a valid document, or 0."""
    try:
        raw: Any = msgspec.json.decode(entry.value) if entry else {}
        return Revision(max(0, int(raw["revision"])))
    except (msgspec.DecodeError, KeyError, TypeError, ValueError, RecursionError):
        return Revision(0)
