"""The application object: wires settings, controllers and the filter chain."""

from __future__ import annotations

import signal as signals
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from chivefall.api import HttpApi
from chivefall.config import Address, Settings
from chivefall.controllers import (
    DocumentController,
    JobController,
    JobRouter,
    LeaderController,
    MembershipController,
    WorkerController,
)
from chivefall.filters import AccountFilter, DispatchFilter, FilterChain
from chivefall.net import Envelope, Heartbeat, HttpClient, HttpServer, NngPeers
from chivefall.registry import Registry
from chivefall.runtime import LoopClock
from chivefall.scheduling import FifoPolicy
from chivefall.store import HttpStore
from chivefall.telemetry import LogEvent, Metrics, log_event
from chivefall.workers import HttpWorkerClient

if TYPE_CHECKING:
    from types import FrameType

__all__ = ["Application"]

DRAIN_CHECK_INTERVAL = 0.1  # seconds between checks for requests in progress


class Application(BaseComponent):
    """One entry instance."""

    channel = "application"

    def __init__(self, cfg: Settings) -> None:
        super().__init__()
        self.cfg = cfg
        self.clock = LoopClock()
        self.metrics = Metrics()
        self.registry = Registry()
        self._stopping = False
        EPoll().register(self)
        self.clock.source.register(self)
        self.http = HttpClient(self.clock).register(self)
        store = HttpStore(self.http, Address.parse(cfg.store), cfg.timing.store_timeout)
        workers = HttpWorkerClient(self.http, Address.parse(cfg.store), cfg.timing.worker_timeout)
        self.peers = NngPeers(
            cfg.instance,
            Address.parse(cfg.peer_listen),
            self.clock,
            self._record_heartbeat,
            lambda reason: log_event(LogEvent.PEER_MESSAGE_DROPPED, reason=reason),
        ).register(self)
        self._add_controllers(store, workers)
        chain = FilterChain(
            [
                AccountFilter(lambda: self.document.document),
                DispatchFilter(self.job_router),
            ],
            self.clock.now,
        )
        api = HttpApi(self.clock, chain, self.document, self.job_router, self.metrics)
        self.server = HttpServer(Address.parse(cfg.listen), api.serve).register(self)

    def _add_controllers(self, store: HttpStore, workers: HttpWorkerClient) -> None:
        cfg, clock, add = self.cfg, self.clock, self.registry.add
        self.document = add(DocumentController(clock, store, cfg.timing))
        self.membership = add(MembershipController(clock, cfg, self.peers, self._describe))
        self.leader = add(LeaderController(clock, cfg, store, self._other_leader_heard))
        self.workers = add(WorkerController(clock, cfg, workers, self.leader))
        self.jobs = add(
            JobController(clock, cfg, store, FifoPolicy(), self.document, self.leader, self.workers)
        )
        self.job_router = add(
            JobRouter(
                clock, cfg, self.peers, self.membership, self.document, self.leader, self.jobs
            )
        )
        for controller in self.registry:
            controller.register(self)

    def _record_heartbeat(self, envelope: Envelope, message: Heartbeat) -> None:
        self.membership.record_heartbeat(envelope, message)

    def _other_leader_heard(self, now: float) -> bool:
        return self.membership.leader_of(self.cfg.failure_domain, now) is not None

    def _describe(self, now: float) -> Heartbeat:
        """Return this instance's heartbeat."""
        leads = self.leader.leads
        return Heartbeat(
            self.cfg.failure_domain,
            self.document.revision,
            min(self.document.confirmed_age(now), 1e9),
            self.document.store_reachable,
            self.leader.epoch,
            self.jobs.capacity_digest() if leads else (),
        )

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        for controller in self.registry:
            controller.start()
        log_event(LogEvent.PROCESS_STARTED, instance=self.cfg.instance, listen=self.cfg.listen)

    @handler("signal", channel="*")
    def _on_signal(self, signo: int, _frame: FrameType | None) -> None:
        if signo in (signals.SIGTERM, signals.SIGINT) and not self._stopping:
            self._stopping = True
            log_event(LogEvent.PROCESS_STOPPING, signal=signals.Signals(signo).name)
            self.server.stop_listening()
            self._drain(self.clock.now() + self.cfg.timing.shutdown_grace)

    @handler("exception", channel="*")
    def _on_exception(self, kind, value, _traceback, handler=None, fevent=None) -> None:
        log_event(
            LogEvent.UNHANDLED_ERROR,
            error=f"{kind.__name__}: {value}",
            handler=repr(handler),
            event=repr(fevent),
        )

    def _drain(self, limit: float) -> None:
        """Stop once all requests in progress are answered or the limit passes."""
        if self.server.requests_in_progress and self.clock.now() < limit:
            self.clock.call_later(DRAIN_CHECK_INTERVAL, lambda: self._drain(limit))
            return
        for controller in reversed(self.registry):
            controller.stop()
        self.clock.call_later(DRAIN_CHECK_INTERVAL, self._end)

    def _end(self) -> None:
        self.http.close_all()
        self.peers.close()
        log_event(LogEvent.PROCESS_STOPPED, instance=self.cfg.instance)
        self.root.stop()
