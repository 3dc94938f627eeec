"""Decides whether tasks may start under the current document."""

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
    """The store recently confirmed the revision in force."""


@dataclass(frozen=True)
class StoreOutage:
    """No member can reach the store, so no change can have been accepted."""


@dataclass(frozen=True)
class Stale:
    """A change that this instance has not received may have been accepted."""

    reason: str


StartPermission = Union[Fresh, StoreOutage, Stale]


@dataclass(frozen=True)
class LocalEvidence:
    """State of this instance on which the decision rests.

    Times are in seconds since the Unix epoch.

    Attributes
    ----------
    confirmed_at : float
        A time at which the store had no higher revision than the one in force,
        known from a read of the store or from a peer.
    may_reach_store : bool
        Whether this instance may have written to the store since its last
        failed call.
    started_at : float
        Time at which this process started.
    """

    revision: Revision
    confirmed_at: float
    may_reach_store: bool
    started_at: float


def start_permission(
    own: LocalEvidence,
    table: PeerTable,
    members: Iterable[InstanceId],
    now: float,
    freshness: float,
) -> StartPermission:
    """Return whether tasks may start and why.

    Parameters
    ----------
    members : iterable of InstanceId
        All other instances that were members at or after ``own.confirmed_at``.
    freshness : float
        Seconds for which a confirmation or a heartbeat is valid.
    """
    if not own.revision:
        return Stale("no document is in force")
    for peer in table.all():
        if peer.revision > own.revision:
            return Stale(f"peer {peer.instance} has the higher revision {peer.revision}")
    if now - own.confirmed_at <= freshness:
        return Fresh()
    if own.may_reach_store:
        return Stale("the store may be reachable but has not confirmed the document recently")
    if own.started_at > own.confirmed_at:
        return Stale("this process started after the last confirmation")
    for name in members:
        peer = table.get(name)
        if peer is None or now - peer.sent_at > freshness:
            return Stale(f"no recent heartbeat from {name}, which may have accepted a change")
        if reason := _may_have_changed(peer, own.confirmed_at):
            return Stale(reason)
    return StoreOutage()


def _may_have_changed(peer: PeerState, confirmed_at: float) -> str:
    """Return why a peer may have accepted a change since a time; empty if it cannot have."""
    if peer.may_reach_store:
        return f"{peer.instance} may be able to write to the store"
    if peer.started_at > confirmed_at:
        # Its predecessor may have accepted a change and crashed before it sent any heartbeat.
        return f"{peer.instance} started after the last confirmation"
    return ""
