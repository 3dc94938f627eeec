"""Interface of the message transport between instances."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.config import Address
    from chivefall.model import InstanceId
    from chivefall.net._messages import Envelope, Heartbeat, PeerMessage
    from chivefall.runtime import Future

__all__ = ["PeerFailure", "Peers"]


class PeerFailure:
    """A request to a peer that failed or got no response.

    Attributes
    ----------
    sent : bool
        Whether the request may have reached the peer.
    """

    __slots__ = ("reason", "sent")

    def __init__(self, reason: str, sent: bool) -> None:
        self.reason = reason
        self.sent = sent


class Peers(ABC):
    """Exchanges messages with other instances.

    Attributes
    ----------
    incarnation : str
        Random id of this process.
    """

    incarnation: str

    @abstractmethod
    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to every known peer; lost messages are not sent again."""

    @abstractmethod
    def send(self, peer: InstanceId, message: PeerMessage) -> None:
        """Send a message to a known peer; a lost message is not sent again."""

    @abstractmethod
    def call(
        self, peer: InstanceId, operation: str, body: Any, timeout: float
    ) -> Future[Any | PeerFailure]:
        """Call an operation of a peer and return a future of the response body or a failure."""

    @abstractmethod
    def set_peers(self, addresses: dict[InstanceId, Address]) -> None:
        """Replace the set of peers."""

    @abstractmethod
    def set_heartbeat_handler(self, handle: Callable[[Envelope, Heartbeat], None]) -> None:
        """Call ``handle`` with each received heartbeat and its envelope."""

    @abstractmethod
    def register_operation(self, operation: str, handle: Callable[[Any], Future[Any]]) -> None:
        """Serve an operation that peers call; ``handle`` returns a future of the response body."""
