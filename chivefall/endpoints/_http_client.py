"""HTTP client of service endpoints."""

from __future__ import annotations

import base64
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import msgspec

from chivefall.endpoints._client import EndpointClient, EndpointRequest
from chivefall.net import HttpClient, HttpFailure, HttpResponse
from chivefall.routing import AttemptEnd, AttemptResult, parse_retry_after

if TYPE_CHECKING:
    from chivefall.config import Address

__all__ = ["HttpEndpointClient", "echoes_request_id", "interpret_response"]

REQUEST_ID_HEADER = "X-Request-Id"


class HttpEndpointClient(EndpointClient):
    """Client of endpoints that serve ``POST /v1/requests``."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def call(
        self, address: Address, request: EndpointRequest, timeout: float, now: float
    ) -> AttemptResult:
        """Send one attempt and return its result after at most ``timeout`` seconds."""
        headers = {
            REQUEST_ID_HEADER: request.request_id,
            "X-Chivefall-Service": request.service,
            "X-Chivefall-Account": request.account,
            "Content-Type": "application/json",
        }
        response = await self._http.request(
            address,
            "POST",
            "/v1/requests",
            msgspec.json.encode(request.body),
            headers,
            timeout,
            idempotent=request.idempotent,
            verify=lambda response: echoes_request_id(response, request),
        )
        if isinstance(response, HttpFailure):
            end = AttemptEnd.LOST if response.sent else AttemptEnd.NOT_RUN
            return AttemptResult(end, response.reason)
        return interpret_response(response, now)


def echoes_request_id(response: HttpResponse, request: EndpointRequest) -> bool:
    """Return whether a response has the request id of this attempt."""
    return response.headers.get(REQUEST_ID_HEADER.lower()) == request.request_id


def interpret_response(response: HttpResponse, now: float) -> AttemptResult:
    """Return the result of an attempt from the endpoint's response."""
    retry_after = parse_retry_after(response.headers.get("retry-after"), now)
    leaving = response.headers.get("x-leaving") == "1"
    not_run = response.headers.get("x-not-run") == "1"
    if response.status == HTTPStatus.SERVICE_UNAVAILABLE and not_run:
        return AttemptResult(
            AttemptEnd.NOT_RUN,
            "the endpoint refused the request",
            retry_after=retry_after,
            leaving=leaving,
            overloaded=True,
        )
    return AttemptResult(
        AttemptEnd.ANSWERED, "", _decode_body(response), response.status, retry_after, leaving
    )


def _decode_body(response: HttpResponse) -> Any:
    """Return the decoded JSON body of a response; encode other content in Base64."""
    if not response.body:
        return None
    try:
        return msgspec.json.decode(response.body)
    except (msgspec.DecodeError, RecursionError):
        content_type = response.headers.get("content-type", "application/octet-stream")
        return {"content_type": content_type, "base64": base64.b64encode(response.body).decode()}
