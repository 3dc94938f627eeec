"""Signals that arrive before the event loop runs.

The imports of an instance take half a second, during which the default action of a signal
would end the process. This module imports nothing else, so that it can come first.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import FrameType

__all__ = ["EARLY_SIGNALS", "EarlySignals"]

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


class EarlySignals:
    """Holds signals back until the event loop can carry them out."""

    def __init__(self) -> None:
        self._held: list[int] = []
        self._former_handlers: dict[int, object] = {}

    def begin(self) -> None:
        """Hold all signals back from now on."""
        for signo in HANDLED_SIGNALS:
            self._former_handlers[signo] = signal.signal(signo, self.hold)

    def hold(self, signo: int, _frame: FrameType | None) -> None:
        """Hold a signal back."""
        self._held.append(signo)

    def cancel(self) -> None:
        """Restore the former handlers and let them act on the signals that were held back."""
        for signo, former in self._former_handlers.items():
            signal.signal(signo, former)
        self._former_handlers = {}
        for signo in self._take():
            signal.raise_signal(signo)

    def deliver(self, receive: Callable[[int, FrameType | None], None]) -> None:
        """Pass on the signals that were held back, and all later ones."""
        for signo in HANDLED_SIGNALS:
            signal.signal(signo, receive)
        for signo in self._take():
            receive(signo, None)

    def _take(self) -> list[int]:
        held, self._held = self._held, []
        return held


EARLY_SIGNALS = EarlySignals()  # signals belong to the process, so there is one
