"""A region whose instances can be cut off, restarted and kept waiting for messages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from chivefall.model import DomainId, InstanceId
from standins.cluster import Cluster

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["NAMES", "TARGET", "FaultyRegion"]

DOMAINS = ("zarcero", "tarrazu", "cartago")
TARGET = DomainId("zarcero")
NAMES = [InstanceId(f"{domain}-{number}") for domain in DOMAINS for number in (1, 2)]


class FaultyRegion(Cluster):
    """A cluster without workers and the faults that fuzzing puts on it."""

    def __init__(self) -> None:
        super().__init__(DOMAINS, workers_per_domain=0)
        self.held: dict[InstanceId, list[Any]] = {}
        self.advance(4)

    def store_down(self, group: Iterable[InstanceId], down: bool = True) -> None:
        """Cut instances off from the store."""
        for name in group:
            self.stores[name].down = down

    def cut(self, group: set[InstanceId]) -> None:
        """Cut a group off from the others, in both directions."""
        others = set(NAMES) - group
        self.network.cut |= {frozenset((one, two)) for one in group for two in others}

    def silence(self, group: set[InstanceId]) -> None:
        """Cut a group's messages off, but not those to it."""
        others = set(NAMES) - group
        self.network.cut_one_way |= {(one, two) for one in group for two in others}

    def heal(self) -> None:
        """Connect all instances again."""
        self.network.cut.clear()
        self.network.cut_one_way.clear()

    def hold(self, group: Iterable[InstanceId]) -> None:
        """Let messages to instances wait, as they do in front of a paused process."""
        for name in set(group) - set(self.held):
            queue = self.held[name] = []
            self.network.peers[name]._receive_heartbeat = lambda *message, queue=queue: (
                queue.append(message)
            )

    def release(self) -> None:
        """Deliver all messages that wait."""
        for name, messages in self.held.items():
            del self.network.peers[name]._receive_heartbeat
            for message in messages:
                self.network.peers[name]._receive_heartbeat(*message)
        self.held.clear()
        self.settle()

    def end(self, name: InstanceId, graceful: bool) -> None:
        """Stop or crash an instance."""
        if graceful:
            self.applications[name].stop_controllers()
            self.settle()
        self.held.pop(name, None)
        self.kill(name)

    def restart(self, name: InstanceId, graceful: bool, down: bool) -> None:
        """Stop or crash an instance and start it, with or without the store."""
        self.end(name, graceful)
        self.store_down_at_start = down
        self.start(name, DomainId(name.rpartition("-")[0]))

    def starting(self) -> list[InstanceId]:
        """Return the instances that would start tasks in the target domain."""
        now = self.clock.now()
        return [
            name
            for name, app in self.applications.items()
            if app.document.document.is_in_service(TARGET) and app.document.is_fresh(now)
        ]
