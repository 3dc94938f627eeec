"""Requests to endpoints through one instance, on a manual clock."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

from chivefall.controllers import ServiceRequest
from chivefall.model import (
    AccountId,
    Completed,
    DomainId,
    DomainState,
    InstanceStatus,
    NotRun,
    NotRunReason,
    Outcome,
    Revision,
    ServiceId,
    Unknown,
)
from chivefall.runtime import Future, spawn
from standins.cluster import Cluster

FARMERS = AccountId("farmers")


class EndpointTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster(workers_per_domain=0, entries_per_domain=1)
        for domain in ("zarcero", "tarrazu"):
            self.cluster.add_endpoints(domain, 2)
        self.cluster.publish_entry_instances()
        self.cluster.advance(6)
        self.app = self.cluster.applications["zarcero-1"]

    def begin(self, body: Any = None, seconds: float = 10.0, **options: Any) -> Future[Outcome]:
        """Start a request of one account."""
        deadline = self.cluster.clock.now() + seconds
        service = ServiceId(options.pop("service", "booking"))
        idempotent = options.pop("idempotent", True)
        req = ServiceRequest(service, FARMERS, body, idempotent, deadline)
        return spawn(self.app.endpoints.call(req))

    def call(self, body: Any = None, **options: Any) -> Outcome:
        """Return the outcome of a request."""
        fut = self.begin(body, **options)
        while not fut.done():
            self.cluster.advance(0.05)
        return fut.result()

    def faults(self, **faults: Any) -> None:
        """Inject the same faults into all endpoints."""
        for state in self.cluster.endpoints.states.values():
            for name, value in faults.items():
                setattr(state.faults, name, value)

    def executed(self) -> list[str]:
        """Return the ids of the requests that ran at any endpoint."""
        return [name for state in self.cluster.endpoints.states.values() for name in state.executed]

    def test_own_domain_serves_requests(self) -> None:
        """Guards against requests that never reach an endpoint, or one of a remote domain."""
        outcome = self.call({"clip": 7})
        self.assertEqual(outcome.answer["body"], {"clip": 7})
        self.assertTrue(outcome.answer["endpoint"].startswith("zarcero"))
        unknown = self.call(service="nothing")
        self.assertEqual(unknown.reason, NotRunReason.UNKNOWN_SERVICE)

    def test_leaving_endpoints_get_no_new_work(self) -> None:
        """Guards against new work for a leaving endpoint while the list is outdated (G7)."""
        leaving = self.cluster.endpoint("zarcero-e1")
        leaving.faults.leaving = True
        for _ in range(20):
            self.assertIsInstance(self.call(), Completed)
        self.assertEqual((len(leaving.received), leaving.executed), (1, []))
        self.cluster.set_endpoint_status("zarcero-e2", InstanceStatus.LEAVING)
        self.cluster.advance(6)
        before = len(self.cluster.endpoint("zarcero-e2").received)
        self.assertTrue(self.call().answer["endpoint"].startswith("tarrazu"))
        self.assertEqual(len(self.cluster.endpoint("zarcero-e2").received), before)

    def test_domain_out_of_service_gets_no_requests(self) -> None:
        """Guards against requests to a domain out of service while another can serve (G3)."""
        document = self.app.document.document
        domains = {**document.failure_domains, DomainId("zarcero"): DomainState.OUT_OF_SERVICE}
        self.app.document.adopt(replace(document, revision=Revision(2), failure_domains=domains))
        self.assertTrue(self.call().answer["endpoint"].startswith("tarrazu"))

    def test_requests_that_did_not_run_are_retried_elsewhere(self) -> None:
        """Guards against failing, or running twice, a request that provably did not run."""
        self.cluster.endpoint("zarcero-e1").faults.refuse = -1
        self.cluster.endpoints.unreachable.add("zarcero-e2")
        outcome = self.call(idempotent=False)
        self.assertTrue(outcome.answer["endpoint"].startswith("tarrazu"))
        self.assertEqual(len(self.executed()), 1)

    def test_lost_response_is_unknown_or_retried(self) -> None:
        """Guards against running a request twice, and against a false "not run" (G5, G6)."""
        self.faults(lose=1)
        outcome = self.call(idempotent=False)
        self.assertEqual((type(outcome), len(self.executed())), (Unknown, 1))
        self.faults(lose=0)
        self.cluster.endpoint("zarcero-e1").faults.lose = 1
        self.cluster.endpoint("zarcero-e2").faults.lose = 1
        self.assertIsInstance(self.call(seconds=30), Completed)

    def test_response_to_another_request_is_discarded(self) -> None:
        """Guards against returning the response to another request (G4)."""
        self.faults(cross=1)
        self.assertIsInstance(self.call(idempotent=False), Unknown)

    def test_retry_after_pauses_and_is_passed_on(self) -> None:
        """Guards against a Retry-After that is shortened or ignored."""
        self.faults(refuse=-1, retry_after="100")
        outcome = self.call()
        self.assertEqual((outcome.reason, outcome.retry_after), (NotRunReason.OVERLOADED, 100.0))
        sent = len(self.cluster.endpoints.calls)
        self.call()
        self.faults(refuse=0)
        outcome = self.call()
        self.assertLessEqual(len(self.cluster.endpoints.calls) - sent, 1)
        self.assertGreater(outcome.retry_after, 99)
        self.cluster.advance(100)
        self.assertIsInstance(self.call(), Completed)

    def test_waits_for_the_end_of_a_pause_within_the_deadline(self) -> None:
        """Guards against rejecting a request that can be served before its deadline."""
        self.faults(refuse=1, retry_after="2")
        self.assertIsInstance(self.call(), NotRun)
        fut = self.begin(seconds=30)
        self.assertFalse(fut.done())
        self.cluster.advance(2.2)
        self.assertIsInstance(fut.result(), Completed)

    def test_requests_wait_for_busy_endpoints_in_a_short_queue(self) -> None:
        """Guards against too many connections and against an unbounded queue."""
        slots_per_instance = 64 // 3
        futs = [
            self.begin({"run_time": 3.0}, seconds=4.0) for _ in range(4 * slots_per_instance + 64)
        ]
        most = max(state.max_open for state in self.cluster.endpoints.states.values())
        self.assertEqual(most, slots_per_instance)
        refused = self.begin()
        self.assertEqual(refused.result().reason, NotRunReason.OVERLOADED)
        self.assertGreaterEqual(refused.result().retry_after, 1.0)
        self.cluster.advance(6)
        outcomes = [fut.result() for fut in futs]
        self.assertEqual(sum(isinstance(item, Completed) for item in outcomes), 32)
        not_run = [item for item in outcomes if isinstance(item, NotRun)]
        self.assertEqual({item.reason for item in not_run}, {NotRunReason.DEADLINE_EXCEEDED})

    def test_dead_endpoint_is_ejected_and_probed(self) -> None:
        """Guards against sending every other request to an unreachable endpoint."""
        self.cluster.endpoints.unreachable.add("zarcero-e1")
        for _ in range(50):
            self.assertIsInstance(self.call(), Completed)
        sent = len(self.cluster.endpoints.calls) - 50
        self.assertLess(sent, 9)
        self.cluster.endpoints.unreachable.clear()
        self.cluster.advance(31)
        for _ in range(20):
            self.call()
        self.assertTrue(self.cluster.endpoint("zarcero-e1").executed)

    def test_failing_requests_do_not_eject_all_endpoints(self) -> None:
        """Guards against one caller's failing requests that make a service unavailable."""
        self.faults(fail=-1)
        for _ in range(40):
            self.assertEqual(self.call().status, 500)
        self.faults(fail=0)
        self.assertIsInstance(self.call(), Completed)

    def test_retry_storm(self) -> None:
        """Guards against retries that amplify a total failure."""
        self.faults(refuse=-1)
        request_count = 400
        for name in ("every endpoint refuses", "no endpoint is reachable"):
            self.cluster.endpoints.calls.clear()
            for _ in range(request_count):
                self.begin()
                self.cluster.advance(0.05)
            ratio = len(self.cluster.endpoints.calls) / request_count
            print(f"{name}: {ratio:.3f} attempts for each request, 3 without a budget")
            self.assertLessEqual(ratio, 1.1 + 5 / request_count)
            self.cluster.endpoints.unreachable.update(
                state.name for state in self.cluster.endpoints.states.values()
            )

    def test_state_of_removed_accounts_is_dropped(self) -> None:
        """Guards against state that grows with every account ever used."""
        self.call()
        self.assertEqual(set(self.app.endpoints._budgets), {FARMERS})
        document = replace(self.app.document.document, revision=Revision(2), accounts={})
        self.app.document.adopt(document)
        self.cluster.process_events()
        self.assertEqual(self.app.endpoints._budgets, {})

    def test_stop_ends_waiting_requests(self) -> None:
        """Guards against a shutdown that waits for endpoints which never become free."""
        self.faults(refuse=-1, retry_after="20")
        for _ in range(2):
            self.call()
        fut = self.begin(seconds=60)
        self.assertFalse(fut.done())
        self.app.endpoints.stop()
        self.assertEqual(fut.result().reason, NotRunReason.SHUTTING_DOWN)
