"""Server side of one HTTP connection and its timeouts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.net._http_framing import MessageFramer, MessageLimits

if TYPE_CHECKING:
    import socket

    from chivefall.model import ConnectionId

__all__ = ["CallerConnection"]

RECEIVE_TIMEOUT_SECONDS = 20.0  # from the first byte of a request to its last
IDLE_TIMEOUT_SECONDS = 75.0  # keep-alive time between requests
SEND_TIMEOUT_SECONDS = 60.0  # maximum time for which the send buffer stays non-empty
CLOSE_DELAY_SECONDS = 1.0  # between an error reply and the close


class CallerConnection:
    """State of one connection of a caller.

    Attributes
    ----------
    busy : bool
        Whether a request is in progress.
    paused : bool
        Whether reading is paused because pipelined requests fill the buffer.
    half_closed : bool
        Whether the caller closed its sending side.
    last_active_at : float
        Time at which bytes were last received or a reply was written, in seconds
        since the Unix epoch.
    """

    __slots__ = (
        "_close_at",
        "_incomplete_since",
        "_output_since",
        "busy",
        "framer",
        "half_closed",
        "id",
        "last_active_at",
        "paused",
        "sock",
    )

    def __init__(self, connection_id: ConnectionId, sock: socket.socket, now: float) -> None:
        self.id = connection_id
        self.sock = sock
        self.framer = MessageFramer(MessageLimits())
        self.busy = False
        self.paused = False
        self.half_closed = False
        self.last_active_at = now
        self._close_at: float | None = None
        self._incomplete_since: float | None = None
        self._output_since: float | None = None

    @property
    def refused(self) -> bool:
        """Return whether an error reply was written and further bytes are dropped."""
        return self._close_at is not None

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or partly received."""
        return not self.busy and self.framer.is_between_messages

    def record_incomplete(self, now: float) -> None:
        """Record that a request may be partly received."""
        if self._incomplete_since is None and not self.framer.is_between_messages:
            self._incomplete_since = now

    def record_request(self) -> None:
        """Record that a complete request is handled."""
        self.busy = True
        self._incomplete_since = None

    def record_reply(self, now: float) -> None:
        """Record that the reply to the request in progress was written."""
        self.busy = False
        self.last_active_at = now

    def record_output(self, unsent: bool, now: float) -> None:
        """Record whether output is waiting to be sent."""
        if not unsent:
            self._output_since = None
        elif self._output_since is None:
            self._output_since = now

    def refuse(self, now: float) -> None:
        """Record that an error reply is written and schedule the close."""
        self._close_at = now + CLOSE_DELAY_SECONDS
        self.framer = MessageFramer(MessageLimits())

    def has_receive_timed_out(self, now: float) -> bool:
        """Return whether a request was not received completely in time."""
        since = self._incomplete_since
        return since is not None and now - since >= RECEIVE_TIMEOUT_SECONDS

    def is_expired(self, now: float) -> bool:
        """Return whether the connection has to be closed now."""
        if self._output_since is not None:
            return now - self._output_since >= SEND_TIMEOUT_SECONDS
        if self._close_at is not None:
            return now >= self._close_at
        return self.is_idle and now - self.last_active_at >= IDLE_TIMEOUT_SECONDS
