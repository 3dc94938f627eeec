"""Choice of the endpoint for a request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from chivefall.model import DomainId, EndpointId

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from random import Random

    from chivefall.routing._endpoint import Endpoint

__all__ = ["RoutingContext", "choose_endpoint", "next_available"]

MAX_ENDPOINT_CONNECTIONS = 64  # accepted by one endpoint from all instances together


@dataclass(frozen=True)
class RoutingContext:
    """Number of entry instances that share the endpoints, and state of the failure domains.

    Attributes
    ----------
    own_domain : DomainId
        Failure domain of this instance.
    entry_instances : int
        Number of entry instances in the region, including this one.
    domain_entry_instances : int
        Number of entry instances in the failure domain of this instance.
    in_service : callable
        Returns whether a failure domain may get new requests.
    """

    own_domain: DomainId
    entry_instances: int = 1
    domain_entry_instances: int = 1
    in_service: Callable[[DomainId], bool] = field(default=lambda _: True)

    @property
    def connection_share(self) -> int:
        """Return the maximum number of connections from this instance to one endpoint.

        Instances have no information about each other's requests, so each may use an
        equal share of the connections that an endpoint accepts.
        """
        return max(1, MAX_ENDPOINT_CONNECTIONS // max(1, self.entry_instances))

    def slot_share(self, slots: int) -> int:
        """Return the number of outstanding requests from which an endpoint counts as busy."""
        return max(1, slots // max(1, self.domain_entry_instances))


def choose_endpoint(
    endpoints: Sequence[Endpoint],
    context: RoutingContext,
    now: float,
    rng: Random,
    avoid: Iterable[EndpointId] = (),
) -> Endpoint | None:
    """Return the endpoint for a request, or None if no endpoint can take it now.

    Prefers endpoints of the own failure domain that are not busy, then those of other
    domains, then the least loaded endpoint below the connection share.

    Parameters
    ----------
    avoid : iterable of EndpointId
        Endpoints used by earlier attempts of the request; never returned.
    """
    limit = context.connection_share
    avoided = set(avoid)
    usable = [
        item
        for item in serving_endpoints(endpoints, context, now)
        if item.endpoint not in avoided and item.is_available(now, limit)
    ]
    not_busy = [item for item in usable if item.outstanding < context.slot_share(item.slots)]
    own = [item for item in not_busy if item.failure_domain == context.own_domain]
    group = own or not_busy or usable
    if not group:
        return None
    # Ties are common; a random choice keeps instances from all using the same endpoint.
    return min(group, key=lambda item: (item.outstanding / max(1, item.slots), rng.random()))


def next_available(
    endpoints: Sequence[Endpoint],
    context: RoutingContext,
    now: float,
    avoid: Iterable[EndpointId] = (),
) -> float | None:
    """Return the earliest time at which an endpoint is neither paused nor ejected, or None.

    Returns ``now`` if an endpoint is limited only by its outstanding requests.
    """
    avoided = set(avoid)
    times = [
        max(now, item.paused_until, item.ejected_until)
        for item in endpoints_in_service(endpoints, context, now)
        if item.endpoint not in avoided and not item.is_leaving(now)
    ]
    return min(times, default=None)


def serving_endpoints(
    endpoints: Sequence[Endpoint], context: RoutingContext, now: float
) -> list[Endpoint]:
    """Return the endpoints that can serve, of domains in service if possible."""
    return [item for item in endpoints_in_service(endpoints, context, now) if item.can_serve(now)]


def endpoints_in_service(
    endpoints: Sequence[Endpoint], context: RoutingContext, now: float
) -> Sequence[Endpoint]:
    """Return the endpoints of domains in service, or all endpoints if none of those can serve."""
    in_service = [item for item in endpoints if context.in_service(item.failure_domain)]
    return in_service if any(item.can_serve(now) for item in in_service) else endpoints
