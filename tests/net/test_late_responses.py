"""Responses that arrive while the process of the client is paused or busy.

The client runs on the loop of the product: the poller on real sockets, and timers that
run before the poller reads.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
import unittest
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent
from circuits.core.pollers import EPoll

from chivefall.config import Address
from chivefall.net import HttpClient, HttpFailure, HttpResponse
from chivefall.runtime import LoopClock

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.runtime import Future

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT_SECONDS = 0.6
PAUSE_SECONDS = 0.8  # longer than the timeout
LIMIT_SECONDS = 10.0  # of a test


def receive_request(peer: socket.socket) -> str:
    """Return the path of a request once it was received completely."""
    data = b""
    while not data.endswith(b"body"):
        data += peer.recv(65536)
    return data.split(b" ")[1].decode()


class BusyLoopTest(unittest.TestCase):
    def setUp(self) -> None:
        self.root, self.clock = BaseComponent(), LoopClock()
        self.client = HttpClient(self.clock)
        for component in (EPoll(), self.clock.timer_component, self.client):
            component.register(self.root)
        self.addCleanup(self.client.close_all)
        self.listener = self.enterContext(socket.create_server(("127.0.0.1", 0)))
        self.listener.settimeout(LIMIT_SECONDS)
        self.address = Address(*self.listener.getsockname())
        self.peers: dict[str, socket.socket] = {}

    def send(self, path: str, timeout: float, **options: Any) -> Future[HttpResponse | HttpFailure]:
        return self.client.request(self.address, "POST", path, b"body", timeout=timeout, **options)

    def accept(self, count: int) -> None:
        """Accept connections and keep each under the path of its request."""
        for _ in range(count):
            peer = self.enterContext(self.listener.accept()[0])
            peer.settimeout(LIMIT_SECONDS)
            self.peers[receive_request(peer)] = peer

    def run_until(self, condition: Callable[[], bool]) -> None:
        limit = time.monotonic() + LIMIT_SECONDS
        self.root._running = True
        while not condition():
            self.assertLess(time.monotonic(), limit)
            self.root.tick(0.01)

    def pause_in_a_handler(self, action: Callable[[], None]) -> None:
        """Pause for longer than the timeout of ``/slow`` after an action, in a read handler."""
        other = self.send("/other", LIMIT_SECONDS)

        def pause(_: Future[Any]) -> None:
            action()
            time.sleep(PAUSE_SECONDS)

        other.add_done_callback(pause)
        self.clock.call_later(0.05, lambda: (self.accept(2), self.peers["/other"].sendall(OK)))
        self.run_until(other.done)

    def test_response_that_arrives_during_a_pause(self) -> None:
        """Guards against a response that has arrived and is lost to the timeout of its exchange.

        A worker's report of an end is lost in this way, and the task may run again.
        """
        fut = self.send("/slow", TIMEOUT_SECONDS)
        self.pause_in_a_handler(lambda: self.peers["/slow"].sendall(OK))
        self.run_until(fut.done)
        self.assertEqual(fut.result().body, b"ok")
        self.assertEqual(self.client.open_connections(self.address), 2)

    def test_large_response_that_arrives_during_a_pause(self) -> None:
        """Guards against the same for a response that takes more than one read."""
        body = b"x" * 100_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        fut = self.send("/slow", TIMEOUT_SECONDS)
        self.pause_in_a_handler(lambda: self.peers["/slow"].sendall(head + body))
        self.run_until(fut.done)
        self.assertEqual(fut.result().body, body)

    def test_part_that_arrives_during_a_pause_restarts_the_timeout(self) -> None:
        """Guards against large responses of the store that a pause breaks off."""
        fut = self.send("/slow", TIMEOUT_SECONDS, restart_timeout_on_data=True)
        self.pause_in_a_handler(lambda: self.peers["/slow"].sendall(OK[:-1]))
        self.clock.call_later(0.05, lambda: self.peers["/slow"].sendall(OK[-1:]))
        self.run_until(fut.done)
        self.assertEqual(fut.result().body, b"ok")

    def test_incomplete_response_fails_by_the_timeout(self) -> None:
        """Guards against exchanges without an end, and responses that are cut short."""
        for data in (b"", OK[:-1], b"nonsense\r\n\r\n"):
            with self.subTest(data):
                fut = self.send("/slow", TIMEOUT_SECONDS, idempotent=False)
                self.pause_in_a_handler(lambda data=data: self.peers["/slow"].sendall(data))
                self.run_until(fut.done)
                self.assertIsInstance(fut.result(), HttpFailure)
                self.assertTrue(fut.result().sent)
                self.assertNotIn(self.peers["/slow"], self.client._active)

    def test_response_after_the_timeout_is_not_that_of_the_next_request(self) -> None:
        """Guards against a response to an expired exchange that the next request receives."""
        expired = self.send("/slow", TIMEOUT_SECONDS)
        self.clock.call_later(0.05, lambda: self.accept(1))
        self.run_until(expired.done)
        self.assertIsInstance(expired.result(), HttpFailure)
        fut = self.send("/next", LIMIT_SECONDS)
        self.clock.call_later(0.05, lambda: self.accept(1))
        self.run_until(lambda: "/next" in self.peers)
        self.peers["/slow"].sendall(OK.replace(b"ok", b"no"))
        self.clock.call_later(0.05, lambda: self.peers["/next"].sendall(OK))
        self.run_until(fut.done)
        self.assertEqual(fut.result().body, b"ok")


class StoppedProcessTest(unittest.TestCase):
    def test_response_that_arrives_while_the_process_is_stopped(self) -> None:
        """Guards against responses lost to a pause by a signal, which interrupts the poller."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.settimeout(LIMIT_SECONDS)
            address = "{}:{}".format(*listener.getsockname())
            command = ["-m", "tests.net.paused_client", address, str(TIMEOUT_SECONDS)]
            with subprocess.Popen([sys.executable, *command], stdout=subprocess.PIPE) as process:
                self.addCleanup(process.kill)
                peer = self.enterContext(listener.accept()[0])
                peer.settimeout(LIMIT_SECONDS)
                receive_request(peer)
                os.kill(process.pid, signal.SIGSTOP)
                peer.sendall(OK)
                time.sleep(PAUSE_SECONDS)
                os.kill(process.pid, signal.SIGCONT)
                output, _ = process.communicate(timeout=LIMIT_SECONDS)
        self.assertEqual(output.decode().strip(), "HttpResponse")


if __name__ == "__main__":
    unittest.main()
