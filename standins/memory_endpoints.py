"""In-process fake of the endpoints, for tests on a manual clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.endpoints import (
    EndpointClient,
    EndpointRequest,
    echoes_request_id,
    interpret_response,
)
from chivefall.routing import AttemptEnd, AttemptResult
from chivefall.runtime import Clock, sleep, spawn, wait_for

if TYPE_CHECKING:
    from chivefall.config import Address
    from chivefall.net import HttpResponse
    from standins.endpoint import EndpointState

__all__ = ["MemoryEndpoints"]


class MemoryEndpoints(EndpointClient):
    """A client of stand-in endpoints in the same process.

    Attributes
    ----------
    unreachable : set of str
        Names of endpoints that refuse connections.
    latency : float
        Seconds of network delay in each direction.
    """

    def __init__(self, clock: Clock, latency: float = 0.0) -> None:
        self._clock = clock
        self.latency = latency
        self.states: dict[str, EndpointState] = {}
        self.unreachable: set[str] = set()
        self.calls: list[EndpointRequest] = []

    async def call(
        self, address: Address, request: EndpointRequest, timeout: float, now: float
    ) -> AttemptResult:
        """Send one attempt and return its result after at most ``timeout`` seconds."""
        del now
        state = self.states[str(address)]
        self.calls.append(request)
        if state.name in self.unreachable:
            return AttemptResult(AttemptEnd.NOT_RUN, f"cannot connect to {address}")
        exchange = spawn(self._exchange(state, request))
        response = await wait_for(self._clock, exchange, timeout, None)
        if response is None or not echoes_request_id(response, request):
            return AttemptResult(AttemptEnd.LOST, f"no response from {address}")
        return interpret_response(response, self._clock.now())

    async def _exchange(self, state: EndpointState, request: EndpointRequest) -> HttpResponse:
        if self.latency:
            await sleep(self._clock, self.latency)
        response = await state.handle(request.request_id, request.body)
        if self.latency:
            await sleep(self._clock, self.latency)
        return response
