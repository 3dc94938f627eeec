"""HTTP server for callers, operators and metrics, on circuits.web."""

from __future__ import annotations

import itertools
import socket
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import msgspec
from circuits import BaseComponent, handler
from circuits.net.events import close, write
from circuits.web.events import response
from circuits.web.headers import Headers
from circuits.web.servers import BaseServer
from circuits.web.wrappers import Request, Response

from chivefall.model import ConnectionId
from chivefall.net._http_caller import CallerConnection
from chivefall.net._http_framing import FramingError, Message, parse_request_line

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from chivefall.config import Address
    from chivefall.runtime import Clock, Future

__all__ = ["HttpReply", "HttpRequest", "HttpServer", "json_reply"]

MAX_PIPELINED_BYTES = 65_536  # buffered while a request is in progress
MAX_CONNECTIONS = 512  # half of the usual limit on open files, 1024
SWEEP_INTERVAL_SECONDS = 1.0
_connection_numbers = itertools.count(1)
INTERNAL_ERROR = b'{"error": "internal error; see the instance log"}'


@dataclass(frozen=True)
class HttpRequest:
    """A complete request; header names are in lower case.

    Attributes
    ----------
    connection : ConnectionId or None
        The connection over which it came.
    """

    method: str
    path: str
    query: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    connection: ConnectionId | None = None


