"""Daemon of an entry instance: transports, signals and shutdown."""

from __future__ import annotations

import signal as signals
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler
from circuits.core.events import signal
from circuits.core.pollers import EPoll

from chivefall.application import Application, Connections
from chivefall.config import Address
from chivefall.controllers._errors import log_timer_error
from chivefall.early_signals import EARLY_SIGNALS
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

DRAIN_CHECK_INTERVAL_SECONDS = 0.1  # between checks of the progress of a shutdown
HANDOVER_SECONDS = 4.0  # last part of the grace period, to write records and release the lease
RELEASE_RESERVE_SECONDS = 1.5  # last part of the grace period, to release the lease


class Daemon(BaseComponent):
    """Runs an application on the circuits loop until a termination signal."""

    channel = "daemon"

    def __init__(self, cfg: Settings) -> None:
        super().__init__()
        self.cfg = cfg
        self._started = False
        self._stopping = False
        self._ended = False
        self._stop_deadline = 0.0
        EPoll().register(self)
        self.clock = LoopClock()
        self.clock.timer_component.register(self)
        self.clock.on_error = log_timer_error
        self.http = HttpClient(self.clock).register(self)
        self.peers = NngPeers(
            cfg.instance,
            Address.parse(cfg.peer_listen),
            self.clock,
            lambda reason: log_event(LogEvent.PEER_MESSAGE_DROPPED, reason=reason),
        ).register(self)
        self.application = Application(cfg, self._connections()).register(self)
        self.application.metrics.add_sampler(self._sample)
        self.server = HttpServer(Address.parse(cfg.listen), self.application.api.serve, self.clock)
        self.server.register(self)

    def _sample(self) -> None:
        """Update the gauges for the transports."""
        metrics = self.application.metrics
        for transport, source in (("http", self.http), ("peers", self.peers)):
            for direction in ("sent", "received"):
                labels = {"transport": transport, "direction": direction}
                metrics.control_bytes.set(labels, getattr(source, f"bytes_{direction}"))
        metrics.store_calls.set({}, self.store.calls)

    def _connections(self) -> Connections:
        platform, timing = Address.parse(self.cfg.store), self.cfg.timing
        self.store = HttpStore(self.http, platform, timing.store_timeout)
        return Connections(
            self.clock,
            self.store,
            HttpWorkerClient(self.http, platform, timing.worker_timeout),
            self.peers,
            HttpEndpointClient(self.http),
        )

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
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
        if signo not in (signals.SIGTERM, signals.SIGINT):
            return
        log_event(LogEvent.PROCESS_STOPPING, signal=signals.Signals(signo).name)
        if self._stopping:
            self._end()
            return
        self._stopping = True
        self._stop_deadline = self.clock.now() + self.cfg.timing.shutdown_grace
        self.server.stop_listening()
        self.application.begin_drain()
        self.clock.call_later(DRAIN_CHECK_INTERVAL_SECONDS, self._drain)

    def _drain(self) -> None:
        """Wait until the responses to all requests in progress have been sent."""
        if not self.server.is_idle and self._has_grace_left(HANDOVER_SECONDS):
            self.clock.call_later(DRAIN_CHECK_INTERVAL_SECONDS, self._drain)
            return
        self.application.end_requests()
        # No client is waiting any more, so the rest of a long grace period is not needed.
        self._stop_deadline = min(self._stop_deadline, self.clock.now() + HANDOVER_SECONDS)
        self._hand_over()

    def _hand_over(self) -> None:
        """Release the leader lease once the records of all started work are written."""
        if not self.application.hand_over() and self._has_grace_left(RELEASE_RESERVE_SECONDS):
            self.clock.call_later(DRAIN_CHECK_INTERVAL_SECONDS, self._hand_over)
            return
        self.application.stop_controllers()
        self._release()

    def _release(self) -> None:
        """Exit once the lease is released and the last responses are sent."""
        busy = self.application.leader.tasks_in_progress or not self.server.is_idle
        if busy and self._has_grace_left(0.0):
            self.clock.call_later(DRAIN_CHECK_INTERVAL_SECONDS, self._release)
            return
        self._end()

    def _has_grace_left(self, reserve: float) -> bool:
        """Return whether more than ``reserve`` seconds of the grace period are left.

        The reserve is limited to a quarter of the grace period.
        """
        grace = self.cfg.timing.shutdown_grace
        return self.clock.now() < self._stop_deadline - min(reserve, grace / 4)

    def _end(self) -> None:
        if self._ended:
            return
        self._ended = True
        self.http.close_all()
        self.peers.close()
        log_event(LogEvent.PROCESS_STOPPED, instance=self.cfg.instance)
        self.root.stop()
