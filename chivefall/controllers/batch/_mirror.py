"""List and watch of all keys under a prefix, to keep a local copy up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.runtime import sleep
from chivefall.store import Changed, HistoryLost, Listed, Unavailable
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.runtime import Clock
    from chivefall.store import Entry, Store, Version

__all__ = ["PrefixMirror"]

RETRY_DELAY_SECONDS = 0.25  # after a failed call to the store


class PrefixMirror:
    """Lists a prefix, then watches it, and passes each change to a callback.

    Parameters
    ----------
    apply : callable
        Called with the changed entries, the deleted keys, and whether the
        entries are a complete snapshot of the prefix.
    is_active : callable
        Returns whether to continue; checked after each response.
    watch_wait : float
        Wait of a watch in seconds; each response confirms the copy, so this bounds its age.
    min_interval : float
        Minimum seconds between two watches. Changes within it arrive in one
        response, which reduces the number of store calls.

    Attributes
    ----------
    confirmed_at : float
        Latest time at which the copy was known to be complete, in seconds since
        the Unix epoch. This is the time before the call was sent, since the response
        may have been delayed.
    """

    def __init__(
        self,
        clock: Clock,
        store: Store,
        prefix: str,
        apply: Callable[[tuple[Entry, ...], tuple[str, ...], bool], None],
        is_active: Callable[[], bool],
        watch_wait: float,
        min_interval: float = 0.0,
    ) -> None:
        self._clock = clock
        self._store = store
        self._prefix = prefix
        self._apply = apply
        self._is_active = is_active
        self._watch_wait = watch_wait
        self._min_interval = min_interval
        self._version: Version | None = None
        self._reachable = True
        self.confirmed_at = float("-inf")

    async def run(self) -> None:
        """List and watch the prefix until the mirror is no longer active."""
        while self._is_active():
            requested_at = self._clock.now()
            if self._version is None:
                outcome = await self._store.list(self._prefix)
            else:
                outcome = await self._store.watch(self._prefix, self._version, self._watch_wait)
            if not self._is_active():
                return
            self._record_reachable(outcome)
            if isinstance(outcome, Unavailable):
                await sleep(self._clock, RETRY_DELAY_SECONDS)
            elif isinstance(outcome, HistoryLost):
                log_event(LogEvent.HISTORY_LOST, prefix=self._prefix, after=self._version)
                self._version = None
            else:
                await self._apply_or_relist(outcome, requested_at)
                wait = requested_at + self._min_interval - self._clock.now()
                if wait > 0:
                    await sleep(self._clock, wait)

    async def _apply_or_relist(self, outcome, requested_at: float) -> None:
        try:
            self._apply_outcome(outcome, requested_at)
        except Exception as exc:  # noqa: BLE001 - logged; the mirror must not stop
            log_event(
                LogEvent.UNHANDLED_ERROR, controller=f"mirror {self._prefix}", error=repr(exc)
            )
            self._version = None
            await sleep(self._clock, RETRY_DELAY_SECONDS)

    def _apply_outcome(self, outcome, requested_at: float) -> None:
        self._version = outcome.version
        self.confirmed_at = max(self.confirmed_at, requested_at)
        if isinstance(outcome, Listed):
            self._apply(outcome.entries, (), True)
        elif isinstance(outcome, Changed):
            self._apply(outcome.entries, outcome.deleted, False)

    def _record_reachable(self, outcome) -> None:
        reachable = not isinstance(outcome, Unavailable)
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            log_event(LogEvent.STORE_REACHABLE, prefix=self._prefix)
        else:
            log_event(LogEvent.STORE_UNREACHABLE, prefix=self._prefix, reason=outcome.reason)
