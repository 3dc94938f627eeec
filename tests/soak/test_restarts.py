"""Restarts of the stand-in workers after a report, and tasks that state their run time."""

from __future__ import annotations

import json
import unittest
from typing import Any

from chivefall.config import Address
from chivefall.net import HttpReply, HttpRequest
from chivefall.runtime import Future, ManualClock, spawn
from standins.deployment import HOST, free_ports
from standins.platform import REPORT_TO_RESTART_SECONDS, PlatformService

RUN_SECONDS = 1.0
ENTRY_DELAY_SECONDS = 2.0
TASK = "ab.0.0.0"


class RestartAfterReportTest(unittest.TestCase):
    def setUp(self) -> None:
        address = Address(HOST, free_ports(1)[0])
        self.clock = ManualClock()
        self.sut = PlatformService(address, [str(address)], ["zarcero"], RUN_SECONDS, self.clock)
        self.sut.flush()  # the registration gives the server its poller
        self.addCleanup(self.sut.server.stop_listening)

    @property
    def worker(self) -> Any:
        """Return the current incarnation of the worker."""
        return self.sut._workers.workers["w0"]

    def request(self, method: str, path: str, body: Any = None, query: str = "") -> Any:
        """Return the decoded reply to a request that is served at once."""
        content = b"" if body is None else json.dumps(body).encode()
        req = HttpRequest(method, path, query, {"x-target-instance": "w0"}, content)
        reply: Future[HttpReply] = spawn(self.sut.handle(req))
        self.assertEqual(reply.result().status, 200)
        return json.loads(reply.result().body)

    def start_run(self, payload: str) -> None:
        body = {"fence_token": 1, "task": TASK, "run_id": 1, "task_spec": payload}
        self.request("POST", "/chivefall/run-start", {**body, "deadline_ms": 9000})

    def report(self, last_seen: int = 0) -> Any:
        body = {"fence_token": 1, "last_seen": last_seen}
        return self.request("POST", "/chivefall/hold", body)

    def listed_incarnation(self) -> int:
        """Return the incarnation that the worker's entry in the store names."""
        return json.loads(self.sut._state.get("servers/w0").value)["born"]

    def test_restart_between_a_report_and_its_acknowledgement(self) -> None:
        """Guards against a fault that restarts no worker, or only after the acknowledgement."""
        query = f"name=w0&act=restart_after_report&delay={ENTRY_DELAY_SECONDS}"
        self.request("PUT", "/control/worker", query=query)
        self.start_run("text")
        self.assertEqual(self.report()["finished"], [])
        self.clock.advance(RUN_SECONDS)
        self.assertEqual([row[0] for row in self.report()["finished"]], [1])
        self.assertEqual(self.worker.entry.incarnation, 1)  # The response has to leave first.
        self.clock.advance(REPORT_TO_RESTART_SECONDS)
        self.assertEqual(self.worker.entry.incarnation, 2)
        self.assertEqual(self.listed_incarnation(), 1)
        self.clock.advance(ENTRY_DELAY_SECONDS)
        self.assertEqual(self.listed_incarnation(), 2)
        self.assertEqual(self.report(last_seen=1)["born"], 2)
        kinds = [kind for _, kind, _ in self.sut._workers.past_incarnations[0].history]
        self.assertEqual(kinds, ["start", "done"])

    def test_worker_restarts_once(self) -> None:
        """Guards against workers that restart after each report, so that nothing completes."""
        self.request("PUT", "/control/worker", query="name=w0&act=restart_after_report")
        for _ in range(2):
            self.start_run("text")
            self.clock.advance(RUN_SECONDS)
            self.report()
            self.clock.advance(RUN_SECONDS)
        self.assertEqual(self.worker.entry.incarnation, 2)

    def test_task_states_its_run_time(self) -> None:
        """Guards against a soak test whose tasks all outlast the polls of their workers."""
        self.start_run("run 50 ms")
        self.clock.advance(0.049)
        self.assertEqual(self.report()["finished"], [])
        self.clock.advance(0.001)
        self.assertEqual([row[1] for row in self.report()["finished"]], [TASK])


if __name__ == "__main__":
    unittest.main()
