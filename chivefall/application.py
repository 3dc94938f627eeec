"""Application object with controllers, filter chain and HTTP API."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from chivefall.api import HttpApi
from chivefall.controllers import (
    ClaimController,
    DocumentController,
    DrainController,
    EndpointController,
    JobController,
    JobRouter,
    LeaderController,
    MembershipController,
    WorkerController,
)
from chivefall.controllers._errors import ErrorLogger
from chivefall.endpoints import EndpointClient
from chivefall.filters import (
    AccountFilter,
    AdmissionFilter,
    DeadlineFilter,
    DispatchFilter,
    FeasibilityFilter,
    FilterChain,
    IdempotencyFilter,
    ShutdownFilter,
)
from chivefall.model import Epoch, JobState
from chivefall.net import Heartbeat, Peers
from chivefall.registry import Registry
from chivefall.runtime import Clock
from chivefall.scheduling import GuaranteePolicy
from chivefall.store import Store
from chivefall.telemetry import Metrics
from chivefall.workers import WorkerClient

if TYPE_CHECKING:
    from chivefall.config import Settings
    from chivefall.model import JobRecord

__all__ = ["Application", "Connections"]


@dataclass(frozen=True)
class Connections:
    """Clients of an instance for all external services, and its clock."""

    clock: Clock
    store: Store
    workers: WorkerClient
    peers: Peers
    endpoints: EndpointClient


class Application(BaseComponent):
    """An entry instance without its transports."""

    channel = "application"

    def __init__(self, cfg: Settings, connections: Connections) -> None:
        super().__init__()
        self.cfg = cfg
        self.clock = connections.clock
        self.draining = False
        self.metrics = Metrics()
        self.registry = Registry()
        self._add_controllers(connections)
        self._deadline = DeadlineFilter(self.clock)
        self._dispatch = DispatchFilter(self.job_router, self.endpoints)
        self.chain = FilterChain(
            [
                ShutdownFilter(lambda: self.draining),
                AccountFilter(lambda: self.document.document),
                FeasibilityFilter(
                    lambda: self.document.document, self.workers.infeasibility_reason
                ),
                AdmissionFilter(lambda: self.document.document),
                self._deadline,
                IdempotencyFilter(self.clock, self.claims, self._dispatch.wait_for_job),
                self._dispatch,
            ],
            self.clock.now,
        )
        self.metrics.add_sampler(self._sample)
        ErrorLogger().register(self)
        self.api = HttpApi(self.clock, self.chain, self.document, self.job_router, self.metrics)

    def _add_controllers(self, connections: Connections) -> None:
        cfg, clock, add = self.cfg, self.clock, self.registry.add
        store, peers = connections.store, connections.peers
        self.membership = add(MembershipController(clock, cfg, peers, self._build_heartbeat))
        self.document = add(
            DocumentController(clock, cfg, store, peers, self.membership, lambda: self.leader.leads)
        )
        self.leader = add(LeaderController(clock, cfg, store, self._get_peer_epoch))
        self.claims = add(ClaimController(clock, cfg, store, self._sweep_partition))
        self.workers = add(WorkerController(clock, cfg, connections.workers, self.leader))
        self.jobs = add(
            JobController(
                clock, cfg, store, GuaranteePolicy(), self.document, self.leader, self.workers
            )
        )
        self.job_router = add(
            JobRouter(clock, cfg, peers, self.membership, self.document, self.leader, self.jobs)
        )
        self.drain = add(
            DrainController(
                clock,
                cfg,
                peers,
                self.membership,
                self.document,
                self.leader,
                self.jobs,
                self.workers,
            )
        )
        self.endpoints = add(
            EndpointController(clock, cfg, connections.endpoints, self.document, self.metrics)
        )
        for controller in self.registry:
            controller.register(self)

    def start_controllers(self) -> None:
        """Start all controllers in registration order."""
        for controller in self.registry:
            controller.start()

    def begin_drain(self) -> None:
        """Refuse new requests and end waits for jobs; the jobs go on and callers get their ids."""
        self.draining = True
        self._dispatch.stop_waiting()

    def end_requests(self) -> None:
        """End all requests in progress with the outcome ``Unknown``."""
        self._deadline.end_requests()

    def hand_over(self) -> bool:
        """Stop starting work and return whether all records of started work are written.

        The leader lease is held until then, so that the next leader reads
        complete records.
        """
        for controller in (self.endpoints, self.job_router, self.jobs):
            if not controller.is_stopped:
                controller.stop()
        return not self.jobs.tasks_in_progress

    def stop_controllers(self) -> None:
        """Stop all controllers in reverse registration order."""
        for controller in reversed(self.registry):
            if not controller.is_stopped:
                controller.stop()

    def _get_peer_epoch(self, now: float) -> Epoch:
        peer = self.membership.leader_of(self.cfg.failure_domain, now)
        return Epoch(0) if peer is None else peer.leader_epoch

    def _sweep_partition(self) -> tuple[int, int] | None:
        """Return this leader's partition of the claim sweep as index and count, or None."""
        domains = sorted(self.document.document.failure_domains)
        if not self.leader.leads or self.cfg.failure_domain not in domains:
            return None
        return domains.index(self.cfg.failure_domain), len(domains)

    def _build_heartbeat(self, now: float) -> Heartbeat:
        """Return this instance's heartbeat."""
        leads = self.leader.leads
        return Heartbeat(
            self.cfg.failure_domain,
            self.document.revision,
            self.document.confirmed_age(now),
            self.document.store_reachable,
            self.leader.epoch,
            self.jobs.capacity_summary() if leads else (),
            change_open=self.document.has_unresolved_change,
        )

    def _sample(self) -> None:
        """Update the gauges for the state of the controllers."""
        self.metrics.document_revision.set({}, self.document.revision)
        self.metrics.leading.set({}, int(self.leader.leads))
        states = Counter(job.record.state for job in self.jobs.jobs.values())
        for state in JobState:
            self.metrics.jobs.set({"state": state.value}, states[state])

    @handler("job_started", channel="*")
    def _on_job_started(self, record: JobRecord) -> None:
        if record.attempts == 1:
            delay = record.started_at - record.submitted_at
            self.metrics.start_delay.observe({"urgency": record.spec.urgency.value}, delay)
