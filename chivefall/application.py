"""The application object: controllers, filter chain and HTTP interface."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from chivefall.api import HttpApi
from chivefall.controllers import (
    ClaimController,
    DocumentController,
    JobController,
    JobRouter,
    LeaderController,
    MembershipController,
    WorkerController,
)
from chivefall.filters import AccountFilter, DispatchFilter, FilterChain, IdempotencyFilter
from chivefall.model import Epoch
from chivefall.net import Heartbeat, Peers
from chivefall.registry import Registry
from chivefall.runtime import Clock
from chivefall.scheduling import FifoPolicy
from chivefall.store import Store
from chivefall.telemetry import LogEvent, Metrics, log_event
from chivefall.workers import WorkerClient

if TYPE_CHECKING:
    from chivefall.config import Settings

__all__ = ["Application", "Connections"]

NEVER = 1e9  # seconds reported as the age of a confirmation that never happened


@dataclass(frozen=True)
class Connections:
    """The connections of an instance to everything outside its process."""

    clock: Clock
    store: Store
    workers: WorkerClient
    peers: Peers


class Application(BaseComponent):
    """One entry instance without its transports."""

    channel = "application"

    def __init__(self, cfg: Settings, connections: Connections) -> None:
        super().__init__()
        self.cfg = cfg
        self.clock = connections.clock
        self.metrics = Metrics()
        self.registry = Registry()
        self._add_controllers(connections)
        self.chain = FilterChain(
            [
                AccountFilter(lambda: self.document.document),
                IdempotencyFilter(self.clock, self.claims, self.job_router.wait),
                DispatchFilter(self.job_router),
            ],
            self.clock.now,
        )
        self.api = HttpApi(self.clock, self.chain, self.document, self.job_router, self.metrics)

    def _add_controllers(self, connections: Connections) -> None:
        cfg, clock, add = self.cfg, self.clock, self.registry.add
        store, peers = connections.store, connections.peers
        self.document = add(DocumentController(clock, store, cfg.timing))
        self.membership = add(MembershipController(clock, cfg, peers, self._describe))
        self.leader = add(LeaderController(clock, cfg, store, self._heard_epoch))
        self.claims = add(ClaimController(clock, cfg, store, self._swept_share))
        self.workers = add(WorkerController(clock, cfg, connections.workers, self.leader))
        self.jobs = add(
            JobController(clock, cfg, store, FifoPolicy(), self.document, self.leader, self.workers)
        )
        self.job_router = add(
            JobRouter(clock, cfg, peers, self.membership, self.document, self.leader, self.jobs)
        )
        for controller in self.registry:
            controller.register(self)

    def start_controllers(self) -> None:
        """Start all controllers in the order of their registration."""
        for controller in self.registry:
            controller.start()

    def stop_controllers(self) -> None:
        """Stop all controllers in reverse order."""
        for controller in reversed(self.registry):
            controller.stop()

    def _heard_epoch(self, now: float) -> Epoch:
        peer = self.membership.leader_of(self.cfg.failure_domain, now)
        return Epoch(0) if peer is None else peer.leader_epoch

    def _swept_share(self) -> tuple[int, int] | None:
        """Return this leader's share of the sweep of claims, or None for others."""
        domains = sorted(self.document.document.failure_domains)
        if not self.leader.leads or self.cfg.failure_domain not in domains:
            return None
        return domains.index(self.cfg.failure_domain), len(domains)

    def _describe(self, now: float) -> Heartbeat:
        """Return this instance's heartbeat."""
        leads = self.leader.leads
        return Heartbeat(
            self.cfg.failure_domain,
            self.document.revision,
            min(self.document.confirmed_age(now), NEVER),
            self.document.store_reachable,
            self.leader.epoch,
            self.jobs.capacity_digest() if leads else (),
        )

    @handler("exception", channel="*")
    def _on_exception(self, kind, value, _traceback, handler=None, fevent=None) -> None:
        log_event(
            LogEvent.UNHANDLED_ERROR,
            error=f"{kind.__name__}: {value}",
            handler=repr(handler),
            event=repr(fevent),
        )
