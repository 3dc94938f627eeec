"""Tests of the HTTP interface for jobs and service requests."""

from __future__ import annotations

import json
import unittest
from typing import Any

from chivefall.api._requests import encode_reply
from chivefall.model import Completed, NotRun, NotRunReason
from chivefall.net import HttpReply, HttpRequest
from standins.cluster import Cluster

HEADERS = {"x-chivefall-account": "farmers"}


class ApiTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster(("zarcero",), entries_per_domain=1)
        self.cluster.add_endpoints("zarcero", 1)
        self.cluster.advance(6)
        self.app = self.cluster.applications["zarcero-1"]

    def send(
        self, method: str, path: str, body: Any = None, query: str = "", **headers: str
    ) -> HttpReply:
        """Send a request and return the reply."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        names = {key.replace("_", "-"): value for key, value in headers.items()}
        req = HttpRequest(method, path, query, {**HEADERS, **names}, data)
        fut = self.app.api.serve(req)
        while not fut.done():
            self.cluster.advance(0.05)
        return fut.result()

    def test_unknown_paths_and_methods(self) -> None:
        """Guards against a wrong method that is reported as an unknown path."""
        self.assertEqual(self.send("GET", "/v1/nothing").status, 404)
        reply = self.send("PUT", "/v1/jobs")
        self.assertEqual((reply.status, reply.headers["Allow"]), (405, "POST"))
        self.assertEqual(self.send("HEAD", "/healthz").status, 200)

    def test_errors_name_the_key(self) -> None:
        """Guards against errors that do not name the invalid key or header."""
        service = "/v1/services/booking/requests"
        cases = [
            (("POST", "/v1/jobs", {"command": "x", "gang_size": "8"}), "$.gang_size"),
            (("POST", "/v1/jobs", {"command": "x", "gangsize": 8}), "gangsize"),
            (("POST", "/v1/jobs", {}), "command"),
            (("POST", "/v1/jobs", {"command": "x", "gang_size": 65}), "gang_size"),
            (("POST", "/v1/jobs", b'{"command": "x", "run_time": 1e999}'), "run_time"),
            (("POST", "/v1/jobs", b"{"), "JSON"),
            (("POST", "/v1/jobs", b"\xff"), "JSON"),
            (("POST", service, b"[" * 100_000), "JSON"),
        ]
        for args, name in cases:
            with self.subTest(name):
                reply = self.send(*args)
                self.assertEqual(reply.status, 400, reply.body)
                self.assertIn(name, json.loads(reply.body)["detail"])
        for header, value in (
            ("x_chivefall_timeout", "nan"),
            ("x_chivefall_idempotent", "yes"),
            ("idempotency_key", "k" * 257),
            ("x_chivefall_account", ""),
        ):
            with self.subTest(header):
                reply = self.send("POST", service, 1, **{header: value})
                detail = json.loads(reply.body)["detail"].lower()
                self.assertIn(header.replace("_", "-"), detail)

    def test_service_response_is_passed_on_unchanged(self) -> None:
        """Guards against losing the status or body of an endpoint's response."""
        reply = self.send("POST", "/v1/services/booking/requests", {"clip": [1, None]})
        self.assertEqual(json.loads(reply.body)["answer"]["body"], {"clip": [1, None]})
        self.cluster.endpoint("zarcero-e1").faults.fail = 1
        reply = self.send("POST", "/v1/services/booking/requests", 1)
        self.assertEqual((reply.status, json.loads(reply.body)["answer"]["error"]), (500, "failed"))

    def test_retry_after_is_rounded_up(self) -> None:
        """Guards against a caller that retries too early."""
        for outcome in (
            NotRun(NotRunReason.RATE_LIMITED, "", 2.1),
            Completed(None, 429, 2.1),
        ):
            reply = encode_reply(outcome)
            self.assertEqual((reply.status, reply.headers["Retry-After"]), (429, "3"))

    def test_drain(self) -> None:
        """Guards against new requests and dropped responses during a shutdown."""
        body = json.dumps({"command": "sort", "payload": {"run_time": 30.0}}).encode()
        waiting = self.app.api.serve(HttpRequest("POST", "/v1/jobs", "wait=1", HEADERS, body))
        running = self.app.api.serve(
            HttpRequest("POST", "/v1/services/booking/requests", "", HEADERS, b'{"run_time": 2.0}')
        )
        self.cluster.advance(1)
        self.assertFalse(waiting.done() or running.done())
        self.app.begin_drain()
        self.assertEqual(waiting.result().status, 202)
        job = json.loads(waiting.result().body)["job_id"]
        self.assertEqual(json.loads(self.send("GET", f"/v1/jobs/{job}").body)["state"], "running")
        refused = self.send("POST", "/v1/services/booking/requests", 1)
        self.assertEqual(json.loads(refused.body)["reason"], "shutting_down")
        self.cluster.advance(2)
        self.assertEqual(running.result().status, 200)

    def test_job_that_fits_no_domain_is_refused_at_once(self) -> None:
        """Guards against a job that stays queued although no domain can ever hold it."""
        for size, adjacency, status in ((9, "worker", 422), (8, "worker", 202), (9, "domain", 202)):
            body = {"command": "sort", "gang_size": size, "adjacency": adjacency}
            reply = self.send("POST", "/v1/jobs", body)
            self.assertEqual(reply.status, status, reply.body)
        refused = self.send("POST", "/v1/jobs", {**body, "accelerators": 9})
        self.assertIn("fits no domain", json.loads(refused.body)["detail"])

    def test_job_that_is_recorded_during_the_drain(self) -> None:
        """Guards against starting to wait for a job's outcome after the drain began."""
        self.cluster.stores["zarcero-1"].delay = 0.5
        fut = self.app.api.serve(
            HttpRequest("POST", "/v1/jobs", "wait=1", HEADERS, b'{"command": "sort"}')
        )
        self.cluster.advance(0.2)
        self.app.begin_drain()
        self.cluster.advance(0.5)
        self.assertEqual(fut.result().status, 202)

    def test_wait_at_a_peer_while_the_leader_shuts_down(self) -> None:
        """Guards against an unknown outcome of a job that continues to run (G8)."""
        cluster = Cluster(("zarcero",), entries_per_domain=2)
        cluster.advance(6)
        leader = cluster.leader("zarcero")
        (peer,) = [app for app in cluster.applications.values() if app is not leader]
        body = b'{"command": "sort", "payload": {"run_time": 15.0}}'
        fut = peer.api.serve(HttpRequest("POST", "/v1/jobs", "wait=1", HEADERS, body))
        cluster.advance(2)
        self.assertFalse(fut.done())
        leader.begin_drain()
        self.assertTrue(leader.hand_over())
        leader.stop_controllers()
        cluster.advance(15)
        reply = fut.result()
        self.assertEqual((reply.status, json.loads(reply.body)["outcome"]), (200, "completed"))

    def test_lease_is_kept_until_records_are_written(self) -> None:
        """Guards against a new leader that reads records while the old one still writes."""
        store = self.cluster.stores["zarcero-1"]
        store.delay = 0.5
        body = {"command": "sort", "payload": {"run_time": 0.1}}
        fut = self.app.api.serve(
            HttpRequest("POST", "/v1/jobs", "", HEADERS, json.dumps(body).encode())
        )
        self.cluster.advance(0.6)
        self.assertEqual(fut.result().status, 202)
        self.app.begin_drain()
        self.assertFalse(self.app.hand_over())
        self.assertTrue(self.app.leader.leads)
        self.cluster.advance(5)
        self.assertTrue(self.app.hand_over())
        self.app.stop_controllers()
        self.assertFalse(self.app.leader.leads)
