"""Stand-in for a service endpoint."""

from __future__ import annotations

import argparse
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import msgspec

from chivefall.config import Address
from chivefall.net import HttpReply, HttpRequest, HttpResponse, json_reply
from chivefall.runtime import Clock, Future, sleep
from standins._service import Service

__all__ = ["EndpointFaults", "EndpointService", "EndpointState"]

MAX_CONNECTIONS = 64


@dataclass
class EndpointFaults:
    """Faults of an endpoint, as set over the control interface.

    Attributes
    ----------
    delay : float
        Seconds added to the ``run_time`` of each request.
    fail, refuse, lose, cross : int
        Number of upcoming requests that fail with status 500, are refused with the
        X-Not-Run header, run without a response, or get a response with the id
        of another request; -1 for all.
    retry_after : str or None
        Retry-After header of refusals.
    leaving : bool
        Whether all requests are refused and all responses have the X-Leaving header.
    """

    delay: float = 0.0
    fail: int = 0
    refuse: int = 0
    lose: int = 0
    cross: int = 0
    retry_after: str | None = None
    leaving: bool = False

    def consume(self, name: str) -> bool:
        """Return whether a fault applies to this request, and count it down."""
        remaining = getattr(self, name)
        if remaining > 0:
            setattr(self, name, remaining - 1)
        return remaining != 0


@dataclass
class EndpointState:
    """Slots and request records of one endpoint, independent of the transport.

    Attributes
    ----------
    received, executed : list of str
        Request ids in order of arrival and of start.
    max_open : int
        Maximum number of concurrently open requests.
    """

    name: str
    clock: Clock
    slots: int = 8
    faults: EndpointFaults = field(default_factory=EndpointFaults)
    received: list[str] = field(default_factory=list)
    executed: list[str] = field(default_factory=list)
    bodies: list[Any] = field(default_factory=list)
    max_open: int = 0
    _open: int = 0
    _running: int = 0
    _waiting: deque[Future[None]] = field(default_factory=deque)

    async def handle(self, request_id: str, body: Any) -> HttpResponse:
        """Run a request and return the response; a lost response never returns."""
        self.received.append(request_id)
        if self.faults.leaving or self._open >= MAX_CONNECTIONS or self.faults.consume("refuse"):
            return self._refusal(request_id)
        self._open += 1
        self.max_open = max(self.max_open, self._open)
        try:
            return await self._run(request_id, body)
        finally:
            self._open -= 1

    async def _run(self, request_id: str, body: Any) -> HttpResponse:
        if self._running >= self.slots:
            fut: Future[None] = Future()
            self._waiting.append(fut)
            await fut
        self._running += 1
        self.executed.append(request_id)
        self.bodies.append(body)
        run_time = body.get("run_time", 0.0) if isinstance(body, dict) else 0.0
        lost, failed = self.faults.consume("lose"), self.faults.consume("fail")
        if self.faults.delay + run_time > 0:
            await sleep(self.clock, self.faults.delay + run_time)
        self._running -= 1
        if self._waiting:
            self._waiting.popleft().set_result(None)
        if lost:
            await Future()
        echoed = f"{request_id}-crossed" if self.faults.consume("cross") else request_id
        if failed:
            return self._response(500, {"error": "failed"}, echoed)
        return self._response(200, {"endpoint": self.name, "body": body}, echoed)

    def _refusal(self, request_id: str) -> HttpResponse:
        response = self._response(503, {"error": "refused"}, request_id)
        response.headers["x-not-run"] = "1"
        if self.faults.retry_after is not None:
            response.headers["retry-after"] = self.faults.retry_after
        return response

    def _response(self, status: int, body: Any, request_id: str) -> HttpResponse:
        headers = {"x-request-id": request_id}
        if self.faults.leaving:
            headers["x-leaving"] = "1"
        return HttpResponse(status, msgspec.json.encode(body), headers)


class EndpointService(Service):
    """HTTP server of the stand-in endpoint.

    ``PUT /v1/faults`` sets the faults; ``GET /v1/executed`` returns the ids
    and bodies of the requests that were started.
    """

    def __init__(self, address: Address, name: str, slots: int) -> None:
        super().__init__(address)
        self._state = EndpointState(name, self.clock, slots)

    async def handle(self, req: HttpRequest) -> HttpReply:
        """Return the reply to a request."""
        state = self._state
        match (req.method, req.path):
            case ("PUT", "/v1/faults"):
                state.faults = msgspec.json.decode(req.body, type=EndpointFaults)
                return json_reply(200, {})
            case ("GET", "/v1/executed"):
                return json_reply(200, {"ids": state.executed, "bodies": state.bodies})
            case ("POST", "/v1/requests"):
                body = msgspec.json.decode(req.body) if req.body else None
                response = await state.handle(req.headers.get("x-request-id", ""), body)
                return HttpReply(response.status, response.body, response.headers)
        return json_reply(404, {"error": "not found"})


def main() -> None:
    """Run the stand-in endpoint."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--slots", type=int, default=8)
    args = parser.parse_args()
    EndpointService(Address.parse(args.listen), args.name, args.slots).run()


if __name__ == "__main__":
    main()
