"""HTTP server for callers, operators and metrics, on circuits.web."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler
from circuits.net.events import close, read
from circuits.web.events import response
from circuits.web.servers import BaseServer

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from circuits.web.wrappers import Request, Response

    from chivefall.config import Address
    from chivefall.runtime import Future

__all__ = ["HttpReply", "HttpRequest", "HttpServer"]

MAX_BODY_BYTES = 1_000_000
MAX_HELD_BYTES = 65_536
INTERNAL_ERROR = b'{"error": "internal error; see the instance log"}'


@dataclass(frozen=True)
class HttpRequest:
    """A complete request of a caller."""

    method: str
    path: str
    query: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True)
class HttpReply:
    """A complete reply."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    content_type: str = "application/json"


class _QuietServer(BaseServer):
    """A circuits.web server that leaves signals to the application.

    The library's own handler closes every connection on SIGTERM, which would
    cut requests in progress.
    """

    @handler("signal", override=True)
    def _on_signal(self, *_: object) -> None:
        """Ignore signals; the application shuts the server down."""

    @handler("ready", override=True)
    def _on_ready(self, *_: object) -> None:
        """Do not print a banner."""


class HttpServer(BaseComponent):
    """Hands complete requests to ``serve`` and writes its replies.

    Each connection has one request in progress. circuits.web would merge bytes
    that arrive meanwhile into that request, so they are held back until its
    reply is written.
    """

    channel = "web"

    def __init__(self, address: Address, serve: Callable[[HttpRequest], Future[HttpReply]]) -> None:
        super().__init__()
        self._serve = serve
        self._pending: dict[socket.socket, bytes] = {}
        self._server = _QuietServer(
            (address.host, address.port), channel=self.channel, display_banner=False
        ).register(self)

    @property
    def requests_in_progress(self) -> int:
        """Return the number of requests without a reply."""
        return len(self._pending)

    def stop_listening(self) -> None:
        """Accept no more connections; open ones stay."""
        tcp = self._server.server
        if tcp._sock is not None:
            tcp._close(tcp._sock)

    @handler("read", priority=10)
    def _hold_early_bytes(self, event, sock: socket.socket, data: bytes) -> None:
        if sock not in self._pending:
            return
        event.stop()
        held = self._pending[sock] + data
        if len(held) > MAX_HELD_BYTES:
            self.fire(close(sock))
        else:
            self._pending[sock] = held

    @handler("write", priority=10)
    def _skip_closed(self, event, sock: socket.socket, data: bytes) -> None:
        """Drop output to a connection that the caller closed meanwhile."""
        if sock.fileno() < 0:
            event.stop()

    @handler("disconnect")
    def _on_disconnect(self, sock: socket.socket, *_: object) -> None:
        self._pending.pop(sock, None)

    @handler("request")
    def _on_request(self, req: Request, res: Response, *_: object) -> bool:
        self._pending[req.sock] = b""
        fut = self._serve(self._convert(req, res))
        fut.add_done_callback(lambda done: self._reply(req, res, done))
        return True

    def _convert(self, req: Request, res: Response) -> HttpRequest:
        body = req.body.read()
        length = int(req.headers.get("Content-Length", "0") or 0)
        if len(body) > length and req.headers.get("Transfer-Encoding") != "chunked":
            # Bytes of a pipelined request; closing tells the caller to repeat it.
            body = body[:length]
            res.close = True
        headers = {key.lower(): value for key, value in req.headers.items()}
        return HttpRequest(req.method, req.path, req.qs, headers, body)

    def _reply(self, req: Request, res: Response, fut: Future[HttpReply]) -> None:
        if req.sock not in self._pending:
            return
        try:
            reply = fut.result()
        except Exception:  # noqa: BLE001 - the application logs it
            reply = HttpReply(500, INTERNAL_ERROR)
        res.status = reply.status
        res.body = reply.body
        res.headers["Content-Type"] = reply.content_type
        for key, value in reply.headers.items():
            res.headers[key] = value
        self.fire(response(res))

    @handler("response_success", "response_failure")
    def _on_response_written(self, written: response, *_: object) -> None:
        sock = written.args[0].request.sock
        held = self._pending.pop(sock, b"")
        if held:
            self.fire(read(sock, held))
