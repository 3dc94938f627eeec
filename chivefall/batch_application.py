"""The application object for batch jobs: controllers, filter chain and state of service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from circuits import BaseComponent

from chivefall.batch import DeadlinePolicy, PlatformCodec
from chivefall.controllers._leader import LeaderController
from chivefall.controllers.batch import (
    BatchScheduler,
    CatalogController,
    FleetController,
    SubmissionController,
)
from chivefall.filters._base import FilterChain
from chivefall.filters.batch import (
    BatchDispatchFilter,
    CatalogFilter,
    KeyFilter,
    QueueFilter,
    StepsFilter,
)
from chivefall.model import Epoch
from chivefall.registry import Registry
from chivefall.runtime import Clock
from chivefall.store import TransactionalStore
from chivefall.telemetry import Metrics
from chivefall.workers import RunClient

if TYPE_CHECKING:
    from chivefall.config import Settings

__all__ = ["BatchApplication", "BatchConnections"]


@dataclass(frozen=True)
class BatchConnections:
    """The connections of an instance to everything outside its process."""

    clock: Clock
    store: TransactionalStore
    workers: RunClient
    codec: PlatformCodec


class BatchApplication(BaseComponent):
    """One instance that serves batch jobs, without its transports."""

    channel = "batch"

    def __init__(self, cfg: Settings, connections: BatchConnections) -> None:
        super().__init__()
        self.clock = connections.clock
        self.draining = False
        self.metrics = Metrics()
        self.registry = Registry()
        clock, store, codec = connections.clock, connections.store, connections.codec
        add = self.registry.add
        self.catalog = add(CatalogController(clock, store, codec))
        self.submissions = add(SubmissionController(clock, store, self.catalog))
        self.leader = add(
            LeaderController(clock, cfg, store, lambda _: Epoch(0), cfg.region, watches=True)
        )
        self.fleet = add(
            FleetController(clock, cfg, store, connections.workers, codec, self.leader)
        )
        self.scheduler = add(
            BatchScheduler(clock, store, DeadlinePolicy(), self.catalog, self.leader, self.fleet)
        )
        self.chain = FilterChain(
            [
                CatalogFilter(self.catalog),
                QueueFilter(self.catalog),
                KeyFilter(self.catalog),
                StepsFilter(),
                BatchDispatchFilter(self.submissions),
            ],
            clock.now,
        )
        for controller in self.registry:
            controller.register(self)

    def is_ready(self, now: float) -> bool:
        """Return whether the instance wants new connections."""
        return not self.draining and self.catalog.is_fresh(now)

    def start_controllers(self) -> None:
        """Start all controllers in the order of their registration."""
        for controller in self.registry:
            controller.start()

    def begin_drain(self) -> None:
        """Ask for no more connections; requests are served until the process ends."""
        self.draining = True

    def hand_over(self) -> bool:
        """Plan nothing more and return whether everything is written."""
        if not self.scheduler.is_stopped:
            self.scheduler.stop()
        return self.scheduler.is_idle

    def stop_controllers(self) -> None:
        """Stop all controllers in reverse order; the leader lease is given up."""
        for controller in reversed(self.registry):
            if not controller.is_stopped:
                controller.stop()
