"""Table of the latest heartbeat received from each peer."""

from __future__ import annotations

from dataclasses import dataclass

from chivefall.model import DomainId, Epoch, InstanceId, Revision

__all__ = ["PeerState", "PeerTable"]

NEVER = float("-inf")
MAX_PAST_INCARNATIONS = 4  # kept per peer, to ignore late messages of replaced processes
MAX_MESSAGE_DELAY_SECONDS = 10.0  # after which a silent process no longer hides an earlier start


@dataclass(frozen=True)
class PeerState:
    """State of a peer as of its latest heartbeat.

    Times are in seconds since the Unix epoch, on the local clock. A message may be
    delayed anywhere, also while this process is paused, so its arrival time says
    nothing about its age. Therefore each heartbeat echoes the send time of the
    last heartbeat that the peer received from this instance. Times derived from
    this echo are never later than the true ones.

    Attributes
    ----------
    received_at : float
        Time at which the heartbeat was received.
    sent_at : float
        Earliest time at which the peer can have sent it; minus infinity until
        the peer has received a heartbeat from this instance.
    confirmed_at : float
        A time at which the store had no higher revision than the peer's.
    started_at : float
        Latest time at which the peer's process can have started.
    may_reach_store : bool
        Whether the peer may have written to the store since its last failed call.
    leaving : bool
        Whether the peer announced that it is shutting down and makes no more changes.
    capacity : tuple of int
        Free accelerators, largest free block in one rack, queue length.
    """

    instance: InstanceId
    failure_domain: DomainId
    incarnation: str
    address: str
    received_at: float
    revision: Revision
    confirmed_at: float
    may_reach_store: bool
    leader_epoch: Epoch
    capacity: tuple[int, ...]
    sent_at: float = NEVER
    started_at: float = float("inf")
    leaving: bool = False


def _is_late(peer: PeerState, known: PeerState) -> bool:
    """Return whether a heartbeat comes from a process that ``known`` has replaced.

    Start times are only known as upper bounds, so a process that started earlier is believed
    once the known one has been silent.
    """
    return (
        peer.incarnation != known.incarnation
        and peer.started_at < known.started_at
        and peer.received_at - known.received_at < MAX_MESSAGE_DELAY_SECONDS
    )


class PeerTable:
    """The latest heartbeat of each peer."""

    def __init__(self) -> None:
        self._peers: dict[InstanceId, PeerState] = {}
        self._past_incarnations: dict[InstanceId, tuple[str, ...]] = {}

    def record(self, peer: PeerState) -> bool:
        """Store a peer's heartbeat; return False if it comes from a replaced process."""
        past = self._past_incarnations.get(peer.instance, ())
        if peer.incarnation in past:
            return False
        known = self._peers.get(peer.instance)
        if known is not None and _is_late(peer, known):
            return False
        if known is not None and known.incarnation != peer.incarnation:
            self._past_incarnations[peer.instance] = (*past, known.incarnation)[
                -MAX_PAST_INCARNATIONS:
            ]
        self._peers[peer.instance] = peer
        return True

    def get(self, instance: InstanceId) -> PeerState | None:
        """Return a peer's state, or None if it is unknown."""
        return self._peers.get(instance)

    def all(self) -> tuple[PeerState, ...]:
        """Return all peers in the table."""
        return tuple(self._peers.values())

    def remove(self, instance: InstanceId) -> None:
        """Remove a peer."""
        self._peers.pop(instance, None)
        self._past_incarnations.pop(instance, None)

    def active_since(self, since: float) -> list[PeerState]:
        """Return peers whose latest heartbeat arrived at or after ``since``, unless leaving."""
        return [
            peer for peer in self._peers.values() if peer.received_at >= since and not peer.leaving
        ]

    def find_leader(self, domain: DomainId, since: float) -> PeerState | None:
        """Return the leader of a failure domain among the peers active since ``since``, or None.

        If several peers report that they lead, the one with the highest epoch is returned.
        """
        leaders = [
            peer
            for peer in self.active_since(since)
            if peer.failure_domain == domain and peer.leader_epoch
        ]
        return max(leaders, key=lambda peer: peer.leader_epoch, default=None)
