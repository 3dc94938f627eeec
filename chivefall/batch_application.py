"""Application object for batch jobs with controllers, filter chain and readiness."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from circuits import BaseComponent

from chivefall.batch import BatchTiming, DeadlinePolicy, JobState, PlatformCodec, Resources
from chivefall.controllers._errors import ErrorLogger
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
from chivefall.telemetry import BatchMetrics
from chivefall.workers import RunClient

if TYPE_CHECKING:
    from chivefall.config import Settings

__all__ = ["BatchApplication", "BatchConnections"]


@dataclass(frozen=True)
class BatchConnections:
    """Clients of an instance for all external services, and its clock."""

    clock: Clock
    store: TransactionalStore
    workers: RunClient
    codec: PlatformCodec


class BatchApplication(BaseComponent):
    """An instance for batch jobs without its transports."""

    channel = "batch"

    def __init__(self, cfg: Settings, connections: BatchConnections) -> None:
        super().__init__()
        self.clock = connections.clock
        self.draining = False
        self.metrics = BatchMetrics()
        self.registry = Registry()
        clock, store, codec = connections.clock, connections.store, connections.codec
        add = self.registry.add
        timing = BatchTiming.from_bounds(cfg.batch.bounds)
        self.catalog = add(CatalogController(clock, store, codec, timing))
        self.submissions = add(SubmissionController(clock, store, self.catalog, timing))
        self.leader = add(
            LeaderController(clock, cfg, store, lambda _: Epoch(0), cfg.region, watches=True)
        )
        self.fleet = add(
            FleetController(
                clock, store, connections.workers, codec, self.leader, self.metrics, timing
            )
        )
        self.scheduler = add(
            BatchScheduler(
                clock,
                store,
                DeadlinePolicy(timing),
                self.catalog,
                self.leader,
                self.fleet,
                self.metrics,
                timing,
            )
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
        self.metrics.add_sampler(self._sample)
        ErrorLogger().register(self)
        for controller in self.registry:
            controller.register(self)

    def _sample(self) -> None:
        """Update the gauges for the state of the controllers."""
        metrics = self.metrics
        metrics.catalog_age.set({}, self.catalog.age(self.clock.now()))
        metrics.catalog_version.set({}, self.catalog.catalog.version)
        metrics.leading.set({}, int(self.leader.leads))
        states = Counter(tracked.job.state for tracked in self.scheduler.jobs.values())
        for state in JobState:
            metrics.jobs.set({"state": state.value}, states[state])
        workers = list(self.fleet.fleet.workers.values())
        for condition in ("listed", "synced", "suspect"):
            count = sum(getattr(worker, condition) for worker in workers)
            metrics.workers.set({"condition": condition}, count)
        free = sum((worker.free for worker in workers if worker.listed), Resources())
        for resource in ("cpu", "memory", "accelerators"):
            metrics.free.set({"resource": resource}, getattr(free, resource))

    def is_ready(self, now: float) -> bool:
        """Return whether the instance is ready for new connections."""
        return not self.draining and self.catalog.is_fresh(now)

    def start_controllers(self) -> None:
        """Start all controllers in registration order."""
        for controller in self.registry:
            controller.start()

    def begin_drain(self) -> None:
        """Report not ready; requests are still served until the process ends."""
        self.draining = True

    def hand_over(self) -> bool:
        """Stop scheduling and return whether all progress is written."""
        if not self.scheduler.is_stopped:
            self.scheduler.stop()
        return self.scheduler.is_idle

    def stop_controllers(self) -> None:
        """Stop all controllers in reverse registration order and release the leader lease."""
        for controller in reversed(self.registry):
            if not controller.is_stopped:
                controller.stop()
