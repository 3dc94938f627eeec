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
from chivefall.workers import Acknowledgement, NotSent, OrderPermission, RenewalOutcome, RunReport
from standins.run_workers import make_worker_entry
from tests.net.loop import Loop

if TYPE_CHECKING:
    from collections.abc import Iterable

TIMEOUT_SECONDS = 0.8
PERMISSION = OrderPermission(Epoch(1), float("inf"))


class RunClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = Loop()
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
        fut.set_result(json_reply(200, {"clock_ms": 1, "born": 1, "running": [], "finished": []}))
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


if __name__ == "__main__":
    unittest.main()
