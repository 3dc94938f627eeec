"""Interface of a service's endpoints."""

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
    """One attempt of a request.

    Attributes
    ----------
    request_id : RequestId
        Unique to the attempt; the endpoint echoes it.
    """

    request_id: RequestId
    service: ServiceId
    account: AccountId
    body: Any
    idempotent: bool


class EndpointClient(ABC):
    """Sends attempts to endpoints."""

    @abstractmethod
    async def call(
        self, address: Address, request: EndpointRequest, timeout: float, now: float
    ) -> AttemptResult:
        """Send one attempt and return its end after at most ``timeout`` seconds."""
