"""HTTP/1.1 client with pooled connections on the circuits poller."""

from __future__ import annotations

import errno
import itertools
import math
import socket
from collections import defaultdict, deque
from collections.abc import Callable, Collection
from dataclasses import dataclass

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from chivefall.config import Address
from chivefall.model import ConnectionId
from chivefall.net._http_connection import Connection, HttpFailure, HttpResponse, encode_request
from chivefall.net._http_framing import FramingError, Message, MessageFramer, MessageLimits
from chivefall.runtime import Clock, Future, TimerHandle

__all__ = ["ConnectionLimits", "HttpClient", "HttpFailure", "HttpResponse"]

RECEIVE_SIZE_BYTES = 65536
MAX_RESPONSE_BYTES = 16_000_000
MAX_IDLE_CONNECTIONS_PER_SERVER = 4
EXTRA_NEW_CONNECTIONS = 2  # to one server, above its limit
# Shorter than the idle timeouts of common servers, so that this side closes most connections.
IDLE_TIMEOUT_SECONDS = 15.0
_channel_numbers = itertools.count()
_connection_numbers = itertools.count(1)


@dataclass(frozen=True)
class ConnectionLimits:
    """Limits of the open connections of a client, including idle ones.

    Attributes
    ----------
    total : int
        Limit for all servers; idle connections to other servers make room for new ones.
    per_server : int
        Limit for one server.
    waits : bool
        Whether requests above the limit for a server wait; otherwise they fail at once.
    """

    total: int = 600
    per_server: int = 64
    waits: bool = False


@dataclass(eq=False)
class _Request:
    """An encoded request and what its exchange needs."""

    address: Address
    data: bytes
    fut: Future[HttpResponse | HttpFailure]
    deadline: float
    timeout: float
    idempotent: bool
    verify: Callable[[HttpResponse], bool] | None
    max_body_bytes: int
    restart_timeout_on_data: bool
    expires_at: float
    connections: Collection[ConnectionId] | None = None
    new_connection: bool = False
    timer: TimerHandle | None = None


