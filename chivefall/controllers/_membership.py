"""Heartbeats between instances, the table of peers and the known members."""

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

HEARTBEATS_TO_LOSS = 3
FORGET_AFTER = 600.0  # seconds after which a peer that is in no list is forgotten


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
        self._listed: dict[InstanceId, Address] = {}
        self._last_sent: dict[InstanceId, tuple[str, float, float]] = {}
        self.started_at = clock.now()
        self.table = PeerTable()
        self.members = Members(cfg.instance, self._configured)
        peers.set_peers(self._configured)
        peers.on_heartbeat(self._record_heartbeat)

    def start(self) -> None:
        """Begin to send heartbeats."""
        self.every(self._cfg.timing.heartbeat, self._send_heartbeats)

    def stop(self) -> None:
        """Tell the peers that this instance leaves and changes nothing more."""
        super().stop()
        self._send_heartbeats(self.clock.now(), leaving=True)

    def start_permission(self, own: LocalEvidence, now: float) -> StartPermission:
        """Return whether tasks may start on this instance's document."""
        members = self.members.since(own.confirmed_at, self.table)
        return start_permission(own, self.table, members, now, self._cfg.timing.freshness)

    def leader_of(self, domain: DomainId, now: float) -> PeerState | None:
        """Return the peer that leads a failure domain, if one was heard lately."""
        silence = HEARTBEATS_TO_LOSS * self._cfg.timing.heartbeat
        return self.table.leader_of(domain, now - silence)

    def _send_heartbeats(self, now: float, leaving: bool = False) -> None:
        """Send each peer a heartbeat that returns the time of its last one."""
        message = self._describe(now)
        message = msgspec.structs.replace(
            message,
            # A change of unknown outcome may take effect after the instance ends.
            leaving=leaving and not message.change_open,
            uptime=now - self.started_at,
            sent_at=now,
        )
        for name in self._addresses():
            incarnation, sent_at, received_at = self._last_sent.get(name, ("", 0.0, now))
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
        """Store a received heartbeat."""
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
        self._last_sent[name] = (envelope.incarnation, message.sent_at, now)
        if is_new:
            self._connect()
        self.fire(heartbeat_received(peer))

    def _addresses(self) -> dict[InstanceId, Address]:
        """Return the peers in the settings, the platform's list and the table."""
        heard = {}
        for peer in self.table.all():
            try:
                heard[peer.instance] = Address.parse(peer.address)
            except ConfigError:
                continue
        addresses = {**heard, **self._configured, **self._listed}
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
        self.members.prune(now - FORGET_AFTER, self.table)
        for name in set(self._last_sent) - {peer.instance for peer in self.table.all()}:
            del self._last_sent[name]
        self._connect()
