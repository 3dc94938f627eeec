"""Requests to services: endpoint choice and queues."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall._lazy import lazy_attributes

if TYPE_CHECKING:
    from chivefall.controllers.endpoints._endpoints import EndpointController, ServiceRequest

__all__ = [
    "EndpointController",
    "ServiceRequest",
]

__getattr__ = lazy_attributes(
    __name__,
    {
        "EndpointController": "_endpoints",
        "ServiceRequest": "_endpoints",
    },
)
