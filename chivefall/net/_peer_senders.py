"""Outgoing pynng sockets to other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pynng

if TYPE_CHECKING:
    from collections.abc import Container

__all__ = ["PeerSenders", "limit_nng_threads"]

NNG_POOL_THREADS = 2
SEND_BUFFER_MESSAGES = 64
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000
MAX_SEND_SOCKETS = 256  # messages to further addresses are dropped


def limit_nng_threads() -> None:
    """Limit the size of nng's thread pools, which by default grows with the processors.

    Has an effect only before the process opens its first nng socket.
    """
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
        lib.nng_init_set_parameter(parameter, NNG_POOL_THREADS)


class PeerSenders:
    """One sending socket with a bounded buffer for each address.

    Sends do not block, because a blocking send to an unreachable peer would block
    the event loop.
    """

    def __init__(self) -> None:
        self._sockets: dict[str, pynng.Push0] = {}
        self._closed = False
        self.bytes_sent = 0

    def send(self, address: str, data: bytes) -> bool:
        """Queue a message; return False if it was not queued."""
        try:
            sock = self._sockets.get(address) or self._open(address)
            if sock is None:
                return False
            sock.send(data, block=False)
        except pynng.TryAgain:
            return False
        except pynng.NNGException:
            self._close_socket(address)
            return False
        self.bytes_sent += len(data)
        return True

    def close_all_except(self, addresses: Container[str]) -> None:
        """Close the sockets to all other addresses."""
        for address in [item for item in self._sockets if item not in addresses]:
            self._close_socket(address)

    def close(self) -> None:
        """Close all sockets; later sends fail."""
        self._closed = True
        self.close_all_except(())

    def _open(self, address: str) -> pynng.Push0 | None:
        if self._closed or len(self._sockets) >= MAX_SEND_SOCKETS:
            return None
        sock = self._sockets[address] = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        sock.dial(f"tcp://{address}", block=False)
        return sock

    def _close_socket(self, address: str) -> None:
        sock = self._sockets.pop(address, None)
        if sock is not None:
            sock.close()
