"""Clocks and timers on the event loop."""

from __future__ import annotations

import heapq
import itertools
import time
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Clock", "LoopClock", "ManualClock", "TimerHandle"]

MAX_TIMER_DELAY_SECONDS = 0.05  # of timers that run before the data that has arrived is read


class TimerHandle:
    """A scheduled call."""

    __slots__ = ("callback", "cancelled", "due")

    def __init__(self, due: float, callback: Callable[[], None]) -> None:
        self.due = due
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel the call; has no effect after it was made."""
        self.cancelled = True


class Clock(ABC):
    """Current time and delayed calls."""

    def __init__(self) -> None:
        self._queue: list[tuple[float, int, TimerHandle]] = []
        self._sequence = itertools.count()
        self.on_error: Callable[[Exception], None] | None = None

    @abstractmethod
    def now(self) -> float:
        """Return seconds since the Unix epoch; never steps back."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> TimerHandle:
        """Call ``callback`` once after ``delay`` seconds."""
        timer = TimerHandle(self.now() + delay, callback)
        heapq.heappush(self._queue, (timer.due, next(self._sequence), timer))
        return timer

    def next_due(self) -> float | None:
        """Return the time at which the earliest pending call is due, or None."""
        while self._queue and self._queue[0][2].cancelled:
            heapq.heappop(self._queue)
        return self._queue[0][0] if self._queue else None

    def run_due(self, now: float) -> int:
        """Make all calls that are due at ``now`` and return their number."""
        count = 0
        while (due := self.next_due()) is not None and due <= now:
            timer = heapq.heappop(self._queue)[2]
            count += 1
            try:
                timer.callback()
            except Exception as exc:
                if self.on_error is None:
                    raise
                self.on_error(exc)
        return count


class _TimerComponent(BaseComponent):
    """Runs the timers of a clock on the circuits event loop.

    The loop runs it before the poller. After a pause of the process, or while it is busy, what
    arrived meanwhile is read first, so that no timeout ends before a response that is there.
    """

    channel = "timers"

    def __init__(self, clock: LoopClock) -> None:
        super().__init__()
        self._clock = clock
        self._has_deferred = False

    @handler("generate_events", channel="*")
    def _on_generate_events(self, event):
        now = self._clock.now()
        due = self._clock.next_due()
        if due is not None and now - due > MAX_TIMER_DELAY_SECONDS and not self._has_deferred:
            self._has_deferred = True
            event.reduce_time_left(0)
            return
        self._has_deferred = False
        if self._clock.run_due(now):
            event.reduce_time_left(0)
        elif (due := self._clock.next_due()) is not None:
            event.reduce_time_left(max(0.0, due - now))


class LoopClock(Clock):
    """A monotonic clock whose timers run on the circuits event loop.

    Unlike ``CLOCK_MONOTONIC``, it includes the time in which the machine was
    suspended, during which leases may have expired and confirmed data has become old.
    """

    def __init__(self) -> None:
        super().__init__()
        self._offset = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)
        self.timer_component = _TimerComponent(self)

    def now(self) -> float:
        """Return seconds since the Unix epoch; never steps back."""
        return self._offset + time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that moves only when ``advance`` is called."""

    def __init__(self, start: float = 1_000_000.0) -> None:
        super().__init__()
        self._now = start

    def now(self) -> float:
        """Return the time to which the clock was last advanced."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the time forward and make each due call at its own time."""
        target = self._now + seconds
        while (due := self.next_due()) is not None and due <= target:
            self._now = max(self._now, due)
            self.run_due(self._now)
        self._now = target
