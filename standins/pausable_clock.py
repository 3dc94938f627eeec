"""Clock of a process that a test can pause while the time goes on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.runtime import Clock, ManualClock, TimerHandle

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["PausableClock"]


class PausableClock(Clock):
    """Follows a manual clock; a paused process makes its due calls when it resumes."""

    def __init__(self, base: ManualClock) -> None:
        super().__init__()
        self._base = base
        self.paused = False

    def now(self) -> float:
        """Return the time of the manual clock."""
        return self._base.now()

    def call_later(self, delay: float, callback: Callable[[], None]) -> TimerHandle:
        """Call ``callback`` after ``delay`` seconds, or later if paused then."""
        timer = super().call_later(delay, callback)
        self._base.call_later(delay, self._run)
        return timer

    def pause(self) -> None:
        """Make no calls until the process resumes."""
        self.paused = True

    def resume(self) -> None:
        """Make all calls that are due."""
        self.paused = False
        self._run()

    def _run(self) -> None:
        if not self.paused:
            self.run_due(self.now())
