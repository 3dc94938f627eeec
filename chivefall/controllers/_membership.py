"""Heartbeats between instances and the membership that follows from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from circuits import handler

from chivefall.config import Address
from chivefall.controllers._base import Controller
from chivefall.errors import ConfigError
from chivefall.events import heartbeat_received
from chivefall.membership import (
    LocalEvidence,
    Members,
    PeerState,
    PeerTable,
    StartPermission,
    start_permission,
)
from chivefall.model import DomainId, Epoch, InstanceId, InstanceKind, Revision

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.config import Settings
    from chivefall.net import Envelope, Heartbeat, Peers
    from chivefall.runtime import Clock
    from chivefall.workers import Instance

__all__ = ["MembershipController"]

MAX_MISSED_HEARTBEATS = 3
UNLISTED_PEER_RETENTION_SECONDS = 600.0


class MembershipController(Controller):
    """Sends heartbeats and stores those received from peers.

    Parameters
    ----------
    build_heartbeat : callable
        Returns the heartbeat of this instance for a time in seconds since the Unix epoch.
    """

    def __init__(
        self,
        clock: Clock,
        cfg: Settings,
        peers: Peers,
        build_heartbeat: Callable[[float], Heartbeat],
    ) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._peers = peers
        self._build_heartbeat = build_heartbeat
        self._configured = {name: Address.parse(address) for name, address in cfg.peers.items()}
        self._listed: dict[InstanceId, Address] = {}
        # Incarnation, send time and local receive time of each peer's last heartbeat.
        self._last_received: dict[InstanceId, tuple[str, float, float]] = {}
        self.started_at = clock.now()
        self.table = PeerTable()
        self.members = Members(cfg.instance, self._configured)
        peers.set_peers(self._configured)
        peers.set_heartbeat_handler(self._record_heartbeat)

    def start(self) -> None:
        """Start sending heartbeats."""
        self.every(self._cfg.timing.heartbeat, self._send_heartbeats)

    def stop(self) -> None:
        """Announce to the peers that this instance is leaving and makes no more changes."""
        super().stop()
        self._send_heartbeats(self.clock.now(), leaving=True)

    def start_permission(self, own: LocalEvidence, now: float) -> StartPermission:
        """Return whether tasks may start under this instance's document."""
        members = self.members.since(own.confirmed_at, self.table)
        return start_permission(own, self.table, members, now, self._cfg.timing.freshness)

    def leader_of(self, domain: DomainId, now: float) -> PeerState | None:
        """Return the peer that leads a failure domain, if it sent a recent heartbeat."""
        timeout = MAX_MISSED_HEARTBEATS * self._cfg.timing.heartbeat
        return self.table.find_leader(domain, now - timeout)

    def _send_heartbeats(self, now: float, leaving: bool = False) -> None:
        """Send each peer a heartbeat that echoes the send time of its last one."""
        message = self._build_heartbeat(now)
        message = msgspec.structs.replace(
            message,
            # A change of unknown outcome may still take effect after this instance stops.
            leaving=leaving and not message.change_open,
            uptime=now - self.started_at,
            sent_at=now,
        )
        for name in self._addresses():
            incarnation, sent_at, received_at = self._last_received.get(name, ("", 0.0, now))
            self._peers.send(
                name,
                msgspec.structs.replace(
                    message,
                    echo_incarnation=incarnation,
                    echo_sent_at=sent_at,
                    echo_held=now - received_at,
                ),
            )

    def _record_heartbeat(self, envelope: Envelope, message: Heartbeat) -> None:
        """Store a received heartbeat, with its times converted to the local clock."""
        now = self.clock.now()
        sent_at = float("-inf")
        if message.echo_incarnation == self._peers.incarnation:
            sent_at = min(now, message.echo_sent_at + message.echo_held)
        name = InstanceId(envelope.sender)
        peer = PeerState(
            name,
            DomainId(message.failure_domain),
            envelope.incarnation,
            envelope.address,
            now,
            Revision(message.revision),
            sent_at - message.confirmed_age,
            message.store_reachable or message.change_open,
            Epoch(message.leader_epoch),
            message.capacity,
            sent_at,
            now - message.uptime,
            message.leaving,
        )
        is_new = self.table.get(name) is None
        if not self.table.record(peer):
            return
        self._last_received[name] = (envelope.incarnation, message.sent_at, now)
        if is_new:
            self._connect()
        self.fire(heartbeat_received(peer))

    def _addresses(self) -> dict[InstanceId, Address]:
        """Return the addresses of peers in the settings, the platform's list and the table."""
        announced = {}
        for peer in self.table.all():
            try:
                announced[peer.instance] = Address.parse(peer.address)
            except ConfigError:
                continue
        addresses = {**announced, **self._configured, **self._listed}
        addresses.pop(self._cfg.instance, None)
        return addresses

    def _connect(self) -> None:
        self._peers.set_peers(self._addresses())

    @handler("document_adopted")
    def _on_document_adopted(self, _document: object) -> None:
        if not self._stopped:
            self._send_heartbeats(self.clock.now())

    @handler("instances_listed")
    def _on_instances_listed(self, instances: tuple[Instance, ...]) -> None:
        now = self.clock.now()
        self._listed = {
            item.instance: Address.parse(item.address)
            for item in instances
            if item.kind is InstanceKind.ENTRY
        }
        self.members.update_listed(self._listed, now)
        self.members.prune(now - UNLISTED_PEER_RETENTION_SECONDS, self.table)
        for name in set(self._last_received) - {peer.instance for peer in self.table.all()}:
            del self._last_received[name]
        self._connect()
