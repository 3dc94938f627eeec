"""Daemon of an instance for batch jobs on the users' platform."""

from __future__ import annotations

import signal as signals
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler
from circuits.core.events import signal
from circuits.core.pollers import EPoll

from chivefall.batch import BatchTiming
from chivefall.batch_application import BatchApplication, BatchConnections
from chivefall.config import Address
from chivefall.controllers._errors import log_timer_error
from chivefall.controllers._settings import SettingsController
from chivefall.early_signals import EARLY_SIGNALS
from chivefall.errors import ConfigError
from chivefall.net import ConnectionLimits, HttpClient, HttpReply, HttpRequest, HttpServer
from chivefall.platform import BatchHttpApi, HttpRunClient, JsonPlatformCodec, PlatformStore
from chivefall.runtime import Future, LoopClock
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from pathlib import Path
    from types import FrameType

    from chivefall.config import Settings

__all__ = ["BatchDaemon"]

RESERVED_DESCRIPTORS = 200  # files, pipes and listening sockets
MAX_CALLER_CONNECTIONS = 512
PROBE_CONNECTIONS = 32  # to each of the readiness and the metrics address
STORE_CONNECTIONS = 64
MIN_WORKER_CONNECTIONS = 64
CONNECTIONS_PER_WORKER = 3  # one poll and two orders at a time
DRAIN_CHECK_INTERVAL_SECONDS = 0.05
DEREGISTRATION_SECONDS = 3.0
"""Time after a stop request in which new connections may still arrive.

The platform checks readiness once a second and removes an instance after two failures.
"""
RESPONSE_RESERVE_SECONDS = 0.5  # last part of the grace period, for the last responses


