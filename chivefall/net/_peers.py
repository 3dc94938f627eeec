"""Message transport between instances, on pynng."""

from __future__ import annotations

import itertools
import os
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import pynng
from circuits import handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from chivefall.errors import MessageError
from chivefall.model import InstanceId
from chivefall.net._messages import (
    Envelope,
    Heartbeat,
    PeerMessage,
    PeerRequest,
    PeerResponse,
    decode_envelope,
    encode_envelope,
)
from chivefall.net._peer_base import PeerFailure, Peers
from chivefall.net._peer_senders import PeerSenders, limit_nng_threads
from chivefall.runtime import AbstractComponent, Clock, Future

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.config import Address

__all__ = ["NngPeers"]

RECEIVE_BUFFER_MESSAGES = 256
MAX_MESSAGE_BYTES = 4_000_000  # a document has at most 1 MB
MAX_MESSAGES_PER_READ_EVENT = 64
MAX_PENDING_CALLS = 4096
MAX_INCARNATIONS_PER_PEER = 4  # kept to recognize late messages of replaced processes


@dataclass(frozen=True)
class _PendingCall:
    """A request without a response yet."""

    peer: InstanceId
    fut: Future[Any | PeerFailure]


class NngPeers(AbstractComponent, Peers):
    """Peers that are connected by one receiving socket and one sending socket each.

    Sends and receives do not block, because a blocking send to an unreachable peer
    would block the event loop.
    """

    def __init__(
        self,
        instance: InstanceId,
        address: Address,
        clock: Clock,
        on_dropped: Callable[[str], None],
    ) -> None:
        super().__init__(channel="peers")
        limit_nng_threads()
        self._instance = instance
        self._address = address
        self._clock = clock
        self._handle_heartbeat: Callable[[Envelope, Heartbeat], None] | None = None
        self._on_dropped = on_dropped
        self.incarnation = secrets.token_hex(8)
        self._correlations = itertools.count(1)
        self._pending_calls: dict[int, _PendingCall] = {}
        self._operations: dict[str, Callable[[Any], Future[Any]]] = {}
        self._senders = PeerSenders()
        self._incarnations: dict[str, tuple[str, ...]] = {}
        self._peer_addresses: dict[InstanceId, Address] = {}
        self._receiver = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES, recv_max_size=MAX_MESSAGE_BYTES
        )
        self._receiver.listen(f"tcp://{address}")
        self._receive_fd = os.dup(self._receiver.recv_fd)
        self._closed = False
        self.bytes_received = 0

    @property
    def bytes_sent(self) -> int:
        """Return the total size of the messages sent, in bytes."""
        return self._senders.bytes_sent

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        findcmp(self.root, BasePoller).addReader(self, self._receive_fd)

    @handler("_read", priority=1)
    def _on_read(self, *_: object) -> None:
        for _ in range(MAX_MESSAGES_PER_READ_EVENT):
            if self._closed:
                return
            try:
                data = self._receiver.recv(block=False)
            except pynng.NNGException:
                return
            self.bytes_received += len(data)
            self._receive(data)

    def set_peers(self, addresses: dict[InstanceId, Address]) -> None:
        """Replace the set of peers and close the sockets to removed ones."""
        self._peer_addresses = {
            name: address for name, address in addresses.items() if name != self._instance
        }
        self._senders.close_all_except({str(address) for address in self._peer_addresses.values()})
        for name in [name for name in self._incarnations if name not in addresses]:
            del self._incarnations[name]

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to every known peer; lost messages are not sent again."""
        for name in self._peer_addresses:
            self.send(name, message)

    def send(self, peer: InstanceId, message: PeerMessage) -> None:
        """Send a message to a known peer; a lost message is not sent again."""
        address = self._peer_addresses.get(peer)
        if address is not None:
            self._send(str(address), message)

    def call(
        self, peer: InstanceId, operation: str, body: Any, timeout: float
    ) -> Future[Any | PeerFailure]:
        """Call an operation of a peer and return a future of the response body or a failure."""
        fut: Future[Any | PeerFailure] = Future()
        address = self._peer_addresses.get(peer)
        if address is None:
            fut.set_result(PeerFailure(f"{peer} is not a known peer", sent=False))
            return fut
        if len(self._pending_calls) >= MAX_PENDING_CALLS:
            fut.set_result(PeerFailure("too many requests to peers are pending", sent=False))
            return fut
        correlation = next(self._correlations)
        if not self._send(str(address), PeerRequest(correlation, operation, body)):
            fut.set_result(PeerFailure(f"{peer} is not connected", sent=False))
            return fut
        self._pending_calls[correlation] = _PendingCall(peer, fut)
        timer = self._clock.call_later(
            timeout, lambda: self._fail(correlation, f"{peer} did not respond within {timeout} s")
        )
        fut.add_done_callback(lambda _: timer.cancel())
        return fut

    def register_operation(self, operation: str, handle: Callable[[Any], Future[Any]]) -> None:
        """Serve an operation that peers call; ``handle`` returns a future of the response body."""
        self._operations[operation] = handle

    def set_heartbeat_handler(self, handle: Callable[[Envelope, Heartbeat], None]) -> None:
        """Call ``handle`` with each received heartbeat and its envelope."""
        self._handle_heartbeat = handle

    def close(self) -> None:
        """Close all sockets; pending requests fail."""
        if self._closed:
            return
        self._closed = True
        poller = findcmp(self.root, BasePoller)
        if poller is not None:
            poller.discard(self._receive_fd)
        os.close(self._receive_fd)
        self._senders.close()
        self._receiver.close()
        for correlation in list(self._pending_calls):
            self._fail(correlation, "this instance is shutting down")

    def _fail(self, correlation: int, reason: str) -> None:
        call = self._pending_calls.pop(correlation, None)
        if call is not None:
            call.fut.set_result(PeerFailure(reason, sent=True))

    def _send(self, address: str, message: PeerMessage, target_incarnation: str = "") -> bool:
        envelope = Envelope(
            self._instance, self.incarnation, str(self._address), message, target_incarnation
        )
        return self._senders.send(address, encode_envelope(envelope))

    def _receive(self, data: bytes) -> None:
        try:
            envelope = decode_envelope(data)
        except MessageError as exc:
            self._on_dropped(str(exc))
            return
        if not self._record_incarnation(envelope):
            self._on_dropped(f"message of an earlier incarnation of {envelope.sender}")
            return
        message = envelope.message
        if isinstance(message, Heartbeat):
            if self._handle_heartbeat is not None:
                self._handle_heartbeat(envelope, message)
        elif isinstance(message, PeerRequest):
            self._serve_request(envelope, message)
        else:
            self._accept_response(envelope, message)

    def _record_incarnation(self, envelope: Envelope) -> bool:
        """Record the incarnation of a sender; return False if a newer one is known.

        A new process cannot respond to requests that its predecessor received, so
        the pending requests to that peer fail at once.
        """
        known = self._incarnations.get(envelope.sender, ())
        if known and known[-1] == envelope.incarnation:
            return True
        if envelope.incarnation in known:
            return False
        if envelope.sender in self._peer_addresses:
            self._incarnations[envelope.sender] = (*known, envelope.incarnation)[
                -MAX_INCARNATIONS_PER_PEER:
            ]
        if known:
            for correlation, call in list(self._pending_calls.items()):
                if call.peer == envelope.sender:
                    self._fail(correlation, f"{call.peer} was restarted")
        return True

    def _serve_request(self, envelope: Envelope, request: PeerRequest) -> None:
        """Call the handler of a request and send its result or error as the response."""
        handle = self._operations.get(request.operation)
        if handle is None:
            self._on_dropped(
                f"{envelope.sender} requested the unknown operation {request.operation}"
            )
            self._respond(envelope, request, None, f"unknown operation {request.operation}")
            return
        try:
            fut = handle(request.body)
        except Exception as exc:  # noqa: BLE001 - sent to the peer
            self._respond(envelope, request, None, repr(exc))
            return
        fut.add_done_callback(lambda done: self._respond_result(envelope, request, done))

    def _respond_result(self, envelope: Envelope, request: PeerRequest, fut: Future[Any]) -> None:
        try:
            self._respond(envelope, request, fut.result(), "")
        except Exception as exc:  # noqa: BLE001 - of the handler or the encoding; sent to the peer
            self._respond(envelope, request, None, repr(exc))

    def _respond(self, envelope: Envelope, request: PeerRequest, body: Any, error: str) -> None:
        response = PeerResponse(request.correlation, body, error)
        if not self._send(envelope.address, response, envelope.incarnation):
            self._on_dropped(f"the response to {envelope.sender} could not be sent")

    def _accept_response(self, envelope: Envelope, response: PeerResponse) -> None:
        call = self._pending_calls.get(response.correlation)
        if (
            call is None
            or call.peer != envelope.sender
            or envelope.target_incarnation != self.incarnation
        ):
            self._on_dropped(
                f"response {response.correlation} of {envelope.sender} matches no pending request"
            )
            return
        del self._pending_calls[response.correlation]
        if response.error:
            call.fut.set_result(PeerFailure(response.error, sent=True))
        else:
            call.fut.set_result(response.body)
