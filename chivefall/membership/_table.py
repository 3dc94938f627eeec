"""Table of the entry instances that this instance hears."""

from __future__ import annotations

from dataclasses import dataclass

from chivefall.model import DomainId, Epoch, InstanceId, Revision

__all__ = ["PeerState", "PeerTable"]


@dataclass(frozen=True)
class PeerState:
    """What a peer's last heartbeat said.

    Attributes
    ----------
    heard_at : float
        Time of its arrival, in seconds since the epoch by the local clock.
    confirmed_at : float
        Latest local time at which the store had confirmed the peer's revision.
    capacity : tuple of int
        Free accelerators, largest free block of a rack, queue length.
    """

    instance: InstanceId
    failure_domain: DomainId
    incarnation: str
    address: str
    heard_at: float
    revision: Revision
    confirmed_at: float
    store_reachable: bool
    leader_epoch: Epoch
    capacity: tuple[int, ...]


class PeerTable:
    """The last heartbeat of each peer."""

    def __init__(self) -> None:
        self._peers: dict[InstanceId, PeerState] = {}

    def record(self, peer: PeerState) -> None:
        """Store a peer's heartbeat."""
        self._peers[peer.instance] = peer

    def heard_since(self, since: float) -> list[PeerState]:
        """Return the peers heard at or after a time."""
        return [peer for peer in self._peers.values() if peer.heard_at >= since]

    def leader_of(self, domain: DomainId, since: float) -> PeerState | None:
        """Return the peer that leads a failure domain with the highest epoch."""
        leaders = [
            peer
            for peer in self.heard_since(since)
            if peer.failure_domain == domain and peer.leader_epoch
        ]
        return max(leaders, key=lambda peer: peer.leader_epoch, default=None)
