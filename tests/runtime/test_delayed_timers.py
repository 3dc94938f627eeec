"""Timers that are delayed by a pause of the process, and data that arrives meanwhile."""

from __future__ import annotations

import socket
import time
import unittest

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import EPoll

from chivefall.runtime import Future, LoopClock, wait_for

TIMEOUT_SECONDS = 0.1
PAUSE_SECONDS = 0.3  # longer than the timeout
LIMIT_SECONDS = 5.0  # of a test


class _Pause(Event):
    """Makes the process busy."""


class _Reader(BaseComponent):
    """Completes a future with the data that a socket receives."""

    channel = "reader"

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self.sock = sock
        self.received: Future[bytes] = Future()

    @handler("_read")
    def _on_read(self, sock: socket.socket) -> None:
        self.received.set_result(sock.recv(100))


class _PausingComponent(BaseComponent):
    channel = "pause"

    @handler("_Pause")
    def _on_pause(self, peer: socket.socket | None) -> None:
        if peer is not None:
            peer.sendall(b"data")
        time.sleep(PAUSE_SECONDS)


class DelayedTimerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.root, self.clock, poller = BaseComponent(), LoopClock(), EPoll()
        sock, self.peer = socket.socketpair()
        self.enterContext(sock)
        self.enterContext(self.peer)
        self.reader = _Reader(sock)
        pausing = _PausingComponent()
        for component in (poller, self.clock.timer_component, self.reader, pausing):
            component.register(self.root)
        poller.addReader(self.reader, sock)
        self.root._running = True
        for _ in range(3):
            self.root.tick(0.01)

    def wait(self, peer: socket.socket | None) -> bytes:
        """Return what is received within the timeout if the process pauses meanwhile."""
        fut = wait_for(self.clock, self.reader.received, TIMEOUT_SECONDS, b"timeout")
        self.root.fire(_Pause(peer), "pause")
        limit = time.monotonic() + LIMIT_SECONDS
        while not fut.done() and time.monotonic() < limit:
            self.root.tick(0.01)
        return fut.result()

    def test_data_that_arrives_during_a_pause(self) -> None:
        """Guards against a timeout that ends before data is read that arrived in time."""
        self.assertEqual(self.wait(self.peer), b"data")

    def test_pause_without_data(self) -> None:
        """Guards against timers that do not run after a pause."""
        started_at = time.monotonic()
        self.assertEqual(self.wait(None), b"timeout")
        self.assertLess(time.monotonic() - started_at, PAUSE_SECONDS + 1.0)


if __name__ == "__main__":
    unittest.main()
