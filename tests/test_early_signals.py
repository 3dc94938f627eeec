"""Signals that are held back until the event loop runs."""

from __future__ import annotations

import signal
import unittest

from chivefall.early_signals import HANDLED_SIGNALS, EarlySignals


class EarlySignalsTest(unittest.TestCase):
    def setUp(self) -> None:
        for signo in HANDLED_SIGNALS:
            self.addCleanup(signal.signal, signo, signal.getsignal(signo))
        self.received: list[int] = []
        self.sut = EarlySignals()

    def receive(self, signo: int, _frame: object) -> None:
        self.received.append(signo)

    def test_held_signals_are_delivered_in_order(self) -> None:
        """Guards against a stop that overtakes a reload, and against lost later signals."""
        self.sut.begin()
        signal.raise_signal(signal.SIGHUP)
        signal.raise_signal(signal.SIGTERM)
        self.assertEqual(self.received, [])
        self.sut.deliver(self.receive)
        signal.raise_signal(signal.SIGINT)
        self.assertEqual(self.received, [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])

    def test_signals_are_delivered_once(self) -> None:
        """Guards against an instance that stops again because of a signal it has handled."""
        self.sut.begin()
        signal.raise_signal(signal.SIGTERM)
        self.sut.deliver(self.receive)
        self.sut.deliver(self.receive)
        self.assertEqual(self.received, [signal.SIGTERM])

    def test_cancel_lets_the_former_handlers_act(self) -> None:
        """Guards against a command that cannot be interrupted after its imports."""
        signal.signal(signal.SIGTERM, self.receive)
        self.sut.begin()
        signal.raise_signal(signal.SIGTERM)
        self.assertEqual(self.received, [])
        self.sut.cancel()
        self.assertEqual(self.received, [signal.SIGTERM])
        signal.raise_signal(signal.SIGTERM)
        self.assertEqual(self.received, [signal.SIGTERM] * 2)


if __name__ == "__main__":
    unittest.main()
