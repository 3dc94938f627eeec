"""Table of the entry instances that this instance hears."""

from __future__ import annotations

from dataclasses import dataclass

from chivefall.model import DomainId, Epoch, InstanceId, Revision

__all__ = ["PeerState", "PeerTable"]

NEVER = float("-inf")
PAST_INCARNATIONS = 4  # remembered for each peer, to ignore their late messages


@dataclass(frozen=True)
class PeerState:
    """What a peer's last heartbeat said.

    All times are local ones, in seconds since the epoch. A message may have
    waited anywhere, also while this process was paused, so its arrival proves
    nothing about its age. Each heartbeat returns the time of the last one that
    the peer got from here; no time that is derived from it is too late.

    Attributes
    ----------
    received_at : float
        Time of the heartbeat's arrival.
    sent_at : float
        Earliest time at which the peer can have sent it; minus infinity until
        the peer has heard from this instance.
    confirmed_at : float
        A time at which the store had no higher revision than the peer's.
    started_at : float
        Latest time at which the peer's process can have started.
    store_reachable : bool
        Whether the peer may have written to the store since its last failed call.
    leaving : bool
        Whether the peer announced that it ends and changes nothing more.
    capacity : tuple of int
        Free accelerators, largest free block of a rack, queue length.
    """

    instance: InstanceId
    failure_domain: DomainId
    incarnation: str
    address: str
    received_at: float
    revision: Revision
    confirmed_at: float
    store_reachable: bool
    leader_epoch: Epoch
    capacity: tuple[int, ...]
    sent_at: float = NEVER
    started_at: float = float("inf")
    leaving: bool = False


class PeerTable:
    """The last heartbeat of each peer."""

    def __init__(self) -> None:
        self._peers: dict[InstanceId, PeerState] = {}
        self._past: dict[InstanceId, tuple[str, ...]] = {}

    def record(self, peer: PeerState) -> bool:
        """Store a peer's heartbeat; return False for one of a replaced process."""
        past = self._past.get(peer.instance, ())
        if peer.incarnation in past:
            return False
        known = self._peers.get(peer.instance)
        if known is not None and known.incarnation != peer.incarnation:
            self._past[peer.instance] = (*past, known.incarnation)[-PAST_INCARNATIONS:]
        self._peers[peer.instance] = peer
        return True

    def get(self, instance: InstanceId) -> PeerState | None:
        """Return what a peer's last heartbeat said."""
        return self._peers.get(instance)

    def all(self) -> tuple[PeerState, ...]:
        """Return all peers that were ever heard and not forgotten."""
        return tuple(self._peers.values())

    def forget(self, instance: InstanceId) -> None:
        """Remove a peer."""
        self._peers.pop(instance, None)
        self._past.pop(instance, None)

    def active_since(self, since: float) -> list[PeerState]:
        """Return the peers heard at or after a time that are not leaving."""
        return [
            peer for peer in self._peers.values() if peer.received_at >= since and not peer.leaving
        ]

    def leader_of(self, domain: DomainId, since: float) -> PeerState | None:
        """Return the peer that leads a failure domain with the highest epoch."""
        leaders = [
            peer
            for peer in self.active_since(since)
            if peer.failure_domain == domain and peer.leader_epoch
        ]
        return max(leaders, key=lambda peer: peer.leader_epoch, default=None)