class HttpClient(BaseComponent):
    """Sends requests over pooled connections, each with one exchange at a time.

    A connection is closed when its exchange times out, so that a late response
    cannot be taken for the response to another request. Requests that wait for a
    connection are sent in order of arrival; a wait that ends with the timeout fails unsent.
    """

    _cached_poller: BasePoller | None = None

    def __init__(self, clock: Clock, limits: ConnectionLimits | None = None) -> None:
        super().__init__(channel=f"http-client-{next(_channel_numbers)}")
        self.clock = clock
        self._limits = limits or ConnectionLimits()
        self._waiting: dict[Address, deque[_Request]] = {}
        self._serving: set[Address] = set()
        self._total_connections = 0
        self._active: dict[socket.socket, Connection] = {}
        self._idle: dict[Address, list[Connection]] = {}
        self._connection_counts: dict[Address, int] = defaultdict(int)
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def _poller(self) -> BasePoller:
        # Cached, because the search visits all components of the process.
        if self._cached_poller is None:
            self._cached_poller = findcmp(self.root, BasePoller)
        return self._cached_poller

    def open_connections(self, address: Address) -> int:
        """Return the number of connections to a server, including idle ones."""
        return self._connection_counts.get(address, 0)

    def request(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float = 2.0,
        *,
        idempotent: bool = True,
        verify: Callable[[HttpResponse], bool] | None = None,
        max_body_bytes: int = MAX_RESPONSE_BYTES,
        restart_timeout_on_data: bool = False,
        expires_at: float = math.inf,
        connections: Collection[ConnectionId] | None = None,
        new_connection: bool = False,
    ) -> Future[HttpResponse | HttpFailure]:
        """Send a request and return a future of its response.

        Parameters
        ----------
        timeout : float
            Seconds until the exchange fails and its connection is closed. A response that
            has arrived by then is used, also if the process was paused and reads it late.
        idempotent : bool
            Whether the caller may repeat a failed exchange. Other requests use a new
            connection: a server may close an idle connection just as a request is
            sent on it, and then it is unknown whether the request ran.
        verify : callable, optional
            Returns whether a response belongs to the request. A response that does
            not is discarded and its connection closed.
        max_body_bytes : int
            Maximum size of the response body.
        restart_timeout_on_data : bool
            Whether received data restarts the timeout, so that a large response can
            be received over a slow link.
        expires_at : float
            Time from which the request is no longer sent, in seconds since the Unix
            epoch; it may pass while the connection is established or the process is paused.
        connections : collection of ConnectionId, optional
            The connections that may carry the request, which fails unsent if all of them
            are closed or in use. They lead to the process that sent the earlier responses.
        new_connection : bool
            Whether the request opens a connection, because open ones may lead nowhere. It
            does not wait: one connection more than the limit for the server is allowed for
            each of ``EXTRA_NEW_CONNECTIONS`` such requests, as the others may be in use by
            requests that wait for their timeouts.
        """
        req = _Request(
            address,
            encode_request(address, method, path, body, headers or {}),
            Future(),
            self.clock.now() + timeout,
            timeout,
            idempotent,
            verify,
            max_body_bytes,
            restart_timeout_on_data,
            expires_at,
            connections,
            new_connection,
        )
        self._start(req)
        return req.fut

    def _start(self, req: _Request) -> None:
        if req.connections is not None:
            self._begin_on(req, req.connections)
        elif (self._waiting.get(req.address) and not req.new_connection) or not self._begin(req):
            self._wait(req)

    def _wait(self, req: _Request) -> None:
        if not self._limits.waits:
            reason = f"all {self._limits.per_server} connections to {req.address} are in use"
            req.fut.set_result(HttpFailure(reason, sent=False, is_local=True))
            return
        self._waiting.setdefault(req.address, deque()).append(req)
        seconds = max(0.0, req.deadline - self.clock.now())
        req.timer = self.clock.call_later(seconds, lambda: self._fail_waiting(req))

    def _begin(self, req: _Request) -> bool:
        """Start the exchange of a request; return False if it has to wait for a connection."""
        address = req.address
        try:
            conn = self._take_idle(address, req.idempotent and not req.new_connection)
            limit = self._limits.per_server
            if req.new_connection:
                limit += EXTRA_NEW_CONNECTIONS
            if conn is None and self.open_connections(address) >= limit:
                return False
            is_reused = conn is not None
            conn = conn or self._connect(address)
        except OSError as exc:
            reason = f"cannot connect to {address}: {exc}"
            req.fut.set_result(HttpFailure(reason, sent=False, is_local=True))
            return True
        self._exchange(conn, req, is_reused=is_reused)
        return True

    def _begin_on(self, req: _Request, connections: Collection[ConnectionId]) -> None:
        """Start the exchange of a request on one of some connections, or fail it unsent."""
        for conn in list(self._idle.get(req.address, ())):
            if conn.id not in connections:
                continue
            if conn.is_alive():
                self._remove_idle(conn)
                self._exchange(conn, req, is_reused=True)
                return
            self._drop_idle(conn)
        reason = f"no earlier connection to {req.address} is open and idle"
        req.fut.set_result(HttpFailure(reason, sent=False))

    def _exchange(self, conn: Connection, req: _Request, *, is_reused: bool) -> None:
        conn.send_elsewhere = (lambda: self._start(req)) if is_reused else None
        conn.fut, conn.verify, conn.sent = req.fut, req.verify, False
        conn.expires_at = req.expires_at
        limits = MessageLimits(max_body_bytes=req.max_body_bytes)
        conn.framer = MessageFramer(limits, responses=True)
        conn.outgoing.append(memoryview(req.data))
        conn.read_timeout = req.timeout if req.restart_timeout_on_data else None
        self._start_timer(conn, max(0.0, req.deadline - self.clock.now()))
        self._active[conn.sock] = conn
        self._poller.addWriter(self, conn.sock)

    def _fail_waiting(self, req: _Request) -> None:
        queue = self._waiting.get(req.address, ())
        if req in queue:
            queue.remove(req)
            reason = f"no free connection to {req.address} within {req.timeout:.3g} s"
            req.fut.set_result(HttpFailure(reason, sent=False, is_local=True))

    def _serve_waiting(self, address: Address) -> None:
        """Start the exchanges of waiting requests for which there are connections."""
        queue = self._waiting.get(address)
        if not queue or address in self._serving:
            return  # Closing a dead idle connection on the way leads here again.
        self._serving.add(address)
        while queue and self._begin(queue[0]):
            queue.popleft().timer.cancel()
        self._serving.discard(address)
        if not queue:
            self._waiting.pop(address, None)

    def _start_timer(self, conn: Connection, seconds: float) -> None:
        reason = f"no response from {conn.address} within {seconds:.3g} s"
        conn.timer = self.clock.call_later(seconds, lambda: self._expire(conn, reason, seconds))

    def _expire(self, conn: Connection, reason: str, seconds: float) -> None:
        """Fail an exchange by its timeout of ``seconds``, unless its response has arrived.

        After a pause of the process the poller reads before delayed timers run, but only a part
        of a large response, and a timer that is hardly late runs before the poller.
        """
        if not conn.sent:
            # What was received is no response to an unsent request.
            self._fail(conn, reason, is_local=conn.is_established())
            return
        # After a pause the server had less than the timeout to respond.
        is_local = self.clock.now() - conn.sent_at < seconds / 2
        received_before = self.bytes_received
        try:
            message = self._receive_arrived(conn)
        except BlockingIOError:
            if conn.read_timeout is not None and self.bytes_received > received_before:
                self._start_timer(conn, conn.read_timeout)
            else:
                self._fail(conn, reason, is_local=is_local)
        except (OSError, FramingError) as exc:
            self._fail(conn, f"{reason}; {exc}")
        else:
            if message is not None:
                self._complete(conn, message, is_late=True)
            else:
                self._fail(conn, reason, is_local=is_local)

    def close_all(self) -> None:
        """Close all connections; exchanges in progress fail."""
        for queue in list(self._waiting.values()):
            for req in list(queue):
                req.timer.cancel()
                self._fail_waiting(req)
        for conn in list(self._active.values()):
            self._fail(conn, "the HTTP client is closing")
        for conns in list(self._idle.values()):
            for conn in list(conns):
                self._drop_idle(conn)

    def _take_idle(self, address: Address, reuse: bool) -> Connection | None:
        """Return a live idle connection, or None; without ``reuse`` close one idle connection."""
        while conns := self._idle.get(address):
            conn = conns[-1]
            if reuse and conn.is_alive():
                self._remove_idle(conn)
                return conn
            self._drop_idle(conn)
            if not reuse:
                break
        return None

    def _connect(self, address: Address) -> Connection:
        if self._total_connections >= self._limits.total and not self._close_one_idle():
            raise OSError(errno.EAGAIN, f"all {self._limits.total} connections are in use")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex((address.host, address.port))
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise OSError(code, errno.errorcode.get(code, "unknown error"))
        self._connection_counts[address] += 1
        self._total_connections += 1
        self._poller.addReader(self, sock)
        return Connection(ConnectionId(next(_connection_numbers)), address, sock)

    def _close_one_idle(self) -> bool:
        """Close an idle connection to any server; return False if there is none."""
        conn = next((conns[0] for conns in self._idle.values() if conns), None)
        if conn is not None:
            self._drop_idle(conn)
        return conn is not None

    @handler("_write", priority=1)
    def _on_write(self, sock: socket.socket) -> None:
        conn = self._active.get(sock)
        if conn is None:
            return
        if conn.ended_unused:
            self._replace(conn)
            return
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            action = "send" if conn.sent else "connect"
            name = errno.errorcode.get(code)
            self._fail_sending(conn, f"cannot {action} to {conn.address}: {name}")
            return
        if not conn.sent and self.clock.now() >= conn.expires_at:
            self._fail(conn, "the request expired before it was sent", is_local=True)
            return
        try:
            self._send_pending(conn)
        except BlockingIOError:
            return
        except OSError as exc:
            self._fail_sending(conn, f"cannot send to {conn.address}: {exc}")

    def _fail_sending(self, conn: Connection, reason: str) -> None:
        """Fail an exchange whose connection sends no more, unless its response has arrived.

        A server may respond before it has received the whole request, and the kernel hands
        over what was delivered before a reset.
        """
        try:
            message = self._receive_arrived(conn) if conn.sent else None
        except (OSError, FramingError) as exc:
            message, reason = None, f"{reason}; {exc}"
        if message is not None:
            self._complete(conn, message)
        else:
            self._fail(conn, reason)

    def _send_pending(self, conn: Connection) -> None:
        while conn.outgoing:
            # Some bytes may have been sent even if the call fails.
            if not conn.sent:
                conn.sent, conn.sent_at = True, self.clock.now()
            count = conn.sock.send(conn.outgoing[0])
            self.bytes_sent += count
            conn.outgoing[0] = conn.outgoing[0][count:]
            if conn.outgoing[0]:
                return
            conn.outgoing.popleft()
        self._poller.removeWriter(conn.sock)

    @handler("_read", priority=1)
    def _on_read(self, sock: socket.socket) -> None:
        conn = self._active.get(sock)
        if conn is None:
            self._close_idle_socket(sock)
            return
        if conn.ended_unused:
            self._replace(conn)
            return
        try:
            message = self._receive(conn)
        except BlockingIOError:
            return
        except OSError as exc:
            self._fail(conn, f"cannot receive from {conn.address}: {exc}")
        except FramingError as exc:
            self._fail(conn, f"invalid response from {conn.address}: {exc}")
        else:
            if message is not None:
                self._complete(conn, message)
            elif conn.read_timeout is not None:
                conn.timer.cancel()
                self._start_timer(conn, conn.read_timeout)

    def _receive(self, conn: Connection) -> Message | None:
        """Read once and return the response if it is complete.

        Raises
        ------
        OSError
            If nothing has arrived (BlockingIOError) or the connection ended too early.
        FramingError
            If the response is malformed or too large.
        """
        data = conn.sock.recv(RECEIVE_SIZE_BYTES)
        self.bytes_received += len(data)
        if data:
            conn.framer.feed(data)
            return conn.framer.next_message()
        message = conn.framer.end_of_stream()
        if message is None:
            raise ConnectionAbortedError("the connection closed before the response was complete")
        return message

    def _receive_arrived(self, conn: Connection) -> Message | None:
        """Read what has arrived and return the response if it is complete.

        The amount is limited, so that a server that keeps sending does not hold the loop.

        Raises
        ------
        OSError, FramingError
            As :meth:`_receive`.
        """
        message, limit = None, self.bytes_received + MAX_RESPONSE_BYTES
        while message is None and self.bytes_received < limit:
            message = self._receive(conn)
        return message

    @handler("_disconnect", "_error", priority=1)
    def _on_disconnect(self, sock: socket.socket, *_: object) -> None:
        conn = self._active.get(sock)
        if conn is None:
            self._close_idle_socket(sock)
            return
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        name = errno.errorcode.get(code, "connection closed")
        self._fail(conn, f"connection to {conn.address} failed: {name}")

    def _complete(self, conn: Connection, message: Message, *, is_late: bool = False) -> None:
        status = int(message.start_line.split(" ")[1])
        response = HttpResponse(status, message.body, message.headers, conn.id, is_late)
        if conn.verify is not None and not conn.verify(response):
            self._fail(conn, f"{conn.address} sent the response to another request")
            return
        reusable = message.keep_alive and not conn.outgoing and not conn.framer.buffered_bytes
        fut = self._end_exchange(conn)
        idle = self._idle.setdefault(conn.address, [])
        if reusable and len(idle) < MAX_IDLE_CONNECTIONS_PER_SERVER:
            idle.append(conn)
            conn.timer = self.clock.call_later(IDLE_TIMEOUT_SECONDS, lambda: self._drop_idle(conn))
            self._serve_waiting(conn.address)
        else:
            self._close(conn)
        fut.set_result(response)

    def _fail(self, conn: Connection, reason: str, *, is_local: bool = False) -> None:
        if conn.sock not in self._active:
            return
        fut = self._end_exchange(conn)
        self._close(conn)
        fut.set_result(HttpFailure(reason, conn.sent, conn.id, is_local))

    def _replace(self, conn: Connection) -> None:
        """Close a reused connection and send the request of its exchange over another one.

        A request for given connections fails unsent if none of the others can carry it.
        """
        send_elsewhere = conn.send_elsewhere
        self._end_exchange(conn)
        self._close(conn)
        send_elsewhere()

    def _end_exchange(self, conn: Connection) -> Future[HttpResponse | HttpFailure]:
        del self._active[conn.sock]
        conn.timer.cancel()
        fut, conn.fut, conn.verify, conn.framer = conn.fut, None, None, None
        conn.send_elsewhere = None
        return fut

    def _close(self, conn: Connection) -> None:
        self._poller.discard(conn.sock)
        conn.sock.close()
        self._connection_counts[conn.address] -= 1
        self._total_connections -= 1
        if not self._connection_counts[conn.address]:
            del self._connection_counts[conn.address]
            self._idle.pop(conn.address, None)
        if conn.address in self._waiting:
            self._serve_waiting(conn.address)

    def _remove_idle(self, conn: Connection) -> None:
        self._idle[conn.address].remove(conn)
        conn.timer.cancel()

    def _drop_idle(self, conn: Connection) -> None:
        if conn in self._idle.get(conn.address, ()):
            self._remove_idle(conn)
            self._close(conn)

    def _close_idle_socket(self, sock: socket.socket) -> None:
        for conns in list(self._idle.values()):
            for conn in list(conns):
                if conn.sock is sock:
                    self._drop_idle(conn)
