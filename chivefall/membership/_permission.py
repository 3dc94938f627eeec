"""The decision whether tasks may start on the present document."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Union

from chivefall.model import Revision

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.membership._table import PeerState, PeerTable
    from chivefall.model import InstanceId

__all__ = ["Fresh", "LocalEvidence", "Stale", "StartPermission", "StoreOutage", "start_permission"]


@dataclass(frozen=True)
class Fresh:
    """The store confirmed the revision in force a short time ago."""


@dataclass(frozen=True)
class StoreOutage:
    """No member can reach the store, so no change can have been accepted."""


@dataclass(frozen=True)
class Stale:
    """A change may have been accepted that this instance does not know."""

    reason: str


StartPermission = Union[Fresh, StoreOutage, Stale]


@dataclass(frozen=True)
class LocalEvidence:
    """What this instance knows by itself.

    Attributes
    ----------
    confirmed_at : float
        A time at which the store had no higher revision than the one in force,
        as this instance read it or a peer told it.
    store_reachable : bool
        Whether this instance may have written to the store since its last
        failed call.
    started_at : float
        Time at which this process started.
    """

    revision: Revision
    confirmed_at: float
    store_reachable: bool
    started_at: float


def start_permission(
    own: LocalEvidence,
    table: PeerTable,
    members: Iterable[InstanceId],
    now: float,
    freshness: float,
) -> StartPermission:
    """Return whether tasks may start, and on which evidence.

    Parameters
    ----------
    members : iterable of InstanceId
        All other instances that were members at or after ``own.confirmed_at``.
    freshness : float
        Seconds for which a confirmation or a heartbeat is evidence.
    """
    if not own.revision:
        return Stale("no document is in force")
    for peer in table.all():
        if peer.revision > own.revision:
            return Stale(f"{peer.instance} has the higher revision {peer.revision}")
    if now - own.confirmed_at <= freshness:
        return Fresh()
    if own.store_reachable:
        return Stale("the store did not confirm the document, although it may be reachable")
    if own.started_at > own.confirmed_at:
        return Stale("this process started after the last confirmation")
    for name in members:
        peer = table.get(name)
        if peer is None or now - peer.sent_at > freshness:
            return Stale(f"{name} was not heard and may have accepted a change")
        if reason := _may_have_changed(peer, own.confirmed_at):
            return Stale(reason)
    return StoreOutage()


def _may_have_changed(peer: PeerState, confirmed_at: float) -> str:
    """Return why a heard peer may have accepted a change since a time; empty if not."""
    if peer.store_reachable:
        return f"{peer.instance} may reach the store"
    if peer.started_at > confirmed_at:
        # Its predecessor may have accepted a change and crashed before it told anyone.
        return f"{peer.instance} started after the last confirmation"
    return ""
