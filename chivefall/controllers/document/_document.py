"""The document revision in force, its distribution and its confirmation by the store."""

from __future__ import annotations

import secrets
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from circuits import handler

from chivefall.controllers._base import Controller
from chivefall.controllers.document._changes import DocumentChanges
from chivefall.controllers.document._history import DocumentHistory
from chivefall.document import (
    ChangeAccepted,
    ChangeNotMade,
    ChangeOutcome,
    ChangeRequest,
    Edit,
    decode_document,
    encode_document,
    guarantee_shares,
    placement_warnings,
)
from chivefall.errors import DocumentError
from chivefall.events import document_adopted
from chivefall.membership import LocalEvidence, PeerState, Stale, StartPermission
from chivefall.model import ChangeRecord, Document, InstanceKind, Revision
from chivefall.net import PeerFailure, Peers
from chivefall.store import (
    DOCUMENT_KEY,
    Entry,
    Found,
    Missing,
    Store,
    Unavailable,
    Unmodified,
    Version,
)
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.config import Settings
    from chivefall.controllers._membership import MembershipController
    from chivefall.model import DomainId, Guarantee, InstanceId, RackId, TeamId
    from chivefall.runtime import Clock
    from chivefall.workers import Instance

__all__ = ["DocumentController"]

GET_DOCUMENT = "get_document"
MAX_UNCONFIRMED_HEARTBEATS = 2  # intervals without confirmation before reading the store itself
MAX_CONCURRENT_FETCHES = 2  # of documents from peers
MAX_CONFIRMED_AGE_SECONDS = 1e9  # reported while the store has not confirmed any revision


