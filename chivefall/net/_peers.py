"""Message transport between entry instances, on pynng."""

from __future__ import annotations

import itertools
import os
import secrets
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

import pynng
from circuits import handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from chivefall.errors import MessageError
from chivefall.net._messages import (
    CallerRequest,
    CallerResponse,
    Envelope,
    Heartbeat,
    PeerMessage,
    decode_envelope,
    encode_envelope,
)
from chivefall.runtime import AbstractComponent, Clock, Future

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.config import Address
    from chivefall.model import InstanceId

__all__ = ["NngPeers", "PeerFailure", "Peers"]

POOL_THREADS = 2
SEND_BUFFER_MESSAGES = 64
RECEIVE_BUFFER_MESSAGES = 256
MAX_MESSAGES_A_TURN = 64
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000


class PeerFailure:
    """The request to a peer ended without an answer.

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
    """Sends messages to other instances and hands received ones on."""

    @abstractmethod
    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to every known peer; lost messages are not repeated."""

    @abstractmethod
    def call(
        self, peer: InstanceId, operation: str, body: Any, timeout: float
    ) -> Future[Any | PeerFailure]:
        """Ask a peer and return a future of the answer's body."""

    @abstractmethod
    def set_peers(self, addresses: dict[InstanceId, Address]) -> None:
        """Replace the set of peers."""

    @abstractmethod
    def on_heartbeat(self, handle: Callable[[Envelope, Heartbeat], None]) -> None:
        """Hand received heartbeats to ``handle``."""

    @abstractmethod
    def serve(self, operation: str, handle: Callable[[Any], Future[Any]]) -> None:
        """Answer an operation of peers with ``handle``."""


def _bound_library_threads() -> None:
    """Limit nng's thread pools; its default grows with the processors."""
    lib = pynng.lib
    for parameter in (
        lib.NNG_INIT_NUM_TASK_THREADS,
        lib.NNG_INIT_MAX_TASK_THREADS,
        lib.NNG_INIT_NUM_EXPIRE_THREADS,
        lib.NNG_INIT_MAX_EXPIRE_THREADS,
        lib.NNG_INIT_NUM_POLLER_THREADS,
        lib.NNG_INIT_MAX_POLLER_THREADS,
        lib.NNG_INIT_NUM_RESOLVER_THREADS,
    ):
        lib.nng_init_set_parameter(parameter, POOL_THREADS)


