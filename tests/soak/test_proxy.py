"""The link proxy forwards, blocks, delays, resets and blackholes connections."""

from __future__ import annotations

import socket
import unittest

from chivefall.config import Address
from soak._model import LinkState
from soak._proxy import DELAY_SECONDS, LinkProxy
from standins.deployment import HOST, free_ports
from tests.net.loop import Loop


class ProxyTest(unittest.TestCase):
    def setUp(self) -> None:
        listen, target = (Address(HOST, port) for port in free_ports(2))
        self.loop = Loop()
        self.proxy = LinkProxy(listen, target, self.loop.clock).register(self.loop)
        self.server = socket.create_server((HOST, target.port))
        self.addCleanup(self.server.close)
        self.loop.process_events()
        self.proxy.start()
        self.addCleanup(self.proxy.close)
        self.caller, self.upstream = self.connect(listen)

    def connect(self, listen: Address) -> tuple[socket.socket, socket.socket]:
        caller = socket.create_connection((listen.host, listen.port))
        self.loop.process_events()
        upstream, _ = self.server.accept()
        for sock in (caller, upstream):
            sock.setblocking(False)
            self.addCleanup(sock.close)
        return caller, upstream

    def received(self, sock: socket.socket) -> bytes | None:
        self.loop.process_events()
        try:
            return sock.recv(100)
        except BlockingIOError:
            return None

    def test_bytes_pass_both_ways_before_the_close(self) -> None:
        """Guards against a proxy that corrupts or truncates connections."""
        self.caller.sendall(b"request")
        self.assertEqual(self.received(self.upstream), b"request")
        self.upstream.sendall(b"reply")
        self.upstream.close()
        self.assertEqual(self.received(self.caller), b"reply")
        self.assertEqual(self.received(self.caller), b"")

    def test_cut_holds_bytes_until_it_ends(self) -> None:
        """Guards against a cut that drops bytes, which TCP would retransmit."""
        self.proxy.set_state(LinkState.NO_REPLIES)
        self.caller.sendall(b"request")
        self.assertEqual(self.received(self.upstream), b"request")
        self.upstream.sendall(b"reply")
        self.assertIsNone(self.received(self.caller))
        self.proxy.set_state(LinkState.OPEN)
        self.assertEqual(self.received(self.caller), b"reply")

    def test_delay_keeps_the_order(self) -> None:
        """Guards against reordered bytes when a delay ends."""
        self.proxy.set_state(LinkState.DELAYED)
        self.caller.sendall(b"one ")
        self.loop.process_events()
        self.proxy.set_state(LinkState.OPEN)
        self.caller.sendall(b"two")
        self.assertIsNone(self.received(self.upstream))
        self.loop.advance(DELAY_SECONDS)
        self.assertEqual(self.received(self.upstream), b"one two")

    def test_reset_aborts_connections(self) -> None:
        """Guards against a reset that the peer sees as an orderly close."""
        self.proxy.reset()
        self.loop.process_events()
        with self.assertRaises(ConnectionResetError):
            self.caller.recv(100)

    def test_silenced_connection_stays_open_while_new_ones_work(self) -> None:
        """Guards against a silenced connection whose peers can notice a closed socket."""
        self.proxy.silence()
        self.caller.sendall(b"request")
        self.assertIsNone(self.received(self.upstream))
        address = Address(*self.caller.getpeername())
        caller, upstream = self.connect(address)
        caller.sendall(b"again")
        self.assertEqual(self.received(upstream), b"again")


if __name__ == "__main__":
    unittest.main()