class DocumentController(Controller):
    """Adopts higher revisions of the document and decides whether tasks may start.

    Attributes
    ----------
    confirmed_at : float
        A time, in seconds since the Unix epoch, at which the store had no higher
        revision than the one in force.
    store_reachable : bool
        Whether the last store call succeeded; True before the first call.
    """

    def __init__(
        self,
        clock: Clock,
        cfg: Settings,
        store: Store,
        peers: Peers,
        membership: MembershipController,
        leads: Callable[[], bool],
    ) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._timing = cfg.timing
        self._store = store
        self._peers = peers
        self._membership = membership
        self._leads = leads
        self._history = DocumentHistory(store)
        self._changes = DocumentChanges(
            clock,
            store,
            self._history,
            self._document_at_highest_revision,
            self._record_reachable,
            self._record_accepted,
        )
        self._version: Version | None = None
        self._rejected_version: Version | None = None
        self._fetching: set[InstanceId] = set()
        self._worker_racks: tuple[tuple[RackId, int], ...] = ()
        self._permission: type[StartPermission] | None = None
        self.document = Document()
        self._guarantee_shares: dict[DomainId, tuple[Guarantee, ...]] = {}
        self.confirmed_at = float("-inf")
        self.store_reachable = True

    def start(self) -> None:
        """Read the document and start the periodic reads that keep it confirmed.

        The reads run half an interval after the heartbeats, so that the
        heartbeats of a leader carry a recent confirmation.
        """
        self._peers.register_operation(
            GET_DOCUMENT, lambda _: self.run_task(self._serve_document())
        )
        self.run_task(self._refresh())
        interval = self._timing.heartbeat
        self.clock.call_later(interval / 2, lambda: self.every(interval, self._tick))

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return self.document.revision

    @property
    def may_reach_store(self) -> bool:
        """Return whether this instance may have written to the store recently.

        True while the store responds or the outcome of a change is unknown.
        """
        changes = self._changes
        return bool(
            self.store_reachable or changes.in_progress or changes.unknown_since is not None
        )

    @property
    def has_unresolved_change(self) -> bool:
        """Return whether the outcome of a change made by this instance is unknown."""
        return bool(self._changes.in_progress or self._changes.unknown_since is not None)

    def confirmed_age(self, now: float) -> float:
        """Return the seconds since the store confirmed the revision in force."""
        return min(now - self.confirmed_at, MAX_CONFIRMED_AGE_SECONDS)

    def start_permission(self, now: float) -> StartPermission:
        """Return whether tasks may start and why.

        The clock is read again, because the process may have been paused since
        the caller read it.
        """
        now = max(now, self.clock.now())
        own = LocalEvidence(
            self.revision, self.confirmed_at, self.may_reach_store, self._membership.started_at
        )
        return self._membership.start_permission(own, now)

    def may_start_tasks(self, now: float) -> bool:
        """Return whether tasks may start."""
        return not isinstance(self.start_permission(now), Stale)

    async def change(
        self, team: TeamId, base: Revision, edit: Edit, reason: str = ""
    ) -> ChangeOutcome:
        """Apply a team's change to the document.

        Parameters
        ----------
        base : Revision
            Revision on which the team based the change.
        """
        if self._stopped:
            return ChangeNotMade("this instance is shutting down; send the change to another one")
        request = ChangeRequest(team, base, edit, secrets.token_hex(8), reason)
        outcome = await self._changes.apply(request)
        if isinstance(outcome, ChangeAccepted):
            warnings = placement_warnings(self.document, self._worker_racks)
            return replace(outcome, warnings=warnings)
        return outcome

    async def history(self, limit: int) -> tuple[ChangeRecord, ...] | None:
        """Return up to ``limit`` audit records, newest first; None if the store is unavailable."""
        records = await self._history.list(self.document.last_change)
        return None if isinstance(records, Unavailable) else records[::-1][:limit]

    def guarantee_shares(self, domain: DomainId) -> tuple[Guarantee, ...]:
        """Return each guarantee with the number of gangs that a domain must honour.

        Cached until another revision is adopted, because every submission and
        every waiting job of a draining domain needs them.
        """
        if domain not in self._guarantee_shares:
            self._guarantee_shares[domain] = guarantee_shares(self.document, domain)
        return self._guarantee_shares[domain]

    def adopt(self, document: Document, version: Version | None = None) -> None:
        """Put a revision in force if it is higher than the current one."""
        if document.revision <= self.document.revision:
            return
        self.document = document
        self._guarantee_shares = {}
        self._version = version
        log_event(LogEvent.DOCUMENT_ADOPTED, revision=document.revision)
        self.fire(document_adopted(document))

    def _tick(self, now: float) -> None:
        unconfirmed = MAX_UNCONFIRMED_HEARTBEATS * self._timing.heartbeat
        if self._leads() or now - self.confirmed_at > unconfirmed or self.has_unresolved_change:
            self.run_task(self._refresh())
        record = self.document.last_change
        if self._leads() and not self._history.is_written(record):
            self.run_task(self._history.ensure(record))
        self._log_permission(now)

    async def _refresh(self) -> None:
        """Read the document; the store sends its content only if its version changed."""
        requested_at = self.clock.now()
        outcome = await self._store.get(DOCUMENT_KEY, self._version)
        self._record_reachable(not isinstance(outcome, Unavailable))
        if isinstance(outcome, Unavailable):
            return
        unknown_since = self._changes.unknown_since
        if unknown_since is not None and requested_at >= unknown_since:
            self._changes.unknown_since = None
        if isinstance(outcome, Unmodified) or (isinstance(outcome, Missing) and not self.revision):
            self._confirm(requested_at)
        elif isinstance(outcome, Found):
            self._adopt_stored(outcome.entry, requested_at)

    def _adopt_stored(self, entry: Entry, requested_at: float) -> None:
        """Adopt and confirm the stored document; log it and do neither if invalid or lower."""
        try:
            document = decode_document(entry.value)
        except DocumentError as exc:
            self._reject(entry, str(exc))
            return
        if document.revision < self.revision:
            self._reject(
                entry,
                f"the stored revision {document.revision} is lower than {self.revision} in force;"
                " replace the whole document",
            )
            return
        self.adopt(document, entry.version)
        self._version = entry.version
        self._confirm(requested_at)

    def _reject(self, entry: Entry, error: str) -> None:
        if entry.version != self._rejected_version:
            log_event(LogEvent.DOCUMENT_INVALID, error=error, version=entry.version)
        self._rejected_version = entry.version

    def _confirm(self, confirmed_at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def _record_accepted(
        self, document: Document, version: Version | None, requested_at: float
    ) -> None:
        self.adopt(document, version)
        if document.revision == self.revision:
            self._confirm(requested_at)
        self.run_task(self._history.ensure(document.last_change))

    def _document_at_highest_revision(self) -> Document:
        """Return the document in force, renumbered to the highest revision in the region."""
        peers = self._membership.table.all()
        highest = max([self.revision, *(peer.revision for peer in peers)])
        return replace(self.document, revision=highest)

    def _record_reachable(self, reachable: bool) -> None:
        if reachable != self.store_reachable:
            event = LogEvent.STORE_REACHABLE if reachable else LogEvent.STORE_UNREACHABLE
            log_event(event)
        self.store_reachable = reachable

    def _log_permission(self, now: float) -> None:
        permission = self.start_permission(now)
        if type(permission) is not self._permission:
            self._permission = type(permission)
            log_event(
                LogEvent.START_PERMISSION,
                permission=type(permission).__name__,
                reason=permission.reason if isinstance(permission, Stale) else "",
            )

    @handler("heartbeat_received")
    def _on_heartbeat_received(self, peer: PeerState) -> None:
        if self._stopped:
            return
        if peer.revision <= self.revision:
            self._confirm(peer.confirmed_at)
        elif peer.instance not in self._fetching and len(self._fetching) < MAX_CONCURRENT_FETCHES:
            self.run_task(self._fetch(peer.instance))

    async def _fetch(self, peer: InstanceId) -> None:
        """Fetch and adopt the document of a peer with a higher revision."""
        requested_at = self.clock.now()
        self._fetching.add(peer)
        try:
            reply = await self._peers.call(peer, GET_DOCUMENT, None, self._timing.peer_timeout)
        finally:
            self._fetching.discard(peer)
        if isinstance(reply, PeerFailure):
            return
        try:
            document = decode_document(reply["document"])
            age = float(reply["confirmed_age"])
        except (DocumentError, KeyError, TypeError, ValueError) as exc:
            log_event(LogEvent.DOCUMENT_INVALID, error=str(exc), peer=peer)
            return
        self.adopt(document)
        if document.revision <= self.revision:
            self._confirm(requested_at - age)

    async def _serve_document(self) -> dict[str, Any]:
        return {
            "document": encode_document(self.document),
            "confirmed_age": self.confirmed_age(self.clock.now()),
        }

    @handler("instances_listed")
    def _on_instances_listed(self, instances: tuple[Instance, ...]) -> None:
        self._worker_racks = tuple(
            (item.rack, item.accelerators) for item in instances if item.kind is InstanceKind.WORKER
        )
