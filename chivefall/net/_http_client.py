"""HTTP/1.1 client on the circuits poller."""

from __future__ import annotations

import errno
import itertools
import socket
from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp
from circuits.web.parsers import HttpParser

from chivefall.runtime import Clock, Future, TimerHandle

if TYPE_CHECKING:
    from chivefall.config import Address

__all__ = ["HttpClient", "HttpFailure", "HttpResponse"]

RECEIVE_SIZE = 65536
RESPONSE_PARSER = 1
MAX_IDLE_CONNECTIONS = 4
_channel_numbers = itertools.count()


@dataclass(frozen=True)
class HttpResponse:
    """A complete response."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class HttpFailure:
    """The exchange ended without a complete response.

    Attributes
    ----------
    sent : bool
        Whether any byte of the request may have reached the server.
    """

    reason: str
    sent: bool


class _Connection:
    """One socket and the exchange that uses it."""

    __slots__ = ("address", "fut", "outgoing", "parser", "reused", "sent", "sock", "timer")

    def __init__(self, address: Address, sock: socket.socket) -> None:
        self.address = address
        self.sock = sock
        self.fut: Future[HttpResponse | HttpFailure] | None = None
        self.outgoing: deque[bytes] = deque()
        self.parser: HttpParser | None = None
        self.timer: TimerHandle | None = None
        self.sent = False
        self.reused = False


class HttpClient(BaseComponent):
    """Sends requests over pooled connections, one exchange a connection at a time.

    A late response cannot reach another request: a connection whose exchange
    timed out is closed and never used again.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__(channel=f"http-client-{next(_channel_numbers)}")
        self._clock = clock
        self._active: dict[socket.socket, _Connection] = {}
        self._idle: dict[Address, list[_Connection]] = defaultdict(list)
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def _poller(self) -> BasePoller:
        return findcmp(self.root, BasePoller)

    def request(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float = 2.0,
    ) -> Future[HttpResponse | HttpFailure]:
        """Send a request and return a future of its response.

        Parameters
        ----------
        timeout : float
            Seconds until the exchange is given up and its connection closed.
        """
        fut: Future[HttpResponse | HttpFailure] = Future()
        try:
            conn = self._take_idle(address) or self._connect(address)
        except OSError as exc:
            fut.set_result(HttpFailure(f"cannot connect to {address}: {exc}", sent=False))
            return fut
        conn.fut = fut
        conn.sent = False
        conn.parser = HttpParser(RESPONSE_PARSER)
        conn.outgoing.append(_encode_request(address, method, path, body, headers or {}))
        conn.timer = self._clock.call_later(
            timeout, lambda: self._fail(conn, f"no response from {address} in {timeout} s")
        )
        self._active[conn.sock] = conn
        self._poller.addReader(self, conn.sock)
        self._poller.addWriter(self, conn.sock)
        return fut

    def close_all(self) -> None:
        """Close every connection; open exchanges fail."""
        for conn in list(self._active.values()):
            self._fail(conn, "the client is closing")
        for conns in self._idle.values():
            for conn in conns:
                self._discard(conn)
        self._idle.clear()

    def _take_idle(self, address: Address) -> _Connection | None:
        conns = self._idle.get(address)
        if not conns:
            return None
        conn = conns.pop()
        conn.reused = True
        return conn

    def _connect(self, address: Address) -> _Connection:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex((address.host, address.port))
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise OSError(code, errno.errorcode.get(code, "unknown error"))
        return _Connection(address, sock)

    @handler("_write", priority=1)
    def _on_write(self, sock: socket.socket) -> None:
        conn = self._active.get(sock)
        if conn is None:
            return
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail(conn, f"cannot connect to {conn.address}: {errno.errorcode.get(code)}")
            return
        try:
            self._send_some(conn)
        except BlockingIOError:
            return
        except OSError as exc:
            self._fail(conn, f"cannot send to {conn.address}: {exc}")

    def _send_some(self, conn: _Connection) -> None:
        while conn.outgoing:
            data = conn.outgoing.popleft()
            conn.sent = True
            count = conn.sock.send(data)
            self.bytes_sent += count
            if count < len(data):
                conn.outgoing.appendleft(data[count:])
                return
        self._poller.removeWriter(conn.sock)

    @handler("_read", priority=1)
    def _on_read(self, sock: socket.socket) -> None:
        conn = self._active.get(sock)
        if conn is None:
            self._drop_idle(sock)
            return
        try:
            data = sock.recv(RECEIVE_SIZE)
        except BlockingIOError:
            return
        except OSError as exc:
            self._fail(conn, f"cannot receive from {conn.address}: {exc}")
            return
        if not data:
            self._fail(conn, f"{conn.address} closed the connection")
            return
        self.bytes_received += len(data)
        conn.parser.execute(data, len(data))
        if conn.parser.errno is not None:
            self._fail(conn, f"{conn.address} sent a malformed response")
        elif _is_complete(conn.parser):
            self._complete(conn)

    @handler("_disconnect", "_error", priority=1)
    def _on_disconnect(self, sock: socket.socket, *_: object) -> None:
        conn = self._active.get(sock)
        if conn is None:
            self._drop_idle(sock)
            return
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        name = errno.errorcode.get(code, "connection closed")
        self._fail(conn, f"connection to {conn.address} failed: {name}")

    def _complete(self, conn: _Connection) -> None:
        parser = conn.parser
        headers = {key.lower(): value for key, value in parser.get_headers().items()}
        response = HttpResponse(parser.get_status_code(), parser.recv_body(), headers)
        fut = self._finish(conn)
        idle = self._idle[conn.address]
        if parser.should_keep_alive() and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(conn)
        else:
            self._discard(conn)
        fut.set_result(response)

    def _fail(self, conn: _Connection, reason: str) -> None:
        if conn.sock not in self._active:
            return
        fut = self._finish(conn)
        self._discard(conn)
        fut.set_result(HttpFailure(reason, conn.sent))

    def _finish(self, conn: _Connection) -> Future[HttpResponse | HttpFailure]:
        del self._active[conn.sock]
        conn.timer.cancel()
        fut, conn.fut = conn.fut, None
        return fut

    def _discard(self, conn: _Connection) -> None:
        self._poller.discard(conn.sock)
        conn.sock.close()

    def _drop_idle(self, sock: socket.socket) -> None:
        for conns in self._idle.values():
            for conn in conns:
                if conn.sock is sock:
                    conns.remove(conn)
                    self._discard(conn)
                    return


def _encode_request(
    address: Address, method: str, path: str, body: bytes, headers: dict[str, str]
) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {address}",
        f"Content-Length: {len(body)}",
    ]
    lines.extend(f"{key}: {value}" for key, value in headers.items())
    return "\r\n".join([*lines, "", ""]).encode() + body


def _is_complete(parser: HttpParser) -> bool:
    if not parser.is_headers_complete():
        return False
    if parser.get_headers().get("Content-Length") == "0":
        return True
    return parser.is_message_complete()
