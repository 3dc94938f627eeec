"""Tests of the message transport over real sockets on 127.0.0.1, in one process."""

from __future__ import annotations

import os
import selectors
import subprocess
import sys
import time
import unittest
from pathlib import Path

from circuits import BaseComponent
from circuits.core.pollers import EPoll

from chivefall.config import Address
from chivefall.model import InstanceId
from chivefall.net import Envelope, Heartbeat, NngPeers, PeerFailure, PeerRequest, PeerResponse
from chivefall.net._messages import encode_envelope
from chivefall.net._peer_senders import MAX_SEND_SOCKETS, SEND_BUFFER_MESSAGES, PeerSenders
from chivefall.runtime import Future, ManualClock
from standins.deployment import free_ports

A, B = InstanceId("a"), InstanceId("b")
TIMEOUT_SECONDS = 10.0
COUNT_THREADS = """
import os
from chivefall.config import Address
from chivefall.net import NngPeers
from chivefall.runtime import ManualClock
before = len(os.listdir("/proc/self/task"))
NngPeers("a", Address("127.0.0.1", {port}), ManualClock(), print)
print(len(os.listdir("/proc/self/task")) - before)
"""


class Region:
    """Transports of several instances that are read only by ``run_until``."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.dropped: list[str] = []
        self.addresses: dict[InstanceId, Address] = {}
        self.peers: dict[InstanceId, NngPeers] = {}

    def start(self, name: InstanceId) -> NngPeers:
        if name not in self.addresses:
            self.addresses[name] = Address("127.0.0.1", free_ports(1)[0])
        peers = NngPeers(name, self.addresses[name], self.clock, self.dropped.append)
        root = BaseComponent()
        EPoll().register(root)
        peers.register(root)
        self.peers[name] = peers
        for other in self.peers.values():
            other.set_peers(self.addresses)
        return peers

    def close(self) -> None:
        for peers in self.peers.values():
            peers.close()

    def run_until(self, done) -> None:
        """Receive messages until ``done`` returns true."""
        until = time.monotonic() + TIMEOUT_SECONDS
        with selectors.DefaultSelector() as selector:
            for peers in self.peers.values():
                selector.register(peers._receive_fd, selectors.EVENT_READ, peers)
            while not done():
                if time.monotonic() > until:
                    raise TimeoutError("the expected messages were not received")
                for key, _ in selector.select(0.5):
                    key.data._on_read()


class NngPeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.region = Region()
        self.addCleanup(self.region.close)
        self.a, self.b = self.region.start(A), self.region.start(B)

    def hold_responses(self) -> dict[str, Future]:
        """Let ``b`` respond to each request when the test sets its future."""
        pending: dict[str, Future] = {}
        self.b.register_operation("ask", lambda body: pending.setdefault(body, Future()))
        return pending

    def test_reordered_responses_reach_their_own_requests(self) -> None:
        """Guards against swapped responses if they arrive in another order (G4)."""
        pending = self.hold_responses()
        calls = {name: self.a.call(B, "ask", name, 60.0) for name in "uvwxyz"}
        self.region.run_until(lambda: len(pending) == len(calls))
        for name in "zxvywu":
            pending[name].set_result(f"answer to {name}")
        self.region.run_until(lambda: all(fut.done() for fut in calls.values()))
        for name, fut in calls.items():
            self.assertEqual(fut.result(), f"answer to {name}")

    def test_late_response_is_dropped(self) -> None:
        """Guards against a late response that completes the next request."""
        pending = self.hold_responses()
        late = self.a.call(B, "ask", "late", 1.0)
        self.region.run_until(lambda: "late" in pending)
        self.region.clock.advance(2.0)
        self.assertTrue(late.result().sent)
        second = self.a.call(B, "ask", "second", 60.0)
        pending["late"].set_result("late answer")
        self.region.run_until(lambda: self.region.dropped and "second" in pending)
        self.assertFalse(second.done())
        pending["second"].set_result("right")
        self.region.run_until(second.done)
        self.assertEqual(second.result(), "right")

    def test_response_to_a_replaced_process_is_dropped(self) -> None:
        """Guards against a response to a former process that completes a new request."""
        pending = self.hold_responses()
        self.a.call(B, "ask", "old", 60.0)
        self.region.run_until(lambda: "old" in pending)
        self.a.close()
        new = self.region.start(A)
        fut = new.call(B, "ask", "new", 60.0)
        self.region.run_until(lambda: "new" in pending)
        pending["old"].set_result("answer to old")
        self.region.run_until(lambda: self.region.dropped)
        self.assertFalse(fut.done())
        pending["new"].set_result("answer to new")
        self.region.run_until(fut.done)
        self.assertEqual(fut.result(), "answer to new")

    def test_response_of_another_peer_is_dropped(self) -> None:
        """Guards against accepting a response from an instance that received no request."""
        self.hold_responses()
        fut = self.a.call(B, "ask", "x", 60.0)
        forged = Envelope("c", "i", "", PeerResponse(1, "wrong"), self.a.incarnation)
        self.a._receive(encode_envelope(forged))
        self.assertFalse(fut.done())
        self.assertIn("matches no pending request", self.region.dropped[-1])

    def test_failing_handlers_respond_with_an_error(self) -> None:
        """Guards against a request that fails only after its timeout."""

        def raise_at_once(body: object) -> Future:
            raise ValueError("at once")

        failed: Future = Future()
        failed.set_exception(ValueError("later"))
        unencodable: Future = Future()
        unencodable.set_result(object())
        self.b.register_operation("at once", raise_at_once)
        self.b.register_operation("later", lambda _: failed)
        self.b.register_operation("unencodable", lambda _: unencodable)
        for operation in ("at once", "later", "unencodable", "unknown"):
            with self.subTest(operation):
                fut = self.a.call(B, operation, None, 60.0)
                self.region.run_until(fut.done)
                self.assertIsInstance(fut.result(), PeerFailure)
                self.assertTrue(fut.result().sent)

    def test_restart_of_a_peer_fails_its_pending_requests(self) -> None:
        """Guards against waiting for a replaced process and accepting its late heartbeats."""
        pending = self.hold_responses()
        received = []
        self.a.set_heartbeat_handler(lambda envelope, _: received.append(envelope.incarnation))
        self.b.send(A, Heartbeat("zarcero", 1, 0.0, True))
        fut = self.a.call(B, "ask", "x", 3600.0)
        self.region.run_until(lambda: received and "x" in pending)
        old = received[0]
        self.b.close()
        self.b = self.region.start(B)
        self.b.send(A, Heartbeat("zarcero", 1, 0.0, True))
        self.region.run_until(fut.done)
        self.assertIn("restarted", fut.result().reason)
        late = Envelope(B, old, "", Heartbeat("zarcero", 1, 0.0, True))
        self.a._receive(encode_envelope(late))
        self.assertEqual(received, [old, self.b.incarnation])

    def test_sends_to_an_unreachable_peer_are_bounded_and_do_not_block(self) -> None:
        """Guards against an unreachable peer that blocks the event loop or exhausts memory."""
        self.b.close()
        unreachable = InstanceId("gone")
        self.a.set_peers({unreachable: Address("127.0.0.1", free_ports(1)[0])})
        futures = [self.a.call(unreachable, "ask", None, 60.0) for _ in range(200)]
        refused = [fut for fut in futures if fut.done()]
        self.assertGreaterEqual(len(refused), 200 - SEND_BUFFER_MESSAGES - 1)
        self.assertFalse(refused[0].result().sent)

    def test_closed_transport_fails_pending_and_new_requests(self) -> None:
        """Guards against requests that stay pending after ``close`` and sockets opened again."""
        fut = self.a.call(B, "ask", None, 3600.0)
        self.a.close()
        self.assertTrue(fut.result().sent)
        self.assertFalse(self.a.call(B, "ask", None, 60.0).result().sent)
        self.a._on_read()
        self.region.start(A)

    def test_malformed_messages_are_dropped(self) -> None:
        """Guards against malformed data that stops the receipt of messages."""
        for data in (b"", b"\xff\x00", b"\x93\x01\x02\x03"):
            self.a._receive(data)
        bad_address = Envelope("c", "i", "nowhere", PeerRequest(1, "unknown", None))
        self.a._receive(encode_envelope(bad_address))
        self.assertEqual(len(self.region.dropped), 5)


class PeerSendersTest(unittest.TestCase):
    def test_number_of_sockets_is_bounded(self) -> None:
        """Guards against an unbounded number of sockets to addresses named in messages."""
        senders = PeerSenders()
        self.addCleanup(senders.close)
        senders._sockets = {str(number): None for number in range(MAX_SEND_SOCKETS)}
        self.assertFalse(senders.send("127.0.0.1:1", b"x"))
        senders._sockets.clear()


class ThreadCountTest(unittest.TestCase):
    @unittest.skipUnless(Path("/proc/self/task").exists(), "needs the list of threads")
    def test_library_threads_are_bounded(self) -> None:
        """Guards against thread pools that grow with the number of processors."""
        code = COUNT_THREADS.format(port=free_ports(1)[0])
        done = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
            env={**os.environ, "PYTHONPATH": str(Path(__file__).resolve().parents[2])},
        )
        self.assertLessEqual(int(done.stdout), 10)