@dataclass(frozen=True)
class HttpReply:
    """A complete reply."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    content_type: str = "application/json"


def json_reply(status: int, body: Any, headers: dict[str, str] | None = None) -> HttpReply:
    """Return a reply with a JSON body."""
    return HttpReply(status, msgspec.json.encode(body), headers or {})


class _SignalIgnoringServer(BaseServer):
    """A circuits.web server that does not react to signals.

    The handler of circuits closes all connections on SIGTERM, which would abort
    requests in progress.
    """

    @handler("signal", override=True)
    def _on_signal(self, *_: object) -> None:
        """Ignore signals; the application stops the server."""

    @handler("ready", override=True)
    def _on_ready(self, *_: object) -> None:
        """Do not print a banner."""


class HttpServer(BaseComponent):
    """Passes complete requests to ``serve`` and writes the replies.

    circuits.web accepts connections and writes responses. Its request parser is not
    used, because it merges pipelined requests, fails on chunks that are split over
    TCP segments, decodes backslashes in headers, decompresses bodies without a limit
    and has no timeouts. Each connection has at most one request in progress; later
    ones stay in its framer.
    """

    channel = "web"

    def __init__(
        self,
        address: Address,
        serve: Callable[[HttpRequest], Future[HttpReply]],
        clock: Clock,
        max_connections: int = MAX_CONNECTIONS,
        channel: str = "web",
    ) -> None:
        super().__init__(channel=channel)
        self._address = address
        self._serve = serve
        self._clock = clock
        self._max_connections = max_connections
        self._conns: dict[socket.socket, CallerConnection] = {}
        self._requests_in_progress = 0
        self._sweeping = False
        self._draining = False
        self._server = _SignalIgnoringServer(
            (address.host, address.port),
            channel=self.channel,
            display_banner=False,
            bufsize=MAX_PIPELINED_BYTES,
        ).register(self)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or partly received and all output is sent."""
        return not self._requests_in_progress and not any(
            not conn.is_idle or self._has_output(conn.sock) for conn in self._conns.values()
        )

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones are closed after their next reply."""
        self._draining = True
        tcp = self._server.server
        if tcp._sock is None:
            return
        # Closing the listening socket would reset the connections in its accept queue.
        while True:
            try:
                sock, _ = tcp._sock.accept()
            except OSError:
                break
            tcp._on_accept_done(sock)
        tcp._close(tcp._sock)

    def close_connections(self, connections: Collection[ConnectionId]) -> None:
        """Close some connections at once; their requests in progress get no reply."""
        for conn in list(self._conns.values()):
            if conn.id in connections:
                self._close(conn)

    @handler("connect")
    def _on_connect(self, sock: socket.socket, *_: object) -> None:
        connection_id = ConnectionId(next(_connection_numbers))
        self._conns[sock] = CallerConnection(connection_id, sock, self._clock.now())
        if len(self._conns) > self._max_connections:
            idle = [conn for conn in self._conns.values() if conn.is_idle]
            # Clients expect that idle connections may be closed; the new one counts as idle, too.
            victim = min(idle, key=lambda conn: conn.last_active_at, default=self._conns[sock])
            self._close(victim)
        self._start_sweeping()

    @handler("disconnect")
    def _on_disconnect(self, sock: socket.socket, *_: object) -> None:
        self._conns.pop(sock, None)
        # circuits creates the buffer again if the socket was writable when it was closed.
        self._server.server._buffers.pop(sock, None)
        if sock in self._server.server._closeq:
            self._server.server._closeq.remove(sock)

    @handler("_read", priority=10)
    def _keep_half_closed(self, event, sock: socket.socket) -> None:
        """Keep a half-closed connection open until the reply to the request in progress."""
        conn = self._conns.get(sock)
        if conn is None or not conn.busy:
            return
        try:
            ended = not sock.recv(1, socket.MSG_PEEK)
        except OSError:
            return
        if ended:
            event.stop()
            conn.half_closed = True
            self._server.server._poller.removeReader(sock)

    @handler("read", priority=10)
    def _on_read(self, event, sock: socket.socket, data: bytes) -> None:
        event.stop()
        conn = self._conns.get(sock)
        if conn is None or conn.refused:
            return
        conn.last_active_at = self._clock.now()
        conn.framer.feed(data)
        if not conn.busy:
            self._serve_next(conn)
        elif conn.framer.buffered_bytes > MAX_PIPELINED_BYTES:
            conn.paused = True
            self._server.server._poller.removeReader(sock)

    @handler("write", "close", priority=10)
    def _drop_output_to_closed(self, event, sock: socket.socket | None = None, *_: object) -> None:
        """Drop output to a closed connection, whose buffer circuits would never delete."""
        if sock is not None and sock.fileno() < 0:
            event.stop()

    def _serve_next(self, conn: CallerConnection) -> None:
        """Serve the next request of a connection if it was received completely."""
        try:
            message = conn.framer.next_message()
            if message is None:
                conn.record_incomplete(self._clock.now())
                if conn.framer.expects_continue:
                    self.fire(write(conn.sock, b"HTTP/1.1 100 Continue\r\n\r\n"))
                return
            method, path, query = parse_request_line(message)
        except FramingError as exc:
            self._refuse(conn, exc.status, str(exc))
            return
        conn.record_request()
        self._requests_in_progress += 1
        req = HttpRequest(method, path, query, message.headers, message.body, conn.id)
        fut = self._serve(req)
        fut.add_done_callback(lambda done: self._reply(conn, method, message, done))

    def _reply(
        self, conn: CallerConnection, method: str, message: Message, fut: Future[HttpReply]
    ) -> None:
        self._requests_in_progress -= 1
        if conn.sock not in self._conns:
            return
        try:
            reply = fut.result()
        except Exception:  # noqa: BLE001 - logged by the application
            reply = HttpReply(HTTPStatus.INTERNAL_SERVER_ERROR, INTERNAL_ERROR)
        close_after = not message.keep_alive or self._draining or conn.half_closed
        close_after = close_after or reply.headers.get("Connection") == "close"
        self._write(conn, method, message.start_line.endswith("1.0"), reply, close_after)

    def _write(
        self,
        conn: CallerConnection,
        method: str,
        is_http10: bool,
        reply: HttpReply,
        close_after: bool,
    ) -> None:
        try:
            req = Request(
                conn.sock,
                method,
                protocol=(1, 0) if is_http10 else (1, 1),
                # The request headers are not needed any more, and circuits may fail to parse them.
                headers=Headers([("Host", str(self._address))]),
                server=self._server,
            )
        except OSError:  # the caller closed the connection
            self.fire(close(conn.sock))
            return
        res = Response(req)
        res.status = int(reply.status)
        res.body = reply.body
        res.close = close_after
        res.headers["Content-Type"] = reply.content_type
        for key, value in reply.headers.items():
            res.headers[key] = value
        self.fire(response(res))

    @handler("response_success", "response_failure")
    def _on_response_written(self, written: response, *_: object) -> None:
        res = written.args[0]
        conn = self._conns.get(res.request.sock)
        if conn is None:
            return
        if res.close and res.request.method == "HEAD":
            # circuits.web does not close the connection after the response to HEAD.
            self.fire(close(conn.sock))
        conn.record_reply(self._clock.now())
        if res.close or conn.refused:
            return
        if conn.paused:
            conn.paused = False
            self._server.server._poller.addReader(self._server.server, conn.sock)
        self._serve_next(conn)

    def _refuse(self, conn: CallerConnection, status: HTTPStatus, detail: str) -> None:
        """Send an error reply and close the connection after a delay.

        Closing it at once while the caller is still sending would reset it, and the
        reply would be lost.
        """
        conn.refuse(self._clock.now())
        body = msgspec.json.encode({"error": detail})
        reply = HttpReply(status, body, {"Connection": "close"})
        self._write(conn, "POST", is_http10=False, reply=reply, close_after=False)

    def _close(self, conn: CallerConnection) -> None:
        self._conns.pop(conn.sock, None)
        self._server.server._close(conn.sock)

    def _has_output(self, sock: socket.socket) -> bool:
        return bool(self._server.server._buffers.get(sock))

    def _start_sweeping(self) -> None:
        if not self._sweeping and self._conns:
            self._sweeping = True
            self._clock.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)

    def _sweep(self) -> None:
        """Close connections whose timeouts have expired."""
        self._sweeping = False
        now = self._clock.now()
        for conn in list(self._conns.values()):
            conn.record_output(self._has_output(conn.sock), now)
            if conn.has_receive_timed_out(now) and not conn.refused:
                self._refuse(
                    conn,
                    HTTPStatus.REQUEST_TIMEOUT,
                    "the request was not received completely in time",
                )
            elif conn.is_expired(now):
                self._close(conn)
        self._start_sweeping()
