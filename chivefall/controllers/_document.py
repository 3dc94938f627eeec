"""The document revision in force and its confirmation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.controllers._base import Controller
from chivefall.document import decode_document
from chivefall.errors import DocumentError
from chivefall.events import document_adopted
from chivefall.model import Document, Revision
from chivefall.store import DOCUMENT_KEY, Found, Store, Unavailable
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from chivefall.config import Timing
    from chivefall.runtime import Clock

__all__ = ["DocumentController"]


class DocumentController(Controller):
    """Adopts higher revisions of the document and knows how fresh the adopted one is."""

    def __init__(self, clock: Clock, store: Store, timing: Timing) -> None:
        super().__init__(clock)
        self._store = store
        self._timing = timing
        self.document = Document()
        self.confirmed_at = float("-inf")
        self.store_reachable = False

    def start(self) -> None:
        """Begin to read the document at each heartbeat interval."""
        self.every(self._timing.heartbeat, lambda _: self.run_task(self._refresh()))

    def confirmed_age(self, now: float) -> float:
        """Return seconds since the store confirmed the adopted revision."""
        return now - self.confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Return whether the adopted revision was confirmed recently enough to start tasks."""
        return self.confirmed_age(now) <= self._timing.freshness

    def adopt(self, document: Document) -> None:
        """Put a revision in force if it is higher than the present one."""
        if document.revision <= self.document.revision:
            return
        self.document = document
        log_event(LogEvent.DOCUMENT_ADOPTED, revision=document.revision)
        self.fire(document_adopted(document))

    async def _refresh(self) -> None:
        asked_at = self.clock.now()
        outcome = await self._store.get(DOCUMENT_KEY)
        self._note_reachable(not isinstance(outcome, Unavailable))
        if not isinstance(outcome, Found):
            return
        try:
            document = decode_document(outcome.entry.value)
        except DocumentError as exc:
            log_event(LogEvent.DOCUMENT_INVALID, error=str(exc))
            return
        self.adopt(document)
        if document.revision == self.document.revision:
            self.confirmed_at = max(self.confirmed_at, asked_at)

    def _note_reachable(self, reachable: bool) -> None:
        if reachable != self.store_reachable:
            event = LogEvent.STORE_REACHABLE if reachable else LogEvent.STORE_UNREACHABLE
            log_event(event)
        self.store_reachable = reachable

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return self.document.revision
