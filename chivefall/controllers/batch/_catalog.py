"""The operators' desired state in force, and the age of its last confirmation."""

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

    from chivefall.batch import PlatformCodec
    from chivefall.model import DomainId
    from chivefall.runtime import Clock, Future
    from chivefall.store import Entry, Store

__all__ = ["CatalogController"]

MAX_CATALOG_AGE_SECONDS = 3.5
"""Age up to which the catalog is used without another read.

The operators' bound for revoked keys is 5 s; two waits of the watch are 3 s.
"""


REFRESH_TIMEOUT_SECONDS = 0.4
"""Longest wait for one read while requests wait for it.

The store answers in 4 ms, and within 0.25 s when it is slow.
"""
REFRESH_BACKOFF_SECONDS = (
    1.0  # after a read without an answer, in which requests are refused at once
)


class CatalogController(Controller):
    """Follows the operators' keys in every process.

    Attributes
    ----------
    catalog : Catalog
        Newest version read; version 0 until there is one.
    version : Version
        The store's version of the key that holds it.
    """

    def __init__(self, clock: Clock, store: Store, codec: PlatformCodec) -> None:
        super().__init__(clock)
        self._store = store
        self._codec = codec
        self._mirror = PrefixMirror(
            clock, store, codec.operator_prefix, self._apply, lambda: not self.is_stopped
        )
        self._confirmed_at = float("-inf")
        self._refresh_failed_at = float("-inf")
        self._pending_read: Future[None] | None = None
        self._listeners: list[Callable[[], None]] = []
        self.catalog = Catalog()
        self.version = ABSENT
        self.domains_out_of_service: frozenset[DomainId] = frozenset()

    @property
    def key(self) -> str:
        """Return the key whose version a write may depend on."""
        return self._codec.catalog_key

    @property
    def is_loaded(self) -> bool:
        """Return whether there is a desired state."""
        return self.version != ABSENT

    def start(self) -> None:
        """Begin to follow the operators' keys."""
        self.run_task(self._mirror.run())

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the catalog or of the domains in service."""
        self._listeners.append(listener)

    def age(self, now: float) -> float:
        """Return seconds since the catalog was certain to be the newest."""
        return now - max(self._mirror.confirmed_at, self._confirmed_at)

    def is_fresh(self, now: float) -> bool:
        """Return whether requests may be decided on the catalog."""
        return self.is_loaded and self.age(now) <= MAX_CATALOG_AGE_SECONDS

    async def refresh(self, now: float) -> None:
        """Read the desired state once, unless a read has just got no answer.

        Requests that need it meanwhile share one read.
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
        """Put a desired state in force unless it is older than the present one."""
        if entry.version <= self.version:
            return
        try:
            catalog = self._codec.decode_catalog(entry.value)
        except MessageError as exc:
            log_event(LogEvent.CATALOG_INVALID, version=entry.version, reason=str(exc))
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
