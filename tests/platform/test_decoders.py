"""Tests of the decoders of the platform's messages, also with arbitrary and mutated input."""

from __future__ import annotations

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from chivefall.batch import BatchOperation, Catalog, Resources, WorkerEntry, WorkerStatus
from chivefall.errors import MessageError
from chivefall.model import Accepted, JobId, NotRun, NotRunReason, Unknown
from chivefall.net import HttpRequest
from chivefall.platform import BatchHttpApi, JsonPlatformCodec
from chivefall.platform._run_client import _order_outcome, _run_report
from chivefall.runtime import ManualClock
from chivefall.telemetry import BatchMetrics
from chivefall.workers import NoResponse, OrderRefusalReason, OrderRefused

WORKER = {
    "service": "pool",
    "addr": "10.128.0.9:8080",
    "zone": "zarcero",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 8},
    "labels": ["a", "r1-3"],
    "born": 1700000000000,
    "clock_ms": 482113,
    "seq": 4,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


class CodecTest(unittest.TestCase):
    codec = JsonPlatformCodec()

    def test_worker_entry(self) -> None:
        """Guards against assigning a wire field to the wrong attribute."""
        entry = self.codec.decode_worker("servers/i-1", json.dumps(WORKER).encode())
        self.assertEqual(entry.worker_id, "i-1")
        self.assertEqual(entry.capacity, Resources(16000, 32768, 8))
        self.assertEqual(entry.rack, "r1-3")
        self.assertIs(entry.status, WorkerStatus.READY)

    def test_entry_without_start_time_is_ignored(self) -> None:
        """Guards against taking an entry of another program for a new incarnation."""
        body = {key: value for key, value in WORKER.items() if key != "born"}
        with self.assertRaises(MessageError):
            self.codec.decode_worker("servers/i-1", json.dumps(body).encode())

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.sampled_from(sorted(WORKER)), JSON)
    def test_mutated_worker_entry(self, key: str, value: object) -> None:
        """Guards against an exception that stops updates of the local copy of the workers."""
        try:
            entry = self.codec.decode_worker(
                "servers/i", json.dumps({**WORKER, key: value}).encode()
            )
        except MessageError as exc:
            self.assertTrue(exc.remedy)
            return
        self.assertIsInstance(entry, WorkerEntry)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=60))
    def test_arbitrary_bytes(self, value: bytes) -> None:
        """Guards against an unexpected exception for bytes that are no valid message."""
        with self.assertRaises(MessageError):
            self.codec.decode_worker("servers/i", value)
        try:
            self.assertIsInstance(self.codec.decode_catalog(value), Catalog)
        except MessageError as exc:
            self.assertTrue(exc.remedy)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(JSON)
    def test_report_of_a_worker(self, rows: object) -> None:
        """Guards against exceptions of types that the client does not handle."""
        body = json.dumps({"clock_ms": 1, "running": rows, "finished": rows}).encode()
        try:
            _run_report(body)
        except MessageError:
            return

    def test_rows_of_a_report(self) -> None:
        """Guards against a wrong order of array elements, which have no names on the wire."""
        running = [["0a.0.1.17", 2, "c1", 41, 3]]
        body = {"clock_ms": 1500, "running": running, "finished": [[58, "0a.0.1.9", 1, "done", ""]]}
        report = _run_report(json.dumps(body).encode())
        self.assertEqual((report.clock, report.running[0].progress), (1.5, 0.41))
        self.assertEqual(report.running[0].run.task, (0, 1, 17))
        self.assertEqual((report.ends[0].sequence, report.ends[0].kind.value), (58, "done"))

    def test_refusals_of_orders(self) -> None:
        """Guards against taking another response for a refusal, which proves non-execution."""
        from chivefall.net import HttpResponse  # noqa: PLC0415

        for status, body, reason in (
            (409, b'{"clock_ms":1,"reason":"fence"}', OrderRefusalReason.FENCED),
            (409, b'{"clock_ms":1,"reason":"room"}', OrderRefusalReason.NO_ROOM),
            (429, b"", OrderRefusalReason.UNHEALTHY),
            (400, b"", OrderRefusalReason.MALFORMED),
        ):
            outcome = _order_outcome(HttpResponse(status, body))
            self.assertIsInstance(outcome, OrderRefused)
            self.assertIs(outcome.reason, reason)
        unknown = _order_outcome(HttpResponse(409, b'{"reason":"new"}'))
        self.assertIsInstance(unknown, NoResponse)


