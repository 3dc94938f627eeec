"""Tests of the HTTP server on real sockets."""

from __future__ import annotations

import itertools
import socket
import struct
import unittest

from circuits.net.events import close

from chivefall.config import Address
from chivefall.net import HttpReply, HttpRequest, HttpServer
from chivefall.runtime import Future
from tests.net.loop import Loop, RawCaller

HOST = "127.0.0.1"


def get(path: str, *headers: str, method: str = "GET") -> bytes:
    """Return a request without a body."""
    return "\r\n".join([f"{method} {path} HTTP/1.1", "Host: x", *headers, "", ""]).encode()


class ServerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = Loop()
        self.pending: list[tuple[HttpRequest, Future[HttpReply]]] = []
        self.server = self.start()

    def start(self) -> HttpServer:
        """Start a server whose requests are served by this test."""
        with socket.socket() as sock:
            sock.bind((HOST, 0))
            self.address = Address(*sock.getsockname())
        server = HttpServer(self.address, self.serve, self.loop.clock)
        server.register(self.loop)
        self.addCleanup(server._server.server.close)
        self.loop.process_events()
        return server

    def serve(self, req: HttpRequest) -> Future[HttpReply]:
        """Keep a request in ``pending``; reply to ``/now`` at once."""
        fut: Future[HttpReply] = Future()
        if req.path == "/now":
            fut.set_result(HttpReply(200, req.body or b"now"))
        else:
            self.pending.append((req, fut))
        return fut

    def caller(self, data: bytes = b"") -> RawCaller:
        """Return a connected caller that has sent ``data``."""
        caller = RawCaller.connect(self.loop, self.address)
        self.addCleanup(caller.sock.close)
        caller.send(data)
        return caller

    def wait_pending(self, count: int) -> None:
        """Process events until ``count`` requests have been received."""
        self.loop.run_until(lambda: len(self.pending) >= count)

    def test_pipelined_requests_get_their_own_replies_in_order(self) -> None:
        """Guards against merged requests and swapped replies (G4)."""
        body = b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
        caller = self.caller(get("/a") + body + get("/c"))
        for index, (path, sent) in enumerate((("/a", b""), ("/b", b"abc"), ("/c", b""))):
            self.wait_pending(index + 1)
            req, fut = self.pending[index]
            self.assertEqual((req.path, req.body, len(self.pending)), (path, sent, index + 1))
            fut.set_result(HttpReply(200, f"answer {path}".encode()))
        received = caller.wait_for(lambda data: b"answer /c" in data)
        places = [received.index(f"answer {path}".encode()) for path in ("/a", "/b", "/c")]
        self.assertEqual(places, sorted(places))

    def test_late_reply_is_not_sent_to_a_new_caller_with_the_same_descriptor(self) -> None:
        """Guards against a reply sent to another caller whose connection reuses the descriptor."""
        first = self.caller(get("/first"))
        self.wait_pending(1)
        (descriptor,) = [sock.fileno() for sock in self.server._conns]
        first.sock.close()
        conn = next(iter(self.server._conns.values()))
        self.loop.run_until(lambda: conn.half_closed)
        self.server._close(conn)
        second = self.caller(get("/second"))
        self.wait_pending(2)
        self.assertEqual([sock.fileno() for sock in self.server._conns], [descriptor])
        self.pending[0][1].set_result(HttpReply(200, b"for the first"))
        self.loop.process_events()
        second.poll()
        self.assertEqual(second.received, b"")
        self.pending[1][1].set_result(HttpReply(200, b"for the second"))
        self.assertIn(b"for the second", second.wait_for(lambda data: b"second" in data))

    def test_half_closed_connection_gets_its_reply(self) -> None:
        """Guards against closing a half-closed connection too early, and against a busy loop."""
        caller = self.caller(get("/a"))
        self.wait_pending(1)
        caller.sock.shutdown(socket.SHUT_WR)
        conn = next(iter(self.server._conns.values()))
        self.loop.run_until(lambda: conn.half_closed)
        self.pending[0][1].set_result(HttpReply(200, b"whole answer"))
        self.assertTrue(caller.wait_closed().endswith(b"whole answer"))

    def test_large_bodies_are_refused_before_they_are_received(self) -> None:
        """Guards against buffering a body that exceeds the limit."""
        for head in (b"Content-Length: 1000001", b"Transfer-Encoding: chunked"):
            with self.subTest(head):
                caller = self.caller(b"POST /a HTTP/1.1\r\nHost: x\r\n" + head + b"\r\n\r\n")
                caller.send(b"f4241\r\n")
                self.assertTrue(
                    caller.wait_for(lambda data: b"send a smaller one" in data).startswith(
                        b"HTTP/1.1 413 Request Entity Too Large"
                    )
                )
                caller.send(b"x" * 3_000_000)
                buffered = sum(conn.framer.buffered_bytes for conn in self.server._conns.values())
                self.assertEqual(buffered, 0)
                self.loop.advance(2)
                caller.wait_closed()
        self.assertEqual(self.pending, [])

    def test_body_up_to_the_limit_is_accepted(self) -> None:
        """Guards against refusing a valid body, plain with 100-continue or in split chunks."""
        body = b"x" * 1_000_000
        head = b"POST /now HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1000000"
        caller = self.caller(head + b"\r\n\r\n")
        caller.wait_for(lambda data: data == b"HTTP/1.1 100 Continue\r\n\r\n")
        caller.send(body)
        self.assertTrue(caller.wait_for(lambda data: len(data) > len(body)).endswith(b"x"))
        chunked = self.caller(get("/now", "Transfer-Encoding: chunked", method="POST"))
        for part in (b"3", b"\r\nab", b"c\r", b"\n2\r\nde\r\n0\r\n", b"\r\n"):
            chunked.send(part)
            self.loop.process_events()
        chunked.wait_for(lambda data: data.endswith(b"abcde"))

    def test_malformed_heads_get_400_and_their_connection_is_closed(self) -> None:
        """Guards against bytes after a malformed head that are taken for another request."""
        for data in (
            b"nonsense\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: x\r\nbroken\r\n\r\n",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
        ):
            with self.subTest(data):
                caller = self.caller(data + get("/smuggled"))
                caller.wait_for(lambda received: b'{"error":' in received)
                self.loop.advance(2)
                self.assertTrue(caller.wait_closed().startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.pending, [])

    def test_slow_and_idle_connections_are_closed(self) -> None:
        """Guards against connections that slow or silent callers keep open without limit."""
        slow, idle = self.caller(b"POST /a HTTP/1.1\r\nHost: x\r\n"), self.caller()
        self.loop.process_events()
        for _ in range(21):
            self.loop.advance(1)
            slow.send(b"A: b\r\n")
        self.assertTrue(slow.wait_for(bool).startswith(b"HTTP/1.1 408"))
        self.assertFalse(idle.closed)
        for _ in range(60):
            self.loop.advance(1)
        idle.wait_closed()
        self.assertEqual(len(self.server._conns), 0)

    def test_oldest_idle_connection_is_closed_for_a_new_one(self) -> None:
        """Guards against unbounded connections, and against closing one that is in use."""
        self.server._max_connections = 2
        busy = self.caller(get("/a"))
        self.wait_pending(1)
        callers = []
        for _ in range(3):
            self.loop.advance(1)
            callers.append(self.caller())
            self.loop.process_events()
        callers[0].wait_closed()
        callers[1].wait_closed()
        self.assertEqual(len(self.server._conns), 2)
        self.pending[0][1].set_result(HttpReply(200, b"answer"))
        busy.wait_for(lambda data: data.endswith(b"answer"))

    def test_buffer_for_pipelined_requests_is_bounded(self) -> None:
        """Guards against unbounded memory for requests that follow one in progress."""
        caller = self.caller(get("/a"))
        self.wait_pending(1)
        conn = next(iter(self.server._conns.values()))
        flood = get("/now") * 2000

        def is_send_buffer_full() -> bool:
            """Return whether the kernel accepts no more data."""
            try:
                return caller.sock.send(flood) == 0
            except BlockingIOError:
                return conn.paused

        self.loop.run_until(is_send_buffer_full)
        self.assertLess(conn.framer.buffered_bytes, 2**18)

    def test_head_and_connection_close(self) -> None:
        """Guards against a body in a HEAD response and ignoring ``Connection: close``."""
        caller = self.caller(get("/now", "Connection: close", method="HEAD"))
        received = caller.wait_closed()
        self.assertIn(b"Content-Length: 3", received)
        self.assertTrue(received.endswith(b"\r\n\r\n"))
        old = self.caller(b"GET /now HTTP/1.0\r\n\r\n")
        self.assertTrue(old.wait_closed().endswith(b"now"))

    def test_backslashes_in_headers_are_kept(self) -> None:
        r"""Guards against treating the idempotency keys ``a\x41`` and ``aA`` as equal."""
        self.caller(get("/a", r"Idempotency-Key: a\x41\n"))
        self.wait_pending(1)
        self.assertEqual(self.pending[0][0].headers["idempotency-key"], r"a\x41\n")

    def test_closed_connections_leave_no_state(self) -> None:
        """Guards against memory that grows with each caller that disconnects early."""
        # SO_LINGER with a zero timeout: close() resets the connection
        reset = struct.pack("ii", 1, 0)
        large = HttpReply(200, b"x" * 8_000_000)
        cases = itertools.product((False, True), (False, True), ("close", "keep-alive"))
        for number, (resets, starts, connection) in enumerate(cases):
            caller = self.caller(get("/a", f"Connection: {connection}"))
            self.wait_pending(number + 1)
            if starts:
                self.pending[-1][1].set_result(large)
                self.loop.process_events()
            if resets:
                caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            caller.sock.close()
            if not starts:
                self.pending[-1][1].set_result(large)
            (sock,) = self.server._conns
            self.loop.run_until(lambda: not self.server._conns)
            # A second close event may be queued behind the one caused by the caller.
            self.loop.fire(close(sock), "web")
            self.loop.process_events()
        tcp, poller = self.server._server.server, self.server._server.server._poller
        left = [self.server._conns, tcp._buffers, tcp._closeq, tcp._clients]
        self.assertEqual([len(item) for item in left], [0, 0, 0, 0])
        # The wake-up pipe of the poller and the listening socket remain.
        self.assertEqual((len(poller._read), len(poller._write)), (2, 0))

    def test_caller_that_does_not_read_its_reply(self) -> None:
        """Guards against replies that stay in memory without limit."""
        self.caller(get("/a", "Connection: close"))
        self.wait_pending(1)
        self.pending[0][1].set_result(HttpReply(200, b"x" * 8_000_000))
        self.loop.process_events()
        self.assertFalse(self.server.is_idle)
        for _ in range(62):
            self.loop.advance(1)
        tcp = self.server._server.server
        self.assertEqual([len(item) for item in (tcp._buffers, tcp._closeq)], [0, 0])
        self.assertTrue(self.server.is_idle)

    def test_stop_listening_serves_accepted_connections(self) -> None:
        """Guards against resetting connections in the accept queue (G8)."""
        callers = [self.caller(get("/now")) for _ in range(5)]
        self.server.stop_listening()
        for caller in callers:
            self.assertIn(b"Connection: close", caller.wait_closed())
        with self.assertRaises(ConnectionRefusedError):
            RawCaller.connect(self.loop, self.address)
        self.assertTrue(self.server.is_idle)
