"""The known members of the region, and when they were members."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.membership._table import PeerTable
    from chivefall.model import InstanceId

__all__ = ["Members"]


class Members:
    """The entry instances that may change the document.

    A member that left the platform's list may have accepted a change shortly
    before, so it counts as a member for evidence about any earlier time.
    """

    def __init__(self, own: InstanceId, configured: Iterable[InstanceId]) -> None:
        self._own = own
        self._configured = frozenset(configured) - {own}
        self._listed: frozenset[InstanceId] = frozenset()
        self._last_listed: dict[InstanceId, float] = {}

    @property
    def present(self) -> frozenset[InstanceId]:
        """Return the members in the settings and in the platform's last list."""
        return self._configured | self._listed

    def update_listed(self, listed: Iterable[InstanceId], now: float) -> None:
        """Replace the members of the platform's list."""
        present = frozenset(listed) - {self._own}
        for name in self._listed - present:
            self._last_listed[name] = now
        self._listed = present

    def since(self, since: float, table: PeerTable) -> frozenset[InstanceId]:
        """Return all members at or after a time, less those that announced leaving."""
        dropped = {name for name, last in self._last_listed.items() if last >= since}
        heard = {peer.instance for peer in table.all() if peer.received_at >= since}
        left = {peer.instance for peer in table.all() if peer.leaving}
        return (self.present | dropped | heard) - left - {self._own}

    def prune(self, before: float, table: PeerTable) -> None:
        """Forget members that were neither listed nor heard after a time."""
        for name in [name for name, last in self._last_listed.items() if last < before]:
            del self._last_listed[name]
        for peer in table.all():
            if peer.received_at < before and peer.instance not in self.present:
                table.forget(peer.instance)
