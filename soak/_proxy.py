"""Loopback TCP proxy that delays, blocks, resets and blackholes connections."""

from __future__ import annotations

import itertools
import socket
import struct
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from soak._model import LinkState

if TYPE_CHECKING:
    from chivefall.config import Address
    from chivefall.runtime import Clock

__all__ = ["LinkProxy"]

RECEIVE_SIZE_BYTES = 65536
BACKLOG = 64
DELAY_SECONDS = 0.25  # a fifth of the shortest call timeout in the settings of the testbed
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER value with which close() resets the connection
_channel_numbers = itertools.count()

_REQUESTS_BLOCKED = (LinkState.NO_REQUESTS, LinkState.CUT)
_REPLIES_BLOCKED = (LinkState.NO_REPLIES, LinkState.CUT)


class _Side:
    """One socket of a proxied connection and the bytes to be sent on it."""

    def __init__(self, sock: socket.socket, *, is_caller: bool) -> None:
        self.sock = sock
        self.is_caller = is_caller
        self.outgoing = bytearray()
        self.next_delivery_at = 0.0  # keeps delayed bytes in order
        self.silent = False
        self.eof_received = False
        self.peer: _Side


class LinkProxy(BaseComponent):
    """Forwards the connections of one link between processes.

    While a direction is blocked, its bytes stay in the socket buffers of the kernel;
    they arrive afterwards, as on a network that retransmits them. A silenced
    connection stays open and never transfers another byte; new ones work.
    """

    def __init__(self, listen: Address, target: Address, clock: Clock) -> None:
        super().__init__(channel=f"proxy-{next(_channel_numbers)}")
        self.state = LinkState.OPEN
        self._target = (target.host, target.port)
        self._clock = clock
        self._sides: dict[socket.socket, _Side] = {}
        self._cached_poller: BasePoller | None = None
        self._listener = socket.create_server((listen.host, listen.port), backlog=BACKLOG)
        self._listener.setblocking(False)

    @property
    def _poller(self) -> BasePoller:
        if self._cached_poller is None:
            self._cached_poller = findcmp(self.root, BasePoller)
        return self._cached_poller

    def start(self) -> None:
        """Start to accept connections."""
        self._poller.addReader(self, self._listener)

    def set_state(self, state: LinkState) -> None:
        """Change how bytes are treated from now on."""
        self.state = state
        for side in self._sides.values():
            self._update_reader(side)

    def reset(self) -> None:
        """Reset all connections."""
        for side in list(self._sides.values()):
            self._close(side, reset=True)

    def silence(self) -> None:
        """Blackhole all open connections: they stay open but transfer no more bytes."""
        for side in self._sides.values():
            side.silent = True
            self._update_reader(side)

    def close(self) -> None:
        """Close the listener and all connections."""
        self._poller.discard(self._listener)
        self._listener.close()
        for side in list(self._sides.values()):
            self._close(side)

    def _update_reader(self, side: _Side) -> None:
        blocked = _REQUESTS_BLOCKED if side.is_caller else _REPLIES_BLOCKED
        self._poller.removeReader(side.sock)
        if not side.silent and self.state not in blocked:
            self._poller.addReader(self, side.sock)

    @handler("_read", priority=1)
    def _on_read(self, sock: socket.socket) -> None:
        if sock is self._listener:
            self._accept()
            return
        side = self._sides.get(sock)
        if side is None:
            return
        try:
            data = sock.recv(RECEIVE_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""  # a reset is forwarded as an orderly close
        self._forward(side.peer, data)

    def _accept(self) -> None:
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return  # the caller has closed the connection already
        upstream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sides = (_Side(sock, is_caller=True), _Side(upstream, is_caller=False))
        sides[0].peer, sides[1].peer = sides[1], sides[0]
        for side in sides:
            side.sock.setblocking(False)
            side.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sides[side.sock] = side
        upstream.connect_ex(self._target)
        for side in sides:
            self._update_reader(side)

    def _forward(self, side: _Side, data: bytes) -> None:
        """Send bytes to a side; empty ``data`` closes the connection after all earlier bytes."""
        now = self._clock.now()
        delay = DELAY_SECONDS if self.state is LinkState.DELAYED else 0.0
        side.next_delivery_at = max(side.next_delivery_at, now + delay)
        if side.next_delivery_at <= now:
            self._send(side, data)
        else:
            self._clock.call_later(side.next_delivery_at - now, lambda: self._send(side, data))
        if not data:
            self._poller.removeReader(side.peer.sock)

    def _send(self, side: _Side, data: bytes) -> None:
        if side.sock not in self._sides or side.silent:
            return
        side.eof_received = not data
        side.outgoing += data
        self._poller.addWriter(self, side.sock)

    @handler("_write", priority=1)
    def _on_write(self, sock: socket.socket) -> None:
        side = self._sides.get(sock)
        if side is None:
            return
        try:
            sent = sock.send(side.outgoing)
        except BlockingIOError:
            return
        except OSError:
            self._close(side, reset=True)
            return
        del side.outgoing[:sent]
        if not side.outgoing and side.eof_received:
            self._close(side)
        elif not side.outgoing:
            self._poller.removeWriter(sock)

    @handler("_disconnect", "_error", priority=1)
    def _on_disconnect(self, sock: socket.socket, *_: object) -> None:
        side = self._sides.get(sock)
        if side is not None:
            self._close(side, reset=True)

    def _close(self, side: _Side, *, reset: bool = False) -> None:
        for item in (side, side.peer):
            if self._sides.pop(item.sock, None) is None:
                continue
            self._poller.discard(item.sock)
            if reset:
                item.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            item.sock.close()