class FixedChain:
    """A filter chain that records the request and returns a given outcome."""

    def __init__(self, outcome: object) -> None:
        self.outcome = outcome

    async def run(self, ctx: object) -> object:
        self.ctx = ctx
        return self.outcome


class FixedCatalog:
    """A catalog controller whose catalog was confirmed just now."""

    catalog = Catalog(1)

    def age(self, now: float) -> float:
        del now
        return 0.0


class ApiTest(unittest.TestCase):
    def serve(self, outcome: object, method: str, body: bytes = b"{}", **headers: str):
        self.chain = FixedChain(outcome)
        api = BatchHttpApi(ManualClock(), self.chain, FixedCatalog(), BatchMetrics())
        fields = {"host": "h.example:80", "authorization": "Token k1", **headers}
        return api.serve(HttpRequest(method, "/q/00ff", "", fields, body)).result()

    def test_submission_is_decoded(self) -> None:
        """Guards against a wrong host, key, deadline or step of a submission."""
        body = json.dumps(
            {
                "task_spec": "text",
                "steps": [{"count": 2, "cpu": 500, "gpu": 1, "affinity": "r1", "gang": True}],
            }
        ).encode()
        headers = {"x-deadline-ms": "1500"}
        reply = self.serve(Accepted(JobId("00ff")), "POST", body, **headers)
        ctx = self.chain.ctx
        self.assertEqual(reply.status, 200)
        self.assertIs(ctx.operation, BatchOperation.SUBMIT)
        self.assertEqual((ctx.host, ctx.key), ("h.example", "k1"))
        self.assertAlmostEqual(ctx.deadline - ctx.received_at, 1.5)
        step = ctx.spec.steps[0]
        self.assertEqual((step.count, step.data_rack, step.gang), (2, "r1", True))

    def test_odd_deadlines(self) -> None:
        """Guards against an exception, or an endless wait, for odd values of a header."""
        for text in ("²", "٣", "9" * 5000, "9" * 400, "-1", "1e9", "", " ", "nan"):
            with self.subTest(text[:10]):
                headers = {"x-deadline-ms": text}
                reply = self.serve(Accepted(JobId("00ff")), "GET", **headers)
                self.assertEqual(reply.status, 200)
                remaining = self.chain.ctx.deadline - self.chain.ctx.received_at
                self.assertLessEqual(remaining, 3600.0)
                self.assertGreater(remaining, 0.0)

    def test_odd_jobs_are_refused(self) -> None:
        """Guards against numbers that fail in arithmetic or cannot be stored, and deep nesting."""
        for body in (
            b"[" * 5000 + b"]" * 5000,
            b'{"steps": [{"count": 1, "unknown": ' + b"[" * 5000 + b"]" * 5000 + b"}]}",
            b'{"steps": [{"cpu": -1}]}',
            b'{"steps": [{"gpu": ' + b"9" * 30 + b"}]}",
            b'{"steps": [{"est_runtime_ms": -5}]}',
            b'{"steps": [{"est_runtime_ms": 1e300}]}',
            b'{"steps": [{"anti_affinity": -5}]}',
            b'{"repeat_count": -1}',
            b'{"first_run_ms": 1e999}',
            b'{"interval_ms": -1}',
            b'{"task_spec": "' + b"x" * 5000 + b'"}',
            b"\xff",
        ):
            with self.subTest(body[:30]):
                reply = self.serve(Accepted(JobId("00ff")), "POST", body)
                self.assertEqual(reply.status, 400)
                self.assertLess(len(reply.body), 500)

    def test_status_codes(self) -> None:
        """Guards against mixing up the status codes of refusals and of unknown outcomes."""
        refused = self.serve(NotRun(NotRunReason.STORE_UNAVAILABLE, "x", 0.4), "POST")
        self.assertEqual((refused.status, refused.headers["Retry-After"]), (503, "1"))
        self.assertEqual(self.serve(Unknown("x"), "POST").status, 504)
        self.assertEqual(self.serve(NotRun(NotRunReason.UNKNOWN_KEY), "GET").status, 401)
        self.assertEqual(self.serve(NotRun(NotRunReason.UNKNOWN_QUEUE), "GET").status, 404)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=40) | JSON.map(lambda item: json.dumps(item).encode()))
    def test_arbitrary_bodies_are_refused_or_passed_on(self, body: bytes) -> None:
        """Guards against a body that causes an internal error."""
        self.assertIn(self.serve(Accepted(JobId("00ff")), "POST", body).status, (200, 400))


if __name__ == "__main__":
    unittest.main()
