"""Interface of the client of service endpoints."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from chivefall.model import AccountId, RequestId, ServiceId

if TYPE_CHECKING:
    from chivefall.config import Address
    from chivefall.routing import AttemptResult

__all__ = ["EndpointClient", "EndpointRequest"]


@dataclass(frozen=True)
class EndpointRequest:
    """One attempt at a request.

    Attributes
    ----------
    request_id : RequestId
        Unique for each attempt; the endpoint returns it in its response.
    """

    request_id: RequestId
    service: ServiceId
    account: AccountId
    body: Any
    idempotent: bool


class EndpointClient(ABC):
    """Sends requests to endpoints."""

    @abstractmethod
    async def call(
        self, address: Address, request: EndpointRequest, timeout: float, now: float
    ) -> AttemptResult:
        """Send one attempt and return its result after at most ``timeout`` seconds."""
