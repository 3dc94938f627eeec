"""Audit records of document changes in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.document import decode_change, encode_change
from chivefall.errors import DocumentError
from chivefall.model import Revision
from chivefall.store import (
    ABSENT,
    HISTORY_PREFIX,
    Conflict,
    Found,
    Listed,
    Missing,
    Store,
    Stored,
    Unavailable,
    history_key,
)
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from chivefall.model import ChangeRecord

__all__ = ["DocumentHistory"]

MAX_RECORDS = 500
PRUNE_INTERVAL_REVISIONS = 50  # the history exceeds MAX_RECORDS by up to this number


class DocumentHistory:
    """Writes and reads audit records, one key per revision.

    A revision's record is part of the accepted document, so it is the same for
    every writer: any instance may write it, any number of times.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._written = Revision(0)

    def is_written(self, record: ChangeRecord | None) -> bool:
        """Return whether a record is known to be in the store."""
        return record is None or record.revision <= self._written

    async def ensure(self, record: ChangeRecord | None) -> bool:
        """Write a record if it is absent; return whether it is stored now.

        Records arrive in the order of their revisions, because the record of each
        revision is written before the next change.
        """
        if self.is_written(record):
            return True
        key = history_key(record.revision)
        outcome = await self._store.put(key, encode_change(record), ABSENT)
        if isinstance(outcome, Unavailable):
            log_event(LogEvent.AUDIT_DELAYED, revision=record.revision, reason=outcome.reason)
            return False
        self._written = max(self._written, record.revision)
        if isinstance(outcome, Stored) and record.revision % PRUNE_INTERVAL_REVISIONS == 0:
            await self._prune(record.revision)
        return isinstance(outcome, Stored | Conflict)

    async def read(self, revision: Revision) -> ChangeRecord | Missing | Unavailable:
        """Return the record of one revision; Missing if it cannot be decoded."""
        outcome = await self._store.get(history_key(revision))
        if not isinstance(outcome, Found):
            return outcome if isinstance(outcome, Unavailable) else Missing()
        try:
            return decode_change(outcome.entry.value)
        except DocumentError as exc:
            log_event(LogEvent.DOCUMENT_INVALID, error=str(exc), key=outcome.entry.key)
            return Missing()

    async def list(self, last: ChangeRecord | None) -> tuple[ChangeRecord, ...] | Unavailable:
        """Return all records in the order of their revisions.

        Parameters
        ----------
        last : ChangeRecord or None
            Record in the current document, which may not be in the history yet.
        """
        listed = await self._store.list(HISTORY_PREFIX)
        if not isinstance(listed, Listed):
            return listed
        records = {last.revision: last} if last else {}
        for entry in listed.entries:
            try:
                record = decode_change(entry.value)
            except DocumentError as exc:
                log_event(LogEvent.DOCUMENT_INVALID, error=str(exc), key=entry.key)
            else:
                records[record.revision] = record
        return tuple(records[revision] for revision in sorted(records))

    async def _prune(self, newest: Revision) -> None:
        listed = await self._store.list(HISTORY_PREFIX)
        if not isinstance(listed, Listed):
            return
        oldest_kept = history_key(Revision(max(0, newest - MAX_RECORDS + 1)))
        for entry in listed.entries:
            if entry.key < oldest_kept:
                await self._store.delete(entry.key, entry.version)
