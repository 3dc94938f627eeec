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

ENDPOINT_CONNECTIONS = 64


@dataclass(frozen=True)
class RoutingContext:
    """The entry instances that share the endpoints.

    Attributes
    ----------
    entries : int
        Entry instances of the region, this one included.
    domain_entries : int
        Those in the own failure domain.
    in_service : callable
        Says whether a failure domain may get new requests.
    """

    own_domain: DomainId
    entry_instances: int = 1
    domain_entry_instances: int = 1
    in_service: Callable[[DomainId], bool] = field(default=lambda _: True)

    @property
    def connection_share(self) -> int:
        """Return the connections to one endpoint that this instance may hold.

        The requests of the other instances are not known here, so each keeps an
        equal share of the connections that an endpoint accepts.
        """
        return max(1, ENDPOINT_CONNECTIONS // max(1, self.entry_instances))

    def slot_share(self, slots: int) -> int:
        """Return the outstanding requests beyond which an endpoint counts as busy."""
        return max(1, slots // max(1, self.domain_entry_instances))


def choose_endpoint(
    endpoints: Sequence[Endpoint],
    context: RoutingContext,
    now: float,
    rng: Random,
    avoid: Iterable[EndpointId] = (),
) -> Endpoint | None:
    """Return the endpoint for a request, or None if none may get one now.

    Endpoints of the own failure domain come first while they are not busy, then
    those of other domains, then the least loaded one up to the connection share.

    Parameters
    ----------
    avoid : iterable of EndpointId
        Endpoints that earlier attempts of the request used.
    """
    limit = context.connection_share
    skipped = set(avoid)
    usable = [
        item
        for item in serving(endpoints, context, now)
        if item.endpoint not in skipped and item.is_available(now, limit)
    ]
    idle = [item for item in usable if item.outstanding < context.slot_share(item.slots)]
    own = [item for item in idle if item.failure_domain == context.own_domain]
    group = own or idle or usable
    if not group:
        return None
    # Equal loads are common; a random one keeps the instances from meeting at the same endpoint.
    return min(group, key=lambda item: (item.outstanding / max(1, item.slots), rng.random()))


def next_available(
    endpoints: Sequence[Endpoint],
    context: RoutingContext,
    now: float,
    avoid: Iterable[EndpointId] = (),
) -> float | None:
    """Return the time when a pause or an ejection ends and a request may be sent, or None.

    Returns ``now`` if an endpoint is only waiting for answers.
    """
    skipped = set(avoid)
    times = [
        max(now, item.paused_until, item.ejected_until)
        for item in in_service(endpoints, context, now)
        if item.endpoint not in skipped and not item.is_leaving(now)
    ]
    return min(times, default=None)


def serving(endpoints: Sequence[Endpoint], context: RoutingContext, now: float) -> list[Endpoint]:
    """Return the endpoints that can serve, outside domains out of service if possible."""
    return [item for item in in_service(endpoints, context, now) if item.can_serve(now)]


def in_service(
    endpoints: Sequence[Endpoint], context: RoutingContext, now: float
) -> Sequence[Endpoint]:
    """Return the endpoints of domains in service, or all if none of these can serve."""
    inside = [item for item in endpoints if context.in_service(item.failure_domain)]
    return inside if any(item.can_serve(now) for item in inside) else endpoints
