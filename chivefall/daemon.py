"""The process of one entry instance: transports, signals and shutdown."""

from __future__ import annotations

import signal as signals
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from chivefall.application import Application, Connections
from chivefall.config import Address
from chivefall.endpoints import HttpEndpointClient
from chivefall.net import HttpClient, HttpServer, NngPeers
from chivefall.runtime import LoopClock
from chivefall.store import HttpStore
from chivefall.telemetry import LogEvent, log_event
from chivefall.workers import HttpWorkerClient

if TYPE_CHECKING:
    from types import FrameType

    from chivefall.config import Settings

__all__ = ["Daemon"]

DRAIN_CHECK_INTERVAL = 0.1  # seconds between checks for requests in progress


class Daemon(BaseComponent):
    """Runs an application on the circuits loop until a signal ends it."""

    channel = "daemon"

    def __init__(self, cfg: Settings) -> None:
        super().__init__()
        self.cfg = cfg
        self._stopping = False
        EPoll().register(self)
        self.clock = LoopClock()
        self.clock.source.register(self)
        self.http = HttpClient(self.clock).register(self)
        self.peers = NngPeers(
            cfg.instance,
            Address.parse(cfg.peer_listen),
            self.clock,
            lambda reason: log_event(LogEvent.PEER_MESSAGE_DROPPED, reason=reason),
        ).register(self)
        self.application = Application(cfg, self._connections()).register(self)
        self.server = HttpServer(Address.parse(cfg.listen), self.application.api.serve, self.clock)
        self.server.register(self)

    def _connections(self) -> Connections:
        platform, timing = Address.parse(self.cfg.store), self.cfg.timing
        return Connections(
            self.clock,
            HttpStore(self.http, platform, timing.store_timeout),
            HttpWorkerClient(self.http, platform, timing.worker_timeout),
            self.peers,
            HttpEndpointClient(self.http),
        )

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        self.application.start_controllers()
        log_event(LogEvent.PROCESS_STARTED, instance=self.cfg.instance, listen=self.cfg.listen)

    @handler("signal", channel="*")
    def _on_signal(self, signo: int, _frame: FrameType | None) -> None:
        if signo in (signals.SIGTERM, signals.SIGINT) and not self._stopping:
            self._stopping = True
            log_event(LogEvent.PROCESS_STOPPING, signal=signals.Signals(signo).name)
            self.server.stop_listening()
            self._drain(self.clock.now() + self.cfg.timing.shutdown_grace)

    def _drain(self, limit: float) -> None:
        """Stop once all requests in progress are answered or the limit passes."""
        if self.server.requests_in_progress and self.clock.now() < limit:
            self.clock.call_later(DRAIN_CHECK_INTERVAL, lambda: self._drain(limit))
            return
        self.application.stop_controllers()
        self.clock.call_later(DRAIN_CHECK_INTERVAL, self._end)

    def _end(self) -> None:
        self.http.close_all()
        self.peers.close()
        log_event(LogEvent.PROCESS_STOPPED, instance=self.cfg.instance)
        self.root.stop()
