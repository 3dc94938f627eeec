"""An event loop on real sockets that a test runs step by step."""

from __future__ import annotations

import socket
import time
from typing import TYPE_CHECKING

from circuits import BaseComponent
from circuits.core.pollers import EPoll

from chivefall.runtime import ManualClock

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.config import Address

TIMEOUT_SECONDS = 10.0  # real time


class Loop(BaseComponent):
    """Runs components on real sockets and a manual clock, without threads."""

    def __init__(self) -> None:
        super().__init__()
        EPoll().register(self)
        self.clock = ManualClock()
        self._running = True

    def run_until(self, condition: Callable[[], bool]) -> None:
        """Process events until ``condition`` holds."""
        limit = time.monotonic() + TIMEOUT_SECONDS
        while not condition():
            if time.monotonic() > limit:
                raise TimeoutError("the condition does not hold within the timeout")
            self.tick(0.01)

    def process_events(self) -> None:
        """Process all pending events."""
        for _ in range(20):
            self.tick(0.001)

    def advance(self, seconds: float) -> None:
        """Advance the clock and process all pending events."""
        self.clock.advance(seconds)
        self.process_events()


class RawCaller:
    """A plain socket that sends and receives bytes on a :class:`Loop`."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self.loop = loop
        self.sock = sock
        self.sock.setblocking(False)
        self.received = bytearray()
        self.closed = False

    @classmethod
    def connect(cls, loop: Loop, address: Address) -> RawCaller:
        """Return a connected caller."""
        return cls(loop, socket.create_connection((address.host, address.port), TIMEOUT_SECONDS))

    def send(self, data: bytes) -> None:
        """Send data until all is sent or the other side closes the connection."""
        view = memoryview(data)
        limit = time.monotonic() + TIMEOUT_SECONDS
        while view and time.monotonic() < limit:
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                self.loop.tick(0.001)
                self.poll()
            except OSError:
                return

    def poll(self) -> None:
        """Read the data received so far."""
        try:
            while not self.closed:
                data = self.sock.recv(65536)
                self.received += data
                self.closed = not data
        except BlockingIOError:
            pass
        except OSError:
            self.closed = True

    def wait_for(self, condition: Callable[[bytes], bool]) -> bytes:
        """Process events until the received data satisfies ``condition``; return the data."""

        def check() -> bool:
            self.poll()
            return condition(bytes(self.received))

        self.loop.run_until(check)
        return bytes(self.received)

    def wait_closed(self) -> bytes:
        """Process events until the other side closes the connection; return the data."""
        return self.wait_for(lambda _: self.closed)
