"""Fuzzes concurrent callers and endpoint faults; every caller must get a correct outcome."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import TYPE_CHECKING, Any

from hypothesis import given, settings
from hypothesis import strategies as st

from chivefall.controllers import ServiceRequest
from chivefall.model import AccountId, Completed, InstanceStatus, NotRun, ServiceId, Unknown
from chivefall.runtime import spawn
from standins.cluster import Cluster

if TYPE_CHECKING:
    from chivefall.model import Outcome
    from chivefall.runtime import Future

ENDPOINTS = [f"{domain}-e{number}" for domain in ("zarcero", "tarrazu") for number in (1, 2)]
ENTRIES = ("zarcero-1", "tarrazu-1")
COUNTS = st.integers(0, 4)

request = st.tuples(
    st.just("request"),
    st.sampled_from(ENTRIES),
    st.booleans(),
    st.sampled_from([0.0, 0.2, 3.0]),
    st.sampled_from([0.3, 2.0, 8.0]),
)
fault = st.tuples(
    st.just("fault"),
    st.sampled_from(ENDPOINTS),
    st.sampled_from(["fail", "refuse", "lose", "cross", "delay", "leaving", "retry_after"]),
    COUNTS,
)
reach = st.tuples(st.just("reach"), st.sampled_from(ENDPOINTS), st.booleans())
status = st.tuples(
    st.just("status"), st.sampled_from(ENDPOINTS), st.sampled_from(list(InstanceStatus))
)
advance = st.tuples(st.just("advance"), st.sampled_from([0.05, 0.5, 6.0]))
step = st.one_of(request, request, request, fault, reach, status, advance)


class _Run:
    """One fuzz run and the checks of its outcomes."""

    def __init__(self) -> None:
        self.cluster = Cluster(("zarcero", "tarrazu"), 0, 1)
        for domain in ("zarcero", "tarrazu"):
            self.cluster.add_endpoints(domain, 2)
        self.cluster.publish_entry_instances()
        self.cluster.endpoints.latency = 0.01
        self.cluster.advance(6)
        self.callers: list[tuple[bool, Future[Outcome]]] = []

    def request(self, entry: str, idempotent: bool, run_time: float, seconds: float) -> None:
        """Start a request that carries its caller's number."""
        body = {"caller": len(self.callers), "run_time": run_time}
        deadline = self.cluster.clock.now() + seconds
        req = ServiceRequest(ServiceId("booking"), AccountId("farmers"), body, idempotent, deadline)
        fut = spawn(self.cluster.applications[entry].endpoints.call(req))
        self.callers.append((idempotent, fut))

    def fault(self, name: str, kind: str, count: int) -> None:
        """Inject a fault into an endpoint."""
        values: dict[str, Any] = {
            "delay": count / 2,
            "leaving": count > 2,
            "retry_after": str(count) if count else None,
        }
        setattr(self.cluster.endpoint(name).faults, kind, values.get(kind, count))

    def reach(self, name: str, reachable: bool) -> None:
        """Make an endpoint reachable or unreachable."""
        names = self.cluster.endpoints.unreachable
        (names.discard if reachable else names.add)(name)

    def status(self, name: str, value: InstanceStatus) -> None:
        """Change an endpoint's status in the list."""
        self.cluster.set_endpoint_status(name, value)

    def advance(self, seconds: float) -> None:
        """Move the clock."""
        self.cluster.advance(seconds)

    def check(self, test: unittest.TestCase) -> None:
        """Compare each caller's outcome with the requests that ran."""
        states = self.cluster.endpoints.states.values()
        ids = [name for state in states for name in state.received]
        test.assertEqual(len(ids), len(set(ids)), "every attempt has its own request id")
        ran = Counter(body["caller"] for state in states for body in state.bodies)
        for number, (idempotent, fut) in enumerate(self.callers):
            test.assertTrue(fut.done(), "every caller gets an outcome")
            outcome = fut.result()
            test.assertIsInstance(outcome, (Completed, NotRun, Unknown))
            if isinstance(outcome, Completed) and outcome.status == 200:
                test.assertEqual(outcome.answer["body"]["caller"], number)
                test.assertGreaterEqual(ran[number], 1)
            if isinstance(outcome, NotRun):
                test.assertEqual(ran[number], 0, outcome)
            if not idempotent:
                test.assertLessEqual(ran[number], 1, outcome)
        retries = len(self.cluster.endpoints.calls) - len(self.callers)
        test.assertLessEqual(retries, 0.1 * len(self.callers) + 5 * len(ENTRIES))
        for app in self.cluster.applications.values():
            for endpoint in app.endpoints.endpoints(ServiceId("booking")):
                test.assertEqual(endpoint.outstanding, 0)


class FuzzTest(unittest.TestCase):
    @settings(derandomize=True, database=None, max_examples=120, deadline=None)
    @given(st.lists(step, min_size=5, max_size=60))
    def test_every_caller_gets_its_own_true_outcome(self, steps: list[tuple[Any, ...]]) -> None:
        """Guards against swapped responses, duplicate runs and false outcomes (G4, G5, G6)."""
        run = _Run()
        for name, *args in steps:
            getattr(run, name)(*args)
        run.advance(40)
        run.check(self)
