"""One connection of a caller and its time limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.net._http_framing import MessageLimits, MessageFramer

if TYPE_CHECKING:
    import socket

__all__ = ["CallerConnection"]

RECEIVE_TIMEOUT_SECONDS = 20.0  # from the first byte of a request to its last
IDLE_TIMEOUT_SECONDS = 75.0  # between requests
SEND_TIMEOUT_SECONDS = 60.0  # without a pause in unsent output
CLOSE_DELAY_SECONDS = 1.0  # between a refusal and the end of its connection


class CallerConnection:
    """The state of one connection.

    Attributes
    ----------
    busy : bool
        Whether a request is in progress.
    paused : bool
        Whether reading is stopped because later requests fill the buffer.
    half_closed : bool
        Whether the caller sends nothing more.
    refused : bool
        Whether a refusal was written and further bytes are dropped.
    last_active_at : float
        Time of the last request or byte, in seconds since the epoch.
    """

    __slots__ = (
        "_close_at",
        "_incomplete_since",
        "_output_since",
        "last_active_at",
        "busy",
        "framer",
        "half_closed",
        "paused",
        "sock",
    )

    def __init__(self, sock: socket.socket, now: float) -> None:
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
        """Return whether a refusal was written."""
        return self._close_at is not None

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or arriving."""
        return not self.busy and self.framer.is_between_messages

    def record_incomplete(self, now: float) -> None:
        """Record that bytes of a request are missing."""
        if self._incomplete_since is None and not self.framer.is_between_messages:
            self._incomplete_since = now

    def record_request(self) -> None:
        """Record that a request begins."""
        self.busy = True
        self._incomplete_since = None

    def record_reply(self, now: float) -> None:
        """Record that a reply was written."""
        self.busy = False
        self.last_active_at = now

    def record_output(self, unsent: bool, now: float) -> None:
        """Record whether output waits for the caller to read it."""
        if not unsent:
            self._output_since = None
        elif self._output_since is None:
            self._output_since = now

    def refuse(self, now: float) -> None:
        """Record that a refusal is written."""
        self._close_at = now + CLOSE_DELAY_SECONDS
        self.framer = MessageFramer(MessageLimits())

    def has_receive_timed_out(self, now: float) -> bool:
        """Return whether a request takes too long to arrive."""
        since = self._incomplete_since
        return since is not None and now - since >= RECEIVE_TIMEOUT_SECONDS

    def is_expired(self, now: float) -> bool:
        """Return whether the connection is to be closed."""
        if self._output_since is not None:
            return now - self._output_since >= SEND_TIMEOUT_SECONDS
        if self._close_at is not None:
            return now >= self._close_at
        return self.is_idle and now - self.last_active_at >= IDLE_TIMEOUT_SECONDS
