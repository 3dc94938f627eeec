"""Known members of the region and the times of their membership."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.membership._table import PeerTable
    from chivefall.model import InstanceId

__all__ = ["Members"]


class Members:
    """The entry instances that can change the document.

    A member that was dropped from the platform's list may have accepted a change
    shortly before, so it still counts as a member for any earlier time.
    """

    def __init__(self, own: InstanceId, configured: Iterable[InstanceId]) -> None:
        self._own = own
        self._configured = frozenset(configured) - {own}
        self._listed: frozenset[InstanceId] = frozenset()
        self._last_listed: dict[InstanceId, float] = {}

    @property
    def present(self) -> frozenset[InstanceId]:
        """Return the members in the settings and in the platform's latest list."""
        return self._configured | self._listed

    def update_listed(self, listed: Iterable[InstanceId], now: float) -> None:
        """Replace the members taken from the platform's list."""
        present = frozenset(listed) - {self._own}
        for name in self._listed - present:
            self._last_listed[name] = now
        self._listed = present

    def since(self, since: float, table: PeerTable) -> frozenset[InstanceId]:
        """Return all instances that were members at or after a time, except leaving peers."""
        dropped = {name for name, last in self._last_listed.items() if last >= since}
        active = {peer.instance for peer in table.all() if peer.received_at >= since}
        leaving = {peer.instance for peer in table.all() if peer.leaving}
        return (self.present | dropped | active) - leaving - {self._own}

    def prune(self, before: float, table: PeerTable) -> None:
        """Remove members that were not listed and sent no heartbeat since a time."""
        for name in [name for name, last in self._last_listed.items() if last < before]:
            del self._last_listed[name]
        for peer in table.all():
            if peer.received_at < before and peer.instance not in self.present:
                table.remove(peer.instance)
