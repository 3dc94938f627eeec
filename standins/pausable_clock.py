"""Clock of a simulated process that a test can pause while time advances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.runtime import Clock, ManualClock, TimerHandle

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["PausableClock"]


class PausableClock(Clock):
    """Follows a manual clock; callbacks that become due during a pause run on resume."""

    def __init__(self, base: ManualClock) -> None:
        super().__init__()
        self._base = base
        self.paused = False

    def now(self) -> float:
        """Return the time of the manual clock."""
        return self._base.now()

    def call_later(self, delay: float, callback: Callable[[], None]) -> TimerHandle:
        """Call ``callback`` after ``delay`` seconds, or on resume if paused then."""
        timer = super().call_later(delay, callback)
        self._base.call_later(delay, self._run)
        return timer

    def pause(self) -> None:
        """Hold back all callbacks until resume."""
        self.paused = True

    def resume(self) -> None:
        """Run all callbacks that are due."""
        self.paused = False
        self._run()

    def _run(self) -> None:
        if not self.paused:
            self.run_due(self.now())
