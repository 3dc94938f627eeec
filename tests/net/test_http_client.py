"""Tests of the HTTP client with scripted servers on real sockets."""

from __future__ import annotations

import resource
import select
import socket
import struct
import time
import unittest
from typing import TYPE_CHECKING, Any

from chivefall.config import Address
from chivefall.net import ConnectionLimits, HttpClient, HttpFailure, HttpResponse
from tests.net.loop import TIMEOUT_SECONDS, Loop, RawCaller

if TYPE_CHECKING:
    from chivefall.runtime import Future

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TICK_SECONDS = 0.05
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER
HEAD_END = b"\r\n\r\n"


class ClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = Loop()
        self.client = HttpClient(self.loop.clock).register(self.loop)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)
        self.addCleanup(self.client.close_all)
        self.address = Address(*self.listener.getsockname())
        self.loop.process_events()

    def send(self, **options: Any) -> Future[HttpResponse | HttpFailure]:
        """Send a request."""
        return self.client.request(self.address, "POST", "/x", b"body", **options)

    def accept(self) -> RawCaller:
        """Accept a connection and return it after a complete request was received."""
        found: list[socket.socket] = []

        def check() -> bool:
            try:
                found.append(self.listener.accept()[0])
            except BlockingIOError:
                return False
            return True

        self.loop.run_until(check)
        peer = RawCaller(self.loop, found[0])
        self.addCleanup(peer.sock.close)
        peer.wait_for(lambda data: data.endswith(b"body"))
        return peer

    def respond(self, fut: Future[Any], peer: RawCaller, data: bytes = OK) -> Any:
        """Send a response and return the result of the exchange."""
        peer.send(data)
        self.loop.run_until(fut.done)
        return fut.result()

    def test_large_response_may_take_longer_than_the_timeout(self) -> None:
        """Guards against large responses that always time out on a slow link.

        A leader on such a link could not read the jobs, so that it never served
        requests (RECOVER on kotvica-ops-grown, trouble-2, seed 85130988315).
        """
        for restart_timeout_on_data, kind in ((True, HttpResponse), (False, HttpFailure)):
            fut = self.send(
                timeout=0.3, restart_timeout_on_data=restart_timeout_on_data, idempotent=False
            )
            peer = self.accept()
            peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n")
            for _ in range(8):
                if not fut.done():
                    self.loop.advance(0.1)
                    peer.send(b"x")
            self.loop.run_until(fut.done)
            self.assertIsInstance(fut.result(), kind)

    def test_reuses_only_live_connections(self) -> None:
        """Guards against sending on a connection that the server has closed."""
        first = self.send()
        peer = self.accept()
        self.respond(first, peer)
        again = self.send()
        peer.wait_for(lambda data: data.count(b"body") == 2)
        self.respond(again, peer)
        peer.sock.close()
        # The close was received but the event loop has not processed it yet.
        fut = self.send()
        self.assertEqual(self.respond(fut, self.accept()).status, 200)
        self.assertEqual(self.client.open_connections(self.address), 1)

    def test_pooled_connection_that_ends_before_the_request_is_sent(self) -> None:
        """Guards against failures, and responses to nobody, from a connection that was reused.

        The server closes it, resets it or sends surplus data after it was taken from the pool.
        """
        for end in ("closed", "reset", "surplus"):
            for is_writable in (False, True):
                with self.subTest(end=end, is_writable=is_writable):
                    first = self.send(idempotent=False)
                    peer = self.accept()
                    self.respond(first, peer)
                    fut = self.send()
                    if is_writable:
                        self.loop.tick(TICK_SECONDS)
                        # The event of the writable connection waits in the queue of the loop.
                    if end == "surplus":
                        peer.sock.send(OK.replace(b"ok", b"no"))
                    else:
                        if end == "reset":
                            peer.sock.setsockopt(
                                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                            )
                        peer.sock.close()
                    result = self.respond(fut, self.accept())
                    self.assertIsInstance(result, HttpResponse, result)
                    self.assertEqual(result.body, b"ok")
                    self.assertEqual(self.client.open_connections(self.address), 1)

    def test_bound_request_on_a_connection_that_ends(self) -> None:
        """Guards against a bound request that a connection to another process carries."""
        first = self.send()
        peer = self.accept()
        response = self.respond(first, peer)
        fut = self.send(connections={response.connection})
        peer.sock.close()
        self.loop.run_until(fut.done)
        self.assertEqual((type(fut.result()), fut.result().sent), (HttpFailure, False))
        self.loop.process_events()
        self.assertEqual(self.client.open_connections(self.address), 0)

    def test_request_for_given_connections(self) -> None:
        """Guards against an acknowledgement that reaches the next process of a worker."""
        first = self.send()
        peer = self.accept()
        response = self.respond(first, peer)
        again = self.send(connections={response.connection})
        peer.wait_for(lambda data: data.count(b"body") == 2)
        self.assertEqual(self.respond(again, peer).connection, response.connection)
        peer.sock.close()
        lost = self.send(connections={response.connection})
        self.loop.run_until(lost.done)
        self.assertEqual((type(lost.result()), lost.result().sent), (HttpFailure, False))
        other = self.send()
        peer = self.accept()
        unsent = self.send(connections={response.connection})
        self.assertFalse(unsent.result().sent)
        self.assertNotEqual(self.respond(other, peer).connection, response.connection)
        self.assertEqual(peer.received.count(b"body"), 1)

    def test_request_for_a_connection_in_use(self) -> None:
        """Guards against two requests at once on the connection that a request has to use."""
        first = self.send()
        peer = self.accept()
        response = self.respond(first, peer)
        self.send()
        unsent = self.send(connections={response.connection})
        self.assertFalse(unsent.result().sent)

    def test_non_idempotent_request_uses_a_new_connection(self) -> None:
        """Guards against a reused connection on which a failure leaves the outcome unknown (G6)."""
        first = self.send()
        old = self.accept()
        self.respond(first, old)
        fut = self.send(idempotent=False)
        fresh = self.accept()
        self.respond(fut, fresh)
        self.assertEqual(old.wait_closed().count(b"body"), 1)
        self.assertEqual(self.client.open_connections(self.address), 1)

    def test_new_connection_beside_idle_ones(self) -> None:
        """Guards against a call over an idle connection that a cut has silenced."""
        first, second = self.send(), self.send()
        peers = [self.accept(), self.accept()]
        self.respond(first, peers[0])
        self.respond(second, peers[1])
        fut = self.send(new_connection=True)
        fresh = self.accept()
        self.assertEqual(self.respond(fut, fresh).status, 200)
        self.assertEqual([peer.received.count(b"body") for peer in peers], [1, 1])

    def test_new_connection_while_all_are_in_use(self) -> None:
        """Guards against a call to a silent worker that waits for orders without a response."""
        self.client = self.limited_client(per_server=2)
        for _ in range(2):
            self.send()
            self.accept()
        waiting = self.send()
        fut = self.send(new_connection=True)
        fresh = self.accept()
        self.assertEqual(self.respond(fut, fresh).status, 200)
        fresh.wait_for(lambda data: data.count(b"body") == 2)
        self.assertEqual(self.respond(waiting, fresh).status, 200)

    def test_limit_of_new_connections(self) -> None:
        """Guards against connections to a silent worker that grow without a limit."""
        self.client = self.limited_client(per_server=2)
        for _ in range(6):
            self.send(new_connection=True)
        self.loop.process_events()
        self.assertEqual(self.client.open_connections(self.address), 4)

    def send_after_a_pause(self) -> HttpFailure:
        """Send a request that expires before the loop runs again."""
        fut = self.send(expires_at=self.loop.clock.now() + 0.5)
        self.loop.clock.advance(0.6)
        self.loop.run_until(fut.done)
        self.assertEqual(self.client.open_connections(self.address), 0)
        return fut.result()

    def test_expired_request_is_not_sent(self) -> None:
        """Guards against an order that a paused process sends after its permission ran out."""
        self.assertFalse(self.send_after_a_pause().sent)

    def test_expired_request_is_not_sent_on_an_open_connection(self) -> None:
        """Guards against the same on a connection that needs no time to be established."""
        first = self.send()
        peer = self.accept()
        self.respond(first, peer)
        self.assertFalse(self.send_after_a_pause().sent)
        self.assertEqual(peer.wait_closed().count(b"body"), 1)

    def test_expired_request_is_not_sent_over_another_connection(self) -> None:
        """Guards against the same on the replacement of a connection that the server closed."""
        first = self.send()
        peer = self.accept()
        self.respond(first, peer)
        fut = self.send(expires_at=self.loop.clock.now() + 0.5)
        peer.sock.close()
        self.loop.clock.advance(0.6)
        self.loop.run_until(fut.done)
        self.assertEqual((type(fut.result()), fut.result().sent), (HttpFailure, False))
        self.assertEqual(fut.result().reason, "the request expired before it was sent")

    def test_connection_is_not_reused_after_a_timeout(self) -> None:
        """Guards against a late response that is taken for that of the next request (G4)."""
        first = self.send(timeout=1)
        peer = self.accept()
        self.loop.advance(1)
        self.assertEqual((first.result().sent, self.client._connection_counts), (True, {}))
        second = self.send()
        peer.send(OK.replace(b"ok", b"no"))
        self.assertEqual(self.respond(second, self.accept()).body, b"ok")

    def test_response_of_another_request_is_discarded(self) -> None:
        """Guards against a swapped response and the reuse of its connection (G4)."""
        fut = self.send(verify=lambda response: response.headers.get("id") == "7")
        result = self.respond(fut, self.accept(), OK.replace(b"\r\nC", b"\r\nId: 6\r\nC"))
        self.assertEqual((type(result), result.sent), (HttpFailure, True))
        self.assertEqual(self.client.open_connections(self.address), 0)

    def test_surplus_bytes_close_the_connection(self) -> None:
        """Guards against surplus bytes that are taken for the next response (G4)."""
        self.respond(self.send(), self.accept(), OK + OK)
        self.assertEqual(self.client.open_connections(self.address), 0)

    def test_response_formats(self) -> None:
        """Guards against valid responses that are truncated, rejected or never complete."""
        large = b"x" * 3_000_000
        cases = {
            "hyphen in the reason": (b"HTTP/1.1 203 Non-Authoritative\r\nContent-Length: 0", b""),
            "no content": (b"HTTP/1.1 204 No Content", b""),
            "large": (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000", large),
            "chunks": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked", b"1\r\na\r\n0\r\n\r\n"),
        }
        for name, (head, body) in cases.items():
            with self.subTest(name):
                fut = self.send(idempotent=False)
                result = self.respond(fut, self.accept(), head + HEAD_END + body)
                self.assertEqual(result.body, b"a" if name == "chunks" else body)
        fut = self.send(idempotent=False)
        peer = self.accept()
        peer.send(b"HTTP/1.1 200 OK\r\n\r\nuntil the end")
        self.loop.process_events()
        self.assertFalse(fut.done())
        peer.sock.close()
        self.loop.run_until(fut.done)
        self.assertEqual(fut.result().body, b"until the end")

    def test_too_large_or_truncated_responses_fail_as_sent(self) -> None:
        """Guards against unbounded memory and truncated responses."""
        for data in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n\r\n12345678901",
            b"nonsense\r\n\r\n",
        ):
            with self.subTest(data):
                result = self.respond(self.send(max_body_bytes=10), self.accept(), data)
                self.assertEqual((type(result), result.sent), (HttpFailure, True))
        fut = self.send()
        peer = self.accept()
        peer.send(OK[:-1])
        peer.sock.close()
        self.loop.run_until(fut.done)
        self.assertTrue(fut.result().sent)

    def test_response_before_the_request_is_sent_completely(self) -> None:
        """Guards against a refusal that is lost because the server then resets the connection.

        A server may refuse a large request by its head and close the connection, which
        resets it if a part of the request has not been read.
        """
        request = b"x" * 20_000_000  # more than the buffers of both sides hold
        for size in (2, 100_000):
            for is_reset in (False, True):
                with self.subTest(size=size, is_reset=is_reset):
                    fut = self.client.request(self.address, "POST", "/x", request, timeout=5)
                    self.loop.process_events()
                    peer = self.listener.accept()[0]
                    peer.settimeout(TIMEOUT_SECONDS)
                    self.loop.process_events()
                    self.assertTrue(self.client._poller.isWriting(self.sock_of(fut)))
                    time.sleep(TICK_SECONDS)
                    # The connection becomes writable.
                    while select.select([peer], [], [], 0)[0]:
                        peer.recv(1_000_000)
                        time.sleep(0.001)
                    self.loop.tick(TICK_SECONDS)
                    # The event of the writable connection waits in the queue of the loop.
                    head = b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: %d\r\n\r\n" % size
                    peer.sendall(head + b"x" * size)
                    if is_reset:
                        time.sleep(TICK_SECONDS)
                        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                        peer.close()
                    self.loop.run_until(fut.done)
                    peer.close()
                    self.assertIsInstance(fut.result(), HttpResponse, fut.result())
                    self.assertEqual((fut.result().status, len(fut.result().body)), (429, size))
                    self.assertEqual(self.client.open_connections(self.address), 0)

    def test_response_before_the_connection_ends(self) -> None:
        """Guards against a delivered response that is lost because its connection then ends."""
        for size in (2, 100_000):
            for is_reset in (False, True):
                with self.subTest(size=size, is_reset=is_reset):
                    fut = self.send(idempotent=False)
                    peer = self.accept().sock
                    peer.settimeout(TIMEOUT_SECONDS)
                    peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                    peer.sendall(b"x" * size)
                    if is_reset:
                        time.sleep(TICK_SECONDS)
                        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    peer.close()
                    self.loop.run_until(fut.done)
                    self.assertIsInstance(fut.result(), HttpResponse, fut.result())
                    self.assertEqual(len(fut.result().body), size)

    def sock_of(self, fut: Future[Any]) -> socket.socket:
        """Return the socket of an exchange."""
        return next(conn.sock for conn in self.client._active.values() if conn.fut is fut)

    def test_refused_connection_is_not_sent(self) -> None:
        """Guards against reporting a request as sent that was never sent (G5)."""
        self.listener.close()
        fut = self.send()
        self.loop.run_until(fut.done)
        self.assertFalse(fut.result().sent)

    def test_pending_connect_does_not_cause_a_busy_loop(self) -> None:
        """Guards against a busy loop while a connection attempt is pending."""
        fillers = []
        with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
            # The kernel drops further connection requests once the backlog is full.
            for _ in range(4):
                filler = socket.socket()
                self.addCleanup(filler.close)
                filler.setblocking(False)
                filler.connect_ex(full.getsockname())
                fillers.append(filler)
            fut = self.client.request(Address(*full.getsockname()), "GET", "/", timeout=5)
            before = resource.getrusage(resource.RUSAGE_SELF)
            for _ in range(10):
                self.loop.tick(0.05)
            after = resource.getrusage(resource.RUSAGE_SELF)
            self.loop.advance(5)
        used = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
        self.assertLess(used, 0.1)
        self.assertFalse(fut.result().sent)

    def test_connections_are_bounded(self) -> None:
        """Guards against more connections to a server than it accepts."""
        futs = [self.send(timeout=60) for _ in range(65)]
        self.assertEqual(self.client.open_connections(self.address), 64)
        self.assertFalse(futs[64].result().sent)

    def limited_client(self, **limits: int) -> HttpClient:
        """Return another client with limits, whose requests wait for a connection."""
        client = HttpClient(self.loop.clock, ConnectionLimits(waits=True, **limits))
        self.addCleanup(client.close_all)
        return client.register(self.loop)

    def test_requests_wait_for_a_connection_in_order(self) -> None:
        """Guards against a burst of orders that opens a connection for each of them."""
        self.client = self.limited_client(per_server=2)
        futs = [self.send() for _ in range(6)]
        peers = [self.accept(), self.accept()]
        for number in range(0, 6, 2):
            self.assertEqual([fut.done() for fut in futs], [i < number for i in range(6)])
            for fut, peer in zip(futs[number : number + 2], peers, strict=True):
                count = number // 2 + 1
                peer.wait_for(lambda data, count=count: data.count(b"body") == count)
                self.respond(fut, peer)
        self.assertEqual([fut.result().status for fut in futs], [200] * 6)
        self.assertEqual(self.client.open_connections(self.address), 2)

    def test_wait_for_a_connection_ends_with_the_timeout(self) -> None:
        """Guards against a request that waits for good, or that counts as sent."""
        self.client = self.limited_client(per_server=1)
        first = self.send(timeout=5)
        waiting = self.send(timeout=1)
        self.loop.advance(1)
        self.assertFalse(waiting.result().sent)
        self.assertFalse(first.done())
        self.assertEqual(self.respond(first, self.accept()).status, 200)

    def test_request_waits_behind_one_that_fails(self) -> None:
        """Guards against waiting requests that no connection ever serves after a failure."""
        self.client = self.limited_client(per_server=1)
        first, second = self.send(timeout=1), self.send(timeout=3)
        self.accept()
        self.loop.advance(1)
        self.assertTrue(first.result().sent)
        self.assertEqual(self.respond(second, self.accept()).status, 200)

    def test_dead_idle_connections_while_requests_wait(self) -> None:
        """Guards against waiting requests that are lost when an idle connection was closed."""
        self.client = self.limited_client(per_server=2)
        first, second = self.send(), self.send()
        peers = [self.accept(), self.accept()]
        self.respond(first, peers[0])
        waiting = [self.send(timeout=5) for _ in range(4)]
        # One connection is dead by the time the next request takes it.
        for peer in peers:
            peer.sock.close()
        self.loop.process_events()
        for _ in range(4):
            self.loop.process_events()
            done = [fut for fut in waiting if fut.done()]
            if len(done) == len(waiting):
                break
            peer = self.accept()
            peer.send(OK)
            self.loop.process_events()
            peer.sock.close()
            self.loop.process_events()
        self.loop.advance(6)
        self.assertTrue(all(fut.done() for fut in (second, *waiting)))
        self.assertEqual((self.client._waiting, self.client._serving), ({}, set()))

    def test_idle_connections_make_room_for_other_servers(self) -> None:
        """Guards against a fleet whose idle connections keep orders from the other workers."""
        self.client = self.limited_client(total=2, per_server=2)
        self.respond(self.send(), self.accept())
        with socket.create_server(("127.0.0.1", 0)) as other:
            address = Address(*other.getsockname())
            futs = [self.client.request(address, "GET", "/", timeout=5) for _ in range(2)]
            self.assertEqual(self.client.open_connections(self.address), 0)
            self.assertEqual(self.client.open_connections(address), 2)
            refused = self.send()
            self.assertFalse(refused.result().sent)
            self.assertFalse(any(fut.done() for fut in futs))

    def test_idle_connections_are_closed(self) -> None:
        """Guards against idle connections that are never closed."""
        self.respond(self.send(), self.accept())
        self.loop.advance(15)
        self.assertEqual((self.client._connection_counts, self.client._idle), ({}, {}))

    def test_header_value_cannot_inject_a_header(self) -> None:
        """Guards against an account name that injects headers into a request to an endpoint."""
        self.send(headers={"A": "b\r\nC: d"})
        self.assertIn(b"A: b C: d\r\n", bytes(self.accept().received))
