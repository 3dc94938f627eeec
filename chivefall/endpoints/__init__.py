"""Client of service endpoints."""

from __future__ import annotations

from chivefall.endpoints._client import EndpointClient, EndpointRequest
from chivefall.endpoints._http_client import (
    HttpEndpointClient,
    echoes_request_id,
    interpret_response,
)

__all__ = [
    "EndpointClient",
    "EndpointRequest",
    "HttpEndpointClient",
    "echoes_request_id",
    "interpret_response",
]
