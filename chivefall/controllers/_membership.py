"""Heartbeats between instances and the table of peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from circuits import handler

from chivefall.config import Address
from chivefall.controllers._base import Controller
from chivefall.membership import PeerState, PeerTable
from chivefall.model import DomainId, Epoch, InstanceId, InstanceKind, Revision

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.config import Settings
    from chivefall.net import Envelope, Heartbeat, Peers
    from chivefall.runtime import Clock
    from chivefall.workers import Instance

__all__ = ["MembershipController"]

HEARTBEATS_TO_LOSS = 3


class MembershipController(Controller):
    """Sends heartbeats and keeps those of the peers."""

    def __init__(
        self,
        clock: Clock,
        cfg: Settings,
        peers: Peers,
        describe: Callable[[float], Heartbeat],
    ) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._peers = peers
        self._describe = describe
        self._configured = {name: Address.parse(address) for name, address in cfg.peers.items()}
        self.table = PeerTable()
        peers.set_peers(self._configured)
        peers.on_heartbeat(self._record_heartbeat)

    def start(self) -> None:
        """Begin to send heartbeats."""
        self.every(
            self._cfg.timing.heartbeat, lambda now: self._peers.broadcast(self._describe(now))
        )

    def _record_heartbeat(self, envelope: Envelope, message: Heartbeat) -> None:
        """Store a received heartbeat."""
        now = self.clock.now()
        self.table.record(
            PeerState(
                InstanceId(envelope.sender),
                DomainId(message.failure_domain),
                envelope.incarnation,
                envelope.address,
                now,
                Revision(message.revision),
                now - message.confirmed_age,
                message.store_reachable,
                Epoch(message.leader_epoch),
                message.capacity,
            )
        )

    def leader_of(self, domain: DomainId, now: float) -> PeerState | None:
        """Return the peer that leads a failure domain, if one was heard lately."""
        silence = HEARTBEATS_TO_LOSS * self._cfg.timing.heartbeat
        return self.table.leader_of(domain, now - silence)

    @handler("instances_listed")
    def _on_instances_listed(self, instances: tuple[Instance, ...]) -> None:
        listed = {
            item.instance: Address.parse(item.address)
            for item in instances
            if item.kind is InstanceKind.ENTRY
        }
        self._peers.set_peers({**self._configured, **listed})