@dataclass(frozen=True)
class DescriptorBudget:
    """Connections for each use, so that none of them can take the descriptors of the others.

    Attributes
    ----------
    callers : int
        Connections from callers.
    """

    callers: int
    store: ConnectionLimits
    workers: ConnectionLimits

    @classmethod
    def of(cls, descriptors: int) -> DescriptorBudget:
        """Return the budget for a limit of open descriptors.

        Raises
        ------
        ConfigError
            If too few remain for the workers.
        """
        callers = min(MAX_CALLER_CONNECTIONS, descriptors // 4)
        used = RESERVED_DESCRIPTORS + callers + 2 * PROBE_CONNECTIONS + STORE_CONNECTIONS
        workers = descriptors - used
        if workers < MIN_WORKER_CONNECTIONS:
            raise ConfigError(
                f"batch.descriptors {descriptors} leaves {workers} connections to workers",
                f"allow at least {descriptors + MIN_WORKER_CONNECTIONS - workers}",
            )
        return cls(
            callers,
            ConnectionLimits(STORE_CONNECTIONS, STORE_CONNECTIONS),
            ConnectionLimits(workers, CONNECTIONS_PER_WORKER, waits=True),
        )


class BatchDaemon(BaseComponent):
    """Runs a batch application on the circuits loop until a termination signal."""

    channel = "daemon"

    def __init__(self, cfg: Settings, path: Path) -> None:
        super().__init__()
        self.cfg = cfg
        self._started = False
        self._stop_requested_at: float | None = None
        self._ended = False
        EPoll().register(self)
        self.clock = LoopClock()
        self.clock.timer_component.register(self)
        self.clock.on_error = log_timer_error
        budget = DescriptorBudget.of(cfg.batch.descriptors)
        self.http = HttpClient(self.clock, budget.store).register(self)
        self.worker_http = HttpClient(self.clock, budget.workers).register(self)
        timing = cfg.timing
        self.store = PlatformStore(self.http, Address.parse(cfg.store), timing.store_timeout)
        self.workers = HttpRunClient(self.worker_http, _worker_timeout(cfg))
        self.settings = SettingsController(self.clock, path, cfg, self._adopt_settings)
        self.settings.register(self)
        self.application = BatchApplication(
            cfg,
            BatchConnections(
                self.clock,
                self.store,
                self.workers,
                JsonPlatformCodec(),
            ),
        ).register(self)
        application = self.application
        metrics = application.metrics
        self.store.observe = lambda call, seconds: metrics.store_seconds.observe(
            {"call": call}, seconds
        )
        self.workers.observe = lambda call, seconds: metrics.worker_seconds.observe(
            {"call": call}, seconds
        )
        api = BatchHttpApi(self.clock, application.chain, application.catalog, application.metrics)
        self.servers = {
            name: HttpServer(
                Address.parse(listen), serve, self.clock, max_connections=limit, channel=name
            ).register(self)
            for name, listen, serve, limit in (
                ("front", cfg.listen, api.serve, budget.callers),
                ("ready", cfg.batch.ready_listen, self._serve_ready, PROBE_CONNECTIONS),
                ("metrics", cfg.batch.metrics_listen, self._serve_metrics, PROBE_CONNECTIONS),
            )
        }

    def _serve_ready(self, _: HttpRequest) -> Future[HttpReply]:
        ready = self.application.is_ready(self.clock.now())
        return _resolved(HttpReply(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE))

    def _serve_metrics(self, _: HttpRequest) -> Future[HttpReply]:
        content, kind = self.application.metrics.render()
        return _resolved(HttpReply(HTTPStatus.OK, content, content_type=kind))

    def _adopt_settings(self, cfg: Settings) -> None:
        """Apply changed timeouts; address changes require a restart."""
        self.cfg = cfg
        self.store.timeout = cfg.timing.store_timeout
        self.workers.timeout = _worker_timeout(cfg)

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self.settings.start()
        self.application.start_controllers()
        log_event(LogEvent.PROCESS_STARTED, instance=self.cfg.instance, listen=self.cfg.listen)
        self._started = True
        EARLY_SIGNALS.deliver(lambda signo, frame: self.fire(signal(signo, frame)))

    @handler("signal", channel="*")
    def _on_signal(self, signo: int, frame: FrameType | None) -> None:
        if not self._started:
            # circuits installs handlers of its own just before the start.
            EARLY_SIGNALS.hold(signo, frame)
            return
        if signo == signals.SIGHUP:
            self.settings.reload("SIGHUP")
            return
        if signo not in (signals.SIGTERM, signals.SIGINT) or self._stop_requested_at is not None:
            return
        log_event(LogEvent.PROCESS_STOPPING, signal=signals.Signals(signo).name)
        self._stop_requested_at = self.clock.now()
        self.application.begin_drain()
        self._hand_over()

    def _hand_over(self) -> None:
        """Release the leader lease once all progress is written."""
        waited = self.clock.now() - self._stop_requested_at
        if not self.application.hand_over() and waited < DEREGISTRATION_SECONDS:
            self.clock.call_later(DRAIN_CHECK_INTERVAL_SECONDS, self._hand_over)
            return
        self.application.leader.stop()
        self._drain()

    def _drain(self) -> None:
        """Serve until no new connections arrive and all responses have been sent."""
        waited = self.clock.now() - self._stop_requested_at
        limit = self.cfg.timing.shutdown_grace - RESPONSE_RESERVE_SECONDS
        if waited < min(DEREGISTRATION_SECONDS, limit):
            self.clock.call_later(DRAIN_CHECK_INTERVAL_SECONDS, self._drain)
            return
        front = self.servers["front"]
        front.stop_listening()
        if not front.is_idle and waited < limit:
            self.clock.call_later(DRAIN_CHECK_INTERVAL_SECONDS, self._drain)
            return
        self._end()

    def _end(self) -> None:
        if self._ended:
            return
        self._ended = True
        self.application.stop_controllers()
        self.settings.stop()
        self.http.close_all()
        self.worker_http.close_all()
        log_event(LogEvent.PROCESS_STOPPED, instance=self.cfg.instance)
        self.root.stop()


def _worker_timeout(cfg: Settings) -> float:
    """Return the timeout of calls to workers in seconds, so that a gang's starts can repeat."""
    return min(cfg.timing.worker_timeout, BatchTiming.from_bounds(cfg.batch.bounds).start_timeout)


def _resolved(reply: HttpReply) -> Future[HttpReply]:
    fut: Future[HttpReply] = Future()
    fut.set_result(reply)
    return fut
