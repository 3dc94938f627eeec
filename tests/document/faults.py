"""A simulated region with injected partitions, store outages, restarts and message delays."""

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
    """A cluster without workers, with the faults that fuzz tests inject."""

    def __init__(self) -> None:
        super().__init__(DOMAINS, workers_per_domain=0)
        self.queued: dict[InstanceId, list[Any]] = {}
        self.advance(4)

    def store_down(self, group: Iterable[InstanceId], down: bool = True) -> None:
        """Disconnect instances from the store or reconnect them."""
        for name in group:
            self.stores[name].down = down

    def cut(self, group: set[InstanceId]) -> None:
        """Partition a group from the others in both directions."""
        others = set(NAMES) - group
        self.network.cut |= {frozenset((one, two)) for one in group for two in others}

    def silence(self, group: set[InstanceId]) -> None:
        """Drop messages from a group to the others, but not those to the group."""
        others = set(NAMES) - group
        self.network.cut_one_way |= {(one, two) for one in group for two in others}

    def heal(self) -> None:
        """Remove all partitions."""
        self.network.cut.clear()
        self.network.cut_one_way.clear()

    def hold(self, group: Iterable[InstanceId]) -> None:
        """Queue messages to instances, as if their processes were paused."""
        for name in set(group) - set(self.queued):
            queue = self.queued[name] = []
            self.network.peers[name]._receive_heartbeat = lambda *message, queue=queue: (
                queue.append(message)
            )

    def release(self) -> None:
        """Deliver all queued messages."""
        for name, messages in self.queued.items():
            del self.network.peers[name]._receive_heartbeat
            for message in messages:
                self.network.peers[name]._receive_heartbeat(*message)
        self.queued.clear()
        self.process_events()

    def end(self, name: InstanceId, graceful: bool) -> None:
        """Stop or crash an instance."""
        if graceful:
            self.applications[name].stop_controllers()
            self.process_events()
        self.queued.pop(name, None)
        self.kill(name)

    def restart(self, name: InstanceId, graceful: bool, down: bool) -> None:
        """Stop or crash an instance and start it again, without a store if ``down`` is set."""
        self.end(name, graceful)
        self.store_down_at_start = down
        self.start(name, DomainId(name.rpartition("-")[0]))

    def starting(self) -> list[InstanceId]:
        """Return the instances that may start tasks in the target domain."""
        now = self.clock.now()
        return [
            name
            for name, app in self.applications.items()
            if app.document.document.is_in_service(TARGET) and app.document.may_start_tasks(now)
        ]
