"""Effect of pauses and of endpoint selection on the routing of service requests.

The results are counts in virtual time and deterministic.
"""

from __future__ import annotations

import heapq
import itertools
import unittest
from random import Random
from typing import TYPE_CHECKING
from unittest import mock

from chivefall.controllers import ServiceRequest
from chivefall.model import AccountId, Completed, DomainId, EndpointId, ServiceId
from chivefall.routing import Endpoint, RoutingContext, choose_endpoint
from chivefall.runtime import spawn
from standins.cluster import Cluster

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = ServiceId("booking")
STEPS = 400  # of 0.05 s


def send_to_overloaded(overloaded_count: int) -> tuple[int, int]:
    """Return the numbers of requests sent to overloaded endpoints and of completed requests.

    Six instances receive 20 requests per second each for 20 s; the overloaded endpoints
    refuse all requests with a Retry-After of 2 s.
    """
    cluster = Cluster(workers_per_domain=0)
    for domain in ("zarcero", "tarrazu", "cartago"):
        cluster.add_endpoints(domain, 2)
    cluster.publish_entry_instances()
    cluster.advance(6)
    states = list(cluster.endpoints.states.values())
    for state in states[:overloaded_count]:
        state.faults.refuse, state.faults.retry_after = -1, "2"
    futs = []
    for _ in range(STEPS):
        for app in cluster.applications.values():
            deadline = cluster.clock.now() + 1.0
            req = ServiceRequest(SERVICE, AccountId("farmers"), None, True, deadline)
            futs.append(spawn(app.endpoints.call(req)))
        cluster.advance(0.05)
    cluster.advance(5)
    completed = sum(isinstance(fut.result(), Completed) for fut in futs)
    return sum(len(state.received) for state in states[:overloaded_count]), completed


class PauseBenchmark(unittest.TestCase):
    def test_requests_sent_to_an_overloaded_endpoint(self) -> None:
        """Guards against pauses that do not relieve an overloaded endpoint."""
        for count in (1, 6):
            refused, completed = send_to_overloaded(count)
            with mock.patch.object(Endpoint, "record_pause"):
                refused_without, completed_without = send_to_overloaded(count)
            print(
                f"{count} of 6 endpoints overloaded, {6 * STEPS} requests: {refused} refusals "
                f"and {completed} completed with the pause, {refused_without} and"
                f" {completed_without} without"
            )
            self.assertLessEqual(refused, refused_without / 5)
            self.assertGreaterEqual(completed, completed_without)


def exact(endpoints: list[Endpoint], rng: Random) -> Endpoint:
    """Choose the least loaded endpoint."""
    return choose_endpoint(endpoints, RoutingContext(DomainId("d")), 0.0, rng)


def two_choices(endpoints: list[Endpoint], rng: Random) -> Endpoint:
    """Choose the less loaded of two random endpoints."""
    return exact(rng.sample(endpoints, 2), rng)


def any_endpoint(endpoints: list[Endpoint], rng: Random) -> Endpoint:
    """Choose a random endpoint."""
    return rng.choice(endpoints)


def waiting_share(
    choose: Callable[[list[Endpoint], Random], Endpoint], instances: int, load: float
) -> float:
    """Return the share of requests that find all slots of their endpoint occupied.

    Each instance tracks only its own outstanding requests. Run times are
    exponentially distributed with a mean of 1 s; six endpoints have 8 slots each.
    """
    rng, now, waited, count = Random(7), 0.0, 0, 20_000
    names = [EndpointId(str(index)) for index in range(6)]
    views = [
        {name: Endpoint(name, SERVICE, DomainId("d"), "h:1") for name in names}
        for _ in range(instances)
    ]
    running = dict.fromkeys(names, 0)
    free_at = {name: [0.0] * 8 for name in names}
    ends: list[tuple[float, int, Endpoint]] = []
    numbers = itertools.count()
    for _ in range(count):
        now += rng.expovariate(48 * load)
        while ends and ends[0][0] <= now:
            endpoint = heapq.heappop(ends)[2]
            endpoint.outstanding -= 1
            running[endpoint.endpoint] -= 1
        endpoint = choose(list(rng.choice(views).values()), rng)
        waited += running[endpoint.endpoint] >= 8
        endpoint.outstanding += 1
        running[endpoint.endpoint] += 1
        slots = free_at[endpoint.endpoint]
        end = max(now, heapq.heappop(slots)) + rng.expovariate(1.0)
        heapq.heappush(slots, end)
        heapq.heappush(ends, (end, next(numbers), endpoint))
    return waited / count


class ChoiceBenchmark(unittest.TestCase):
    def test_share_of_requests_that_wait(self) -> None:
        """Guards against a selection that leaves slots idle while requests wait."""
        for instances, load in ((1, 0.7), (6, 0.5), (6, 0.7), (6, 0.85)):
            shares = {
                choose.__name__: waiting_share(choose, instances, load)
                for choose in (exact, two_choices, any_endpoint)
            }
            text = ", ".join(f"{name} {share:.2%}" for name, share in shares.items())
            print(f"{instances} instances, load {load:.0%}: requests that wait: {text}")
            self.assertLessEqual(shares["exact"], shares["two_choices"])
            self.assertLess(shares["exact"], shares["any_endpoint"])
