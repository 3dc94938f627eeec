"""Instances of one region in one process on a manual clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.application import Application, Connections
from chivefall.config import Address, Settings, Timing
from chivefall.document import encode_document
from chivefall.model import (
    Account,
    AccountId,
    Document,
    DomainId,
    DomainState,
    InstanceId,
    InstanceKind,
    RackId,
    Revision,
)
from chivefall.runtime import ManualClock, spawn
from chivefall.store import ABSENT, DOCUMENT_KEY
from chivefall.workers import Instance
from standins.memory import MemoryNetwork, MemoryPeers, MemoryStore, MemoryWorkers
from standins.store import KeyValueState

if TYPE_CHECKING:
    from collections.abc import Coroutine, Sequence
    from typing import Any

    from chivefall.runtime import Future

__all__ = ["Cluster"]

STEP = 0.05  # seconds by which the clock moves at once


class Cluster:
    """Applications that share a store, workers and a network.

    Attributes
    ----------
    stores : dict
        The store client of each instance, with its faults.
    store_down_at_start : bool
        Whether the store is down for instances that are started.
    """

    def __init__(
        self,
        domains: Sequence[str] = ("zarcero", "tarrazu", "cartago"),
        workers_per_domain: int = 8,
        entries_per_domain: int = 2,
        document: Document | None = None,
        timing: Timing | None = None,
    ) -> None:
        self.clock = ManualClock()
        self.state = KeyValueState(self.clock)
        self.network = MemoryNetwork()
        self.workers = MemoryWorkers()
        self.stores: dict[InstanceId, MemoryStore] = {}
        self.applications: dict[InstanceId, Application] = {}
        self.store_down_at_start = False
        self.timing = timing or Timing()
        self.document = document or default_document(domains)
        self.peers = {
            InstanceId(f"{domain}-{index}"): str(Address("127.0.0.1", 8001))
            for domain in domains
            for index in range(1, entries_per_domain + 1)
        }
        self.state.put(DOCUMENT_KEY, encode_document(self.document), ABSENT, None)
        for number, domain in enumerate(domains):
            self._add_workers(domain, number, workers_per_domain)
        for domain in domains:
            for index in range(1, entries_per_domain + 1):
                self.start(InstanceId(f"{domain}-{index}"), DomainId(domain))

    def _add_workers(self, domain: str, number: int, count: int) -> None:
        for index in range(count):
            self.workers.add(
                Instance(
                    InstanceId(f"{domain}-w{index:02d}"),
                    InstanceKind.WORKER,
                    DomainId(domain),
                    f"127.0.{number + 1}.{index + 1}:80",
                    rack=RackId(f"{domain}-r{index // 8}"),
                    accelerators=8,
                ),
                self.clock,
            )

    def start(self, name: InstanceId, domain: DomainId) -> Application:
        """Start an instance; an earlier one of that name is replaced."""
        cfg = Settings(
            name,
            "meseta-central",
            domain,
            str(Address("127.0.0.1", 8000)),
            str(Address("127.0.0.1", 8001)),
            str(Address("127.0.0.1", 8002)),
            self.peers,
            self.timing,
        )
        store = MemoryStore(self.state, self.clock)
        store.down = self.store_down_at_start
        peers = MemoryPeers(name, self.network, self.clock)
        application = Application(cfg, Connections(self.clock, store, self.workers, peers))
        self.stores[name] = store
        self.applications[name] = application
        application.start_controllers()
        self.settle()
        return application

    def kill(self, name: InstanceId) -> None:
        """End an instance without any notice to the others."""
        application = self.applications.pop(name)
        for controller in application.registry:
            controller._stopped = True
        del self.network.peers[name]
        self.stores.pop(name).down = True

    def settle(self) -> None:
        """Process the events of all instances until none is left."""
        busy = True
        while busy:
            busy = False
            for application in list(self.applications.values()):
                while len(application):
                    application.flush()
                    busy = True

    def advance(self, seconds: float) -> None:
        """Move the clock in small steps and process the events of each."""
        remaining = seconds
        while remaining > 1e-9:
            self.clock.advance(min(STEP, remaining))
            remaining -= STEP
            self.settle()

    def run(self, coro: Coroutine[Future[Any], None, Any], limit: float = 60.0) -> Any:
        """Return a coroutine's result, moving the clock up to ``limit`` seconds."""
        fut = spawn(coro)
        self.settle()
        until = self.clock.now() + limit
        while not fut.done():
            if self.clock.now() >= until:
                raise TimeoutError(f"no result within {limit} s of virtual time")
            self.advance(STEP)
        return fut.result()

    def leader(self, domain: str) -> Application | None:
        """Return the application that leads a failure domain with the highest epoch."""
        leading = [
            application
            for application in self.applications.values()
            if application.cfg.failure_domain == domain and application.leader.leads
        ]
        return max(leading, key=lambda item: item.leader.epoch, default=None)


def default_document(domains: Sequence[str]) -> Document:
    """Return a document with four accounts and all domains in service."""
    accounts = {AccountId(name): Account() for name in ("farmers", "captains", "buyers", "sorting")}
    return Document(
        Revision(1),
        accounts,
        failure_domains={DomainId(domain): DomainState.IN_SERVICE for domain in domains},
    )
