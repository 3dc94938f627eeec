"""Writes changes to the document by compare-and-swap."""

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

MAX_ATTEMPTS = 8  # rebases over racing changes of other sections
RESOLVE_LIMIT = 5.0  # seconds spent on finding out whether a write took effect
RESOLVE_INTERVAL = 0.5


class _Fate(Enum):
    """What became of a write whose reply was lost."""

    APPLIED = "applied"
    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"


class DocumentChanges:
    """Makes changes and finds out what became of them.

    Attributes
    ----------
    in_progress : int
        Number of writes whose outcome is not known yet.
    unknown_since : float or None
        Time of the last change that ended with an unknown outcome.
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

    async def make(self, request: ChangeRequest) -> ChangeOutcome:
        """Write a change, carried over to the current revision as often as needed."""
        for _ in range(MAX_ATTEMPTS):
            read = await self._read_current(request)
            if isinstance(read, ChangeNotMade):
                return read
            current, version, stored = read
            plan = plan_change(current, request, self._clock.now(), stored)
            if isinstance(plan, ChangeConflict):
                return await self._explain(plan, current)
            if not isinstance(plan, ChangePlanned):
                return plan
            # The next revision replaces this record, so the history has to hold it first.
            if not await self._history.ensure(current.last_change):
                return ChangeNotMade("the store does not take audit records; nothing was written")
            outcome = await self._write(plan.document, version)
            if outcome is not None:
                return outcome
        return ChangeNotMade(f"other changes were first {MAX_ATTEMPTS} times; nothing was written")

    async def _read_current(
        self, request: ChangeRequest
    ) -> tuple[Document, Version, bool] | ChangeNotMade:
        """Return the document, its key's version and whether the store holds that document.

        A stored value that is not usable is replaced from the document in force.
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
            f"the stored document is not valid or older than revision {in_force.revision} in force;"
            " replace the whole document"
        )

    async def _write(self, document: Document, version: Version) -> ChangeOutcome | None:
        """Write a revision; return None if another change was first."""
        self.in_progress += 1
        try:
            return await self._write_until_known(document, version)
        finally:
            self.in_progress -= 1

    async def _write_until_known(
        self, document: Document, version: Version
    ) -> ChangeOutcome | None:
        data, change = encode_document(document), document.last_change
        limit = self._clock.now() + RESOLVE_LIMIT
        maybe_applied = False
        while True:
            asked_at = self._clock.now()
            outcome = await self._store.put(DOCUMENT_KEY, data, version)
            if isinstance(outcome, Stored):
                return self._accept(document, outcome.version, asked_at)
            if isinstance(outcome, Conflict):
                fate = await self._fate(change, outcome.current, maybe_applied)
                if fate is _Fate.APPLIED:
                    return self._accept(document, None, float("-inf"))
                if fate is _Fate.NOT_APPLIED:
                    log_event(LogEvent.DOCUMENT_CONFLICT, revision=change.revision)
                    return None
            else:
                maybe_applied = maybe_applied or outcome.applied_unknown
                if not maybe_applied:
                    return ChangeNotMade(f"{outcome.reason}; nothing was written")
            if self._clock.now() >= limit:
                self.unknown_since = self._clock.now()
                return ChangeUnknown(
                    "the store did not say whether the change is written; read the history"
                    f" and look for change {change.change_id} before you repeat it",
                    change.change_id,
                )
            # The same write under the same expected version takes effect at most once.
            await sleep(self._clock, RESOLVE_INTERVAL)

    async def _fate(self, change: ChangeRecord, entry: Entry | None, maybe_applied: bool) -> _Fate:
        """Return whether the revision that replaced the expected one comes after ours."""
        current = _decode_or_none(entry)
        if current and current.last_change and current.last_change.change_id == change.change_id:
            return _Fate.APPLIED
        if not maybe_applied or (current and current.revision <= change.revision):
            return _Fate.NOT_APPLIED
        record = await self._history.read(change.revision)
        if not isinstance(record, ChangeRecord):
            return _Fate.UNKNOWN
        ours = record.change_id == change.change_id
        return _Fate.APPLIED if ours else _Fate.NOT_APPLIED

    def _accept(
        self, document: Document, version: Version | None, asked_at: float
    ) -> ChangeAccepted:
        change = document.last_change
        log_event(
            LogEvent.DOCUMENT_CHANGED,
            revision=document.revision,
            team=change.team,
            change=change.change_id,
            sections=[section.value for section in change.sections],
        )
        self._on_accepted(document, version, asked_at)
        return ChangeAccepted(document.revision, change.change_id)

    async def _explain(self, conflict: ChangeConflict, current: Document) -> ChangeConflict:
        """Return the conflict with what changed in its sections since the base."""
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
    """Return the revision number in a value that is not a valid document."""
    try:
        raw: Any = msgspec.json.decode(entry.value) if entry else {}
        return Revision(max(0, int(raw["revision"])))
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return Revision(0)
