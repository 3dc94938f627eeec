"""Calls to the platform's workers over real connections."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any

import msgspec

from chivefall.batch import EndSequence
from chivefall.config import Address
from chivefall.model import ConnectionId, Epoch
from chivefall.net import HttpClient, HttpReply, HttpRequest, HttpServer, json_reply
from chivefall.platform import HttpRunClient
from chivefall.runtime import Future, spawn
from chivefall.workers import (
    Acknowledgement,
    NoResponse,
    NotSent,
    OrderPermission,
    PollMode,
    RenewalOutcome,
    RunReport,
)
from standins.run_workers import make_worker_entry
from tests.net.loop import Loop

if TYPE_CHECKING:
    from collections.abc import Iterable

TIMEOUT_SECONDS = 0.8
PERMISSION = OrderPermission(Epoch(1), float("inf"))


class RunClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = Loop()
        self.responds = True
        self.report: dict[str, Any] = {"clock_ms": 1, "born": 1, "running": [], "finished": []}
        self.bodies: list[dict[str, Any]] = []
        self.connections: list[ConnectionId] = []
        self.server = HttpServer(Address("127.0.0.1", 0), self.serve, self.loop.clock)
        self.server.register(self.loop)
        self.http = HttpClient(self.loop.clock).register(self.loop)
        self.addCleanup(self.http.close_all)
        self.addCleanup(self.server.stop_listening)
        self.loop.process_events()
        address = "{}:{}".format(*self.server._server.server._sock.getsockname())
        self.worker = make_worker_entry("w0", address=address)
        self.client = HttpRunClient(self.http, TIMEOUT_SECONDS)

    def serve(self, req: HttpRequest) -> Future[HttpReply]:
        self.bodies.append(msgspec.json.decode(req.body))
        self.connections.append(req.connection)
        fut: Future[HttpReply] = Future()
        if self.responds:
            fut.set_result(json_reply(200, self.report))
        return fut

    def renew(self, connections: Iterable[ConnectionId] | None = None) -> RenewalOutcome:
        acknowledgement = None
        if connections is not None:
            acknowledgement = Acknowledgement(EndSequence(7), frozenset(connections))
        fut = spawn(self.client.renew_leases(self.worker, PERMISSION, None, acknowledgement, 0.0))
        self.loop.run_until(fut.done)
        return fut.result()

    def test_acknowledgement_over_the_connection_of_a_report(self) -> None:
        """Guards against an acknowledgement over a connection that brought no report."""
        report = self.renew()
        self.assertIsInstance(report, RunReport)
        self.assertIsInstance(self.renew({report.connection}), RunReport)
        self.assertEqual([body["last_seen"] for body in self.bodies], [0, 7])
        self.assertEqual(len(set(self.connections)), 1)

    def test_acknowledgement_after_a_restart(self) -> None:
        """Guards against an acknowledgement that reaches the next process of a worker."""
        report = self.renew()
        self.server.close_connections(self.connections)
        self.loop.process_events()
        self.assertIsInstance(self.renew({report.connection}), NotSent)
        self.assertIsInstance(self.renew(), RunReport)
        self.assertEqual([body["last_seen"] for body in self.bodies], [0, 0])

    def test_call_to_a_process_that_ended(self) -> None:
        """Guards against waiting for an order that was never sent."""
        self.server.stop_listening()
        self.loop.process_events()
        outcome = self.renew()
        self.assertIsInstance(outcome, NoResponse)
        self.assertFalse(outcome.sent)

    def test_call_without_a_response(self) -> None:
        """Guards against taking an order for not sent that the worker may still execute."""
        self.responds = False
        fut = spawn(self.client.renew_leases(self.worker, PERMISSION, None, None, 0.0))
        self.loop.run_until(lambda: self.bodies)
        self.loop.advance(TIMEOUT_SECONDS)
        self.assertIsInstance(fut.result(), NoResponse)
        self.assertTrue(fut.result().sent)
        self.assertFalse(fut.result().is_invalid)

    def test_report_that_cannot_be_decoded(self) -> None:
        """Guards against a report with an odd row that passes for a lost response."""
        for row in ([1, "0a.0.0.0", 1, "evicted", ""], [1, "0a.0.0.0", 1, "done"], {}):
            with self.subTest(row):
                self.report["finished"] = [row]
                outcome = self.renew()
                self.assertIsInstance(outcome, NoResponse)
                self.assertTrue(outcome.sent and outcome.is_invalid)

    def time_without_response(self, mode: PollMode) -> float:
        """Return the seconds until a poll fails that gets no response."""
        self.responds = False
        began_at, requests = self.loop.clock.now(), len(self.bodies)
        fut = spawn(self.client.renew_leases(self.worker, PERMISSION, None, None, 0.0, mode))
        self.loop.run_until(lambda: len(self.bodies) > requests)
        while not fut.done():
            self.loop.advance(0.01)
        self.assertIsInstance(fut.result(), NoResponse)
        return self.loop.clock.now() - began_at

    def test_timeouts_of_polls(self) -> None:
        """Guards against calls that wait on a path that is lost, or give up on a slow worker."""
        self.assertIsInstance(self.renew(), RunReport)
        self.assertLess(self.time_without_response(PollMode.QUICK), 0.25)
        for mode in (PollMode.PATIENT, PollMode.ROUTINE):
            self.assertGreater(self.time_without_response(mode), TIMEOUT_SECONDS - 0.02)

    def test_quick_timeout_over_a_slow_network(self) -> None:
        """Guards against quick calls that all fail where round trips are long."""
        for _ in range(100):
            self.client._quick_timeout.record_response(0.02)
        self.assertGreater(self.time_without_response(PollMode.QUICK), 0.35)

    def test_connection_of_a_call_to_a_suspect(self) -> None:
        """Guards against calls over an open connection that a cut has silenced."""
        self.renew()
        for mode in (PollMode.QUICK, PollMode.PATIENT):
            before = self.connections[-1]
            fut = spawn(self.client.renew_leases(self.worker, PERMISSION, None, None, 0.0, mode))
            self.loop.run_until(fut.done)
            self.assertIsInstance(fut.result(), RunReport)
            self.assertNotEqual(self.connections[-1], before)


if __name__ == "__main__":
    unittest.main()
