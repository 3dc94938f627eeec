"""Local copy of the operators' desired state, with the time since it was last confirmed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.batch import Catalog
from chivefall.controllers._base import Controller
from chivefall.controllers.batch._mirror import PrefixMirror
from chivefall.errors import MessageError
from chivefall.runtime import wait_for
from chivefall.store import ABSENT, Found, Version
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.batch import BatchTiming, PlatformCodec
    from chivefall.model import DomainId
    from chivefall.runtime import Clock, Future
    from chivefall.store import Entry, Store

__all__ = ["CatalogController"]

REFRESH_TIMEOUT_SECONDS = 0.4
"""Time limit for a read that requests are waiting for.

The store responds in 4 ms, or within 0.25 s when it is slow.
"""
REFRESH_BACKOFF_SECONDS = 1.0  # after a failed read; requests are refused without another read


class CatalogController(Controller):
    """Keeps a local copy of the operators' desired state; runs in every instance.

    Attributes
    ----------
    catalog : Catalog
        Newest version read; version 0 until one has been read.
    version : Version
        The store's version of the catalog key; ABSENT until a valid catalog has been read.
        If the newest version cannot be decoded, ``catalog`` is the last one that could.
    domains_out_of_service : frozenset of DomainId
        Failure domains that operators have taken out of service.
    """

    def __init__(
        self, clock: Clock, store: Store, codec: PlatformCodec, timing: BatchTiming
    ) -> None:
        super().__init__(clock)
        self._max_age = timing.max_catalog_age
        self._store = store
        self._codec = codec
        self._mirror = PrefixMirror(
            clock,
            store,
            codec.operator_prefix,
            self._apply,
            lambda: not self.is_stopped,
            timing.watch_wait,
        )
        self._confirmed_at = float("-inf")
        self._refresh_failed_at = float("-inf")
        self._pending_read: Future[None] | None = None
        self._listeners: list[Callable[[], None]] = []
        self._invalid_version = ABSENT
        self.catalog = Catalog()
        self.version = ABSENT
        self.domains_out_of_service: frozenset[DomainId] = frozenset()

    @property
    def key(self) -> str:
        """Return the store key of the catalog, for use in write conditions."""
        return self._codec.catalog_key

    @property
    def is_loaded(self) -> bool:
        """Return whether a catalog has been read."""
        return self.version != ABSENT

    def start(self) -> None:
        """Start watching the operators' keys."""
        self.run_task(self._mirror.run())

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change to the catalog or the domains out of service."""
        self._listeners.append(listener)

    def age(self, now: float) -> float:
        """Return the seconds since the catalog was last confirmed to be the newest version."""
        return now - max(self._mirror.confirmed_at, self._confirmed_at)

    def is_fresh(self, now: float) -> bool:
        """Return whether the catalog is recent enough to decide requests."""
        return self.is_loaded and self.age(now) <= self._max_age

    async def refresh(self, now: float) -> None:
        """Read the catalog from the store, unless a read failed a moment ago.

        Concurrent requests share one read.
        """
        if now - self._refresh_failed_at < REFRESH_BACKOFF_SECONDS:
            return
        if self._pending_read is None or self._pending_read.done():
            self._pending_read = self.run_task(self._read())
        await wait_for(self.clock, self._pending_read, REFRESH_TIMEOUT_SECONDS, None)
        if not self.is_fresh(self.clock.now()):
            self._refresh_failed_at = self.clock.now()

    async def _read(self) -> None:
        requested_at = self.clock.now()
        found = await self._store.get(self.key)
        if isinstance(found, Found):
            self.adopt(found.entry)
            self._confirmed_at = max(self._confirmed_at, requested_at)

    def adopt(self, entry: Entry) -> None:
        """Replace the catalog if the entry is newer and valid."""
        if entry.version <= self.version:
            return
        try:
            catalog = self._codec.decode_catalog(entry.value)
        except MessageError as exc:
            self._record_invalid(entry, str(exc))
            return
        self.catalog, self.version = catalog, Version(entry.version)
        log_event(
            LogEvent.CATALOG_ADOPTED,
            version=catalog.version,
            store_version=entry.version,
            queues=len(catalog.queues),
            accounts=len(catalog.accounts),
        )
        self._notify()

    def _record_invalid(self, entry: Entry, reason: str) -> None:
        """Keep the last valid catalog, and its conditions for writes, in force.

        Writes are conditional on the version of the key, so it moves on; otherwise all of
        them would be refused until the operators write again.
        """
        if entry.version <= self._invalid_version:
            return
        self._invalid_version = Version(entry.version)
        log_event(LogEvent.CATALOG_INVALID, version=entry.version, reason=reason)
        if self.is_loaded:
            self.version = self._invalid_version

    def _apply(
        self, entries: tuple[Entry, ...], deleted: tuple[str, ...], is_snapshot: bool
    ) -> None:
        for entry in entries:
            if entry.key == self.key:
                self.adopt(entry)
        domains = set() if is_snapshot else set(self.domains_out_of_service)
        for entry in entries:
            domain = self._codec.domain_out_of_service(entry.key)
            if domain is not None:
                domains.add(domain)
        domains -= {self._codec.domain_out_of_service(key) for key in deleted}
        if frozenset(domains) != self.domains_out_of_service:
            self.domains_out_of_service = frozenset(domains)
            log_event(LogEvent.DOMAINS_OUT, domains=sorted(domains))
            self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
