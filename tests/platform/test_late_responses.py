"""Calls to workers and the store whose responses are read late, after a pause of the process."""

from __future__ import annotations

import socket
import unittest
from typing import TYPE_CHECKING, Any

from chivefall.batch import Checkpoint, EndKind, RunId, RunNumber, TaskKey
from chivefall.config import Address
from chivefall.model import Epoch, JobId
from chivefall.net import HttpClient
from chivefall.platform import HttpRunClient, PlatformStore
from chivefall.runtime import spawn
from chivefall.store import ABSENT, Stored
from chivefall.workers import OrderAccepted, OrderPermission, RunOrder, RunReport
from standins.run_workers import make_worker_entry
from tests.net.loop import Loop, RawCaller

if TYPE_CHECKING:
    from collections.abc import Coroutine

MAX_TIMEOUT_SECONDS = 3.0
PAUSE_SECONDS = 20.0


class LateResponseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = Loop()
        self.http = HttpClient(self.loop.clock).register(self.loop)
        self.addCleanup(self.http.close_all)
        self.listener = self.enterContext(socket.create_server(("127.0.0.1", 0)))
        self.listener.setblocking(False)
        self.address = Address(*self.listener.getsockname())
        self.loop.process_events()

    def call(self, call: Coroutine[Any, Any, Any], body: bytes) -> Any:
        """Return the outcome of a call whose response arrives during a pause."""
        fut = spawn(call)
        self.loop.process_events()
        peer = RawCaller(self.loop, self.listener.accept()[0])
        self.addCleanup(peer.sock.close)
        peer.wait_for(lambda data: b"\r\n\r\n{" in data and data.endswith(b"}"))
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        self.loop.clock.advance(PAUSE_SECONDS)
        self.loop.run_until(fut.done)
        return fut.result()

    def test_order_to_a_worker(self) -> None:
        """Guards against a pause that counts as response time and so delays repeated starts."""
        client = HttpRunClient(self.http, MAX_TIMEOUT_SECONDS)
        before = client._adaptive_timeout.next_timeout()
        run = RunId(JobId("0a"), TaskKey(0, 0, 0), RunNumber(1))
        outcome = self.call(
            client.start(
                make_worker_entry("w0", address=str(self.address)),
                RunOrder(run, "payload", 1.0, Checkpoint("")),
                OrderPermission(Epoch(1), float("inf")),
            ),
            b'{"clock_ms":1}',
        )
        self.assertIsInstance(outcome, OrderAccepted)
        self.assertEqual(client._adaptive_timeout.next_timeout(), before)

    def test_report_of_an_end(self) -> None:
        """Guards against an end that a worker reported and that the leader does not know.

        Its task runs again once the run's lease has expired.
        """
        client = HttpRunClient(self.http, MAX_TIMEOUT_SECONDS)
        worker = make_worker_entry("w0", address=str(self.address))
        permission = OrderPermission(Epoch(1), float("inf"))
        report = self.call(
            client.renew_leases(worker, permission, 5.0, None, 0.0),
            b'{"clock_ms":1,"born":1,"running":[],"finished":[[1,"0a.0.0.0",1,"done",""]]}',
        )
        self.assertIsInstance(report, RunReport, report)
        self.assertEqual([end.kind for end in report.ends], [EndKind.DONE])

    def test_write_to_the_store(self) -> None:
        """Guards against a write that is taken for uncertain although its response arrived."""
        store = PlatformStore(self.http, self.address, MAX_TIMEOUT_SECONDS)
        before = store._adaptive_timeout.next_timeout()
        outcome = self.call(store.put("a", b"1", ABSENT), b'{"revision":7}')
        self.assertEqual(outcome, Stored(7))
        self.assertEqual(store._adaptive_timeout.next_timeout(), before)


if __name__ == "__main__":
    unittest.main()
