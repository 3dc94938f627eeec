"""Client side of one HTTP connection and the results of its exchanges."""

from __future__ import annotations

import math
import re
import socket
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from chivefall.model import ConnectionId

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.config import Address
    from chivefall.net._http_framing import MessageFramer
    from chivefall.runtime import Future, TimerHandle

__all__ = ["Connection", "HttpFailure", "HttpResponse", "encode_request"]

_LINE_BREAKS = re.compile(r"[\r\n]+")


@dataclass(frozen=True)
class HttpResponse:
    """A complete response.

    Attributes
    ----------
    connection : ConnectionId or None
        The connection that it came over, which may still be open.
    is_late : bool
        Whether it was read after its timeout, because the process was paused or busy. The
        time that it took then says nothing about the server.
    """

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)
    connection: ConnectionId | None = None
    is_late: bool = False


@dataclass(frozen=True)
class HttpFailure:
    """An exchange that ended without a complete response.

    Attributes
    ----------
    sent : bool
        Whether any part of the request may have reached the server.
    connection : ConnectionId or None
        The connection that was used, if any; it is closed.
    is_local : bool
        Whether it failed for reasons of this process, such as its limits or a pause, so that it
        says nothing about the server.
    """

    reason: str
    sent: bool
    connection: ConnectionId | None = None
    is_local: bool = False


class Connection:
    """A socket and the exchange in progress on it.

    Attributes
    ----------
    send_elsewhere : callable or None
        Sends the request of the exchange over another connection; None if this connection
        was opened for it.
    sent_at : float
        Time at which the first part of the request was sent, in seconds since the Unix epoch.
    """

    __slots__ = (
        "address",
        "expires_at",
        "framer",
        "fut",
        "id",
        "outgoing",
        "read_timeout",
        "send_elsewhere",
        "sent",
        "sent_at",
        "sock",
        "timer",
        "verify",
    )

    def __init__(self, connection_id: ConnectionId, address: Address, sock: socket.socket) -> None:
        self.id = connection_id
        self.address = address
        self.sock = sock
        self.fut: Future[HttpResponse | HttpFailure] | None = None
        self.outgoing: deque[memoryview] = deque()
        self.framer: MessageFramer | None = None
        self.timer: TimerHandle | None = None
        self.verify: Callable[[HttpResponse], bool] | None = None
        self.sent = False
        self.sent_at = math.inf
        self.expires_at = math.inf
        self.read_timeout: float | None = None
        self.send_elsewhere: Callable[[], None] | None = None

    @property
    def ended_unused(self) -> bool:
        """Return whether a reused connection ended before any part of the request was sent.

        What the server sent belongs to no request then.
        """
        return not self.sent and self.send_elsewhere is not None and not self.is_alive()

    def is_established(self) -> bool:
        """Return whether the server has accepted the connection."""
        try:
            self.sock.getpeername()
        except OSError:
            return False
        return True

    def is_alive(self) -> bool:
        """Return whether an idle connection is open and no unexpected data was received."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


def encode_request(
    address: Address, method: str, path: str, body: bytes, headers: dict[str, str]
) -> bytes:
    """Return an encoded request; a ``Host`` in ``headers`` replaces the default one."""
    fields = {"Host": str(address), "Content-Length": str(len(body)), **headers}
    lines = [f"{method} {path} HTTP/1.1"]
    # Values may come from a caller; a line break in a value would inject another header.
    lines.extend(f"{key}: {_LINE_BREAKS.sub(' ', value)}" for key, value in fields.items())
    return "\r\n".join([*lines, "", ""]).encode() + body