class NngPeers(AbstractComponent, Peers):
    """Peers over one receiving socket and one sending socket for each peer.

    All sends and receives are non-blocking: a blocking send to a peer that is
    gone would stop the loop.
    """

    def __init__(
        self,
        instance: InstanceId,
        address: Address,
        clock: Clock,
        on_dropped: Callable[[str], None],
    ) -> None:
        super().__init__(channel="peers")
        _bound_library_threads()
        self._instance = instance
        self._address = address
        self._clock = clock
        self._handle_heartbeat: Callable[[Envelope, Heartbeat], None] | None = None
        self._on_dropped = on_dropped
        self.incarnation = secrets.token_hex(8)
        self._correlations = itertools.count(1)
        self._open_calls: dict[int, Future[Any | PeerFailure]] = {}
        self._operations: dict[str, Callable[[Any], Future[Any]]] = {}
        self._senders: dict[str, pynng.Push0] = {}
        self._peer_addresses: dict[InstanceId, Address] = {}
        self._receiver = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER_MESSAGES)
        self._receiver.listen(f"tcp://{address}")
        self._receive_fd = os.dup(self._receiver.recv_fd)
        self.bytes_sent = 0
        self.bytes_received = 0

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        findcmp(self.root, BasePoller).addReader(self, self._receive_fd)

    @handler("_read", priority=1)
    def _on_read(self, *_: object) -> None:
        for _ in range(MAX_MESSAGES_A_TURN):
            try:
                data = self._receiver.recv(block=False)
            except pynng.TryAgain:
                return
            self.bytes_received += len(data)
            self._receive(data)

    def set_peers(self, addresses: dict[InstanceId, Address]) -> None:
        """Replace the set of peers; sockets of removed ones are closed."""
        self._peer_addresses = {
            name: address for name, address in addresses.items() if name != self._instance
        }
        wanted = {str(address) for address in self._peer_addresses.values()}
        for address in list(self._senders):
            if address not in wanted:
                self._senders.pop(address).close()

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to every known peer; lost messages are not repeated."""
        for address in self._peer_addresses.values():
            self._send(str(address), message)

    def call(
        self, peer: InstanceId, operation: str, body: Any, timeout: float
    ) -> Future[Any | PeerFailure]:
        """Ask a peer and return a future of the answer's body or a failure."""
        fut: Future[Any | PeerFailure] = Future()
        address = self._peer_addresses.get(peer)
        if address is None:
            fut.set_result(PeerFailure(f"{peer} is not a known peer", sent=False))
            return fut
        correlation = next(self._correlations)
        if not self._send(str(address), CallerRequest(correlation, operation, body)):
            fut.set_result(PeerFailure(f"{peer} is not connected", sent=False))
            return fut
        self._open_calls[correlation] = fut
        timer = self._clock.call_later(
            timeout, lambda: self._expire(correlation, f"{peer} did not answer in {timeout} s")
        )
        fut.add_done_callback(lambda _: timer.cancel())
        return fut

    def serve(self, operation: str, handle: Callable[[Any], Future[Any]]) -> None:
        """Answer an operation of peers with ``handle``."""
        self._operations[operation] = handle

    def on_heartbeat(self, handle: Callable[[Envelope, Heartbeat], None]) -> None:
        """Hand received heartbeats to ``handle``."""
        self._handle_heartbeat = handle

    def close(self) -> None:
        """Close all sockets."""
        poller = findcmp(self.root, BasePoller)
        if poller is not None:
            poller.discard(self._receive_fd)
        os.close(self._receive_fd)
        for sender in self._senders.values():
            sender.close()
        self._senders.clear()
        self._receiver.close()

    def _expire(self, correlation: int, reason: str) -> None:
        fut = self._open_calls.pop(correlation, None)
        if fut is not None:
            fut.set_result(PeerFailure(reason, sent=True))

    def _send(self, address: str, message: PeerMessage, target: str = "") -> bool:
        sender = self._senders.get(address)
        if sender is None:
            sender = self._senders[address] = pynng.Push0(
                send_buffer_size=SEND_BUFFER_MESSAGES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            sender.dial(f"tcp://{address}", block=False)
        data = encode_envelope(
            Envelope(self._instance, self.incarnation, str(self._address), message, target)
        )
        try:
            sender.send(data, block=False)
        except pynng.TryAgain:
            return False
        self.bytes_sent += len(data)
        return True

    def _receive(self, data: bytes) -> None:
        try:
            envelope = decode_envelope(data)
        except MessageError as exc:
            self._on_dropped(str(exc))
            return
        message = envelope.message
        if isinstance(message, Heartbeat):
            if self._handle_heartbeat is not None:
                self._handle_heartbeat(envelope, message)
        elif isinstance(message, CallerRequest):
            self._answer(envelope, message)
        else:
            self._accept_response(envelope, message)

    def _answer(self, envelope: Envelope, request: CallerRequest) -> None:
        handle = self._operations.get(request.operation)
        if handle is None:
            self._on_dropped(f"{envelope.sender} asked for unknown {request.operation}")
            return
        handle(request.body).add_done_callback(
            lambda fut: self._send(
                envelope.address,
                CallerResponse(request.correlation, fut.result()),
                envelope.incarnation,
            )
        )

    def _accept_response(self, envelope: Envelope, response: CallerResponse) -> None:
        fut = None
        if envelope.target_incarnation == self.incarnation:
            fut = self._open_calls.pop(response.correlation, None)
        if fut is None:
            self._on_dropped(
                f"response {response.correlation} of {envelope.sender} matches no open request"
            )
            return
        fut.set_result(response.body)
