"""Tests of the choice and the health of endpoints."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

from chivefall.model import DomainId, EndpointId, ServiceId
from chivefall.routing import Endpoint, RoutingContext, choose_endpoint, next_available

NOW = 100.0
OWN = DomainId("zarcero")
CONTEXT = RoutingContext(OWN, entry_instances=6, domain_entry_instances=2)


def endpoint(name: str, domain: str = "zarcero", **changes: Any) -> Endpoint:
    """Return an endpoint with 8 slots."""
    return Endpoint(EndpointId(name), ServiceId("s"), DomainId(domain), "h:1", **changes)


def chosen(
    endpoints: list[Endpoint], context: RoutingContext = CONTEXT, **options: Any
) -> set[str]:
    """Return the names of the endpoints chosen with 20 random seeds."""
    picks = [
        choose_endpoint(endpoints, context, NOW, Random(seed), **options) for seed in range(20)
    ]
    return {item.endpoint for item in picks if item is not None}


class ChooseTest(unittest.TestCase):
    def test_least_outstanding_relative_to_slots(self) -> None:
        """Guards against equal load on endpoints with different numbers of slots."""
        small, large = endpoint("a", slots=4, outstanding=1), endpoint("b", slots=16, outstanding=2)
        self.assertEqual(chosen([small, large]), {"b"})

    def test_ties_are_broken_at_random(self) -> None:
        """Guards against all instances choosing the first endpoint of the list."""
        self.assertEqual(chosen([endpoint("a"), endpoint("b")]), {"a", "b"})

    def test_own_domain_first_and_overflow(self) -> None:
        """Guards against needless latency between domains, and queueing despite idle endpoints."""
        own, other = endpoint("a", outstanding=3), endpoint("b", "tarrazu")
        self.assertEqual(chosen([own, other]), {"a"})
        own.outstanding = 4  # 8 slots shared by 2 instances
        self.assertEqual(chosen([own, other]), {"b"})

    def test_share_of_connections(self) -> None:
        """Guards against more than 64 connections from all instances together."""
        self.assertEqual(CONTEXT.connection_share, 10)
        self.assertEqual(chosen([endpoint("a", outstanding=9)]), {"a"})
        self.assertEqual(chosen([endpoint("a", outstanding=10)]), set())
        for entry_instances in range(1, 65):
            self.assertLessEqual(
                entry_instances * RoutingContext(OWN, entry_instances).connection_share, 64
            )

    def test_skips_unavailable_endpoints(self) -> None:
        """Guards against requests to leaving, paused, ejected or already used endpoints (G7)."""
        unusable = [
            endpoint("a", listed_leaving=True),
            endpoint("b", leaving_until=NOW + 1),
            endpoint("c", paused_until=NOW + 1),
            endpoint("d", ejected_until=NOW + 1),
            endpoint("e"),
        ]
        self.assertEqual(chosen(unusable, avoid={EndpointId("e")}), set())
        self.assertEqual(next_available(unusable, CONTEXT, NOW, {EndpointId("e")}), NOW + 1)

    def test_domain_out_of_service_is_used_only_without_others(self) -> None:
        """Guards against requests to a domain out of service while others can serve (G3)."""
        context = RoutingContext(OWN, 6, 2, in_service=lambda domain: domain != OWN)
        own, other = endpoint("a"), endpoint("b", "tarrazu", paused_until=NOW + 1)
        self.assertEqual(chosen([own, other], context), set())
        other.listed_leaving = True
        self.assertEqual(chosen([own, other], context), {"a"})


class HealthTest(unittest.TestCase):
    def test_ejection_and_probe(self) -> None:
        """Guards against requests to a failed endpoint, and against never probing it again."""
        item = endpoint("a")
        for _ in range(3):
            self.assertTrue(item.is_available(NOW, 10))
            item.record_failure(NOW)
        self.assertFalse(item.is_available(NOW + 0.9, 10))
        self.assertTrue(item.is_available(NOW + 1, 10))
        item.outstanding = 1
        self.assertFalse(item.is_available(NOW + 1, 10), "one probe at a time")
        item.record_failure(NOW + 1)
        self.assertFalse(item.is_available(NOW + 2.9, 10), "the period doubles")
        item.record_success()
        self.assertTrue(item.is_available(NOW + 3, 10))

    def test_pause_is_never_shortened(self) -> None:
        """Guards against a short Retry-After that replaces a longer pause."""
        item = endpoint("a")
        item.record_pause(NOW, 60)
        item.record_pause(NOW, 1)
        item.record_success()
        self.assertFalse(item.is_available(NOW + 59, 10))

    def test_one_request_probes_after_a_pause(self) -> None:
        """Guards against sending the whole queue to an endpoint at the end of its pause."""
        item = endpoint("a", outstanding=1)
        item.record_pause(NOW, 1)
        self.assertFalse(item.is_available(NOW + 1, 10))
        item.outstanding = 0
        self.assertTrue(item.is_available(NOW + 1, 10))
        item.record_success()
        item.outstanding = 9
        self.assertTrue(item.is_available(NOW + 1, 10))
