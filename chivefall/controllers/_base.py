"""Base class of all controllers."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING, Any

from chivefall.runtime import AbstractComponent, Clock, Future, spawn
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

__all__ = ["Controller"]


class Controller(AbstractComponent):
    """Owns one kind of state and performs all I/O for it."""

    channel = "control"

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock
        self._stopped = False
        self.tasks_in_progress = 0

    @property
    def is_stopped(self) -> bool:
        """Return whether ``stop`` has been called."""
        return self._stopped

    @abstractmethod
    def start(self) -> None:
        """Start periodic work."""

    def stop(self) -> None:
        """Stop periodic work; called once, in reverse order of the starts."""
        self._stopped = True

    def run_task(self, coro: Coroutine[Future[Any], None, Any]) -> Future[Any]:
        """Run a coroutine and log any exception that it raises."""
        self.tasks_in_progress += 1
        fut = spawn(coro, on_error=self._log_error)
        fut.add_done_callback(self._task_done)
        return fut

    def every(self, interval: float, action: Callable[[float], None]) -> None:
        """Call ``action`` with the current time, now and every ``interval`` seconds until stop."""

        def tick() -> None:
            if self._stopped:
                return
            self.clock.call_later(interval, tick)
            action(self.clock.now())

        tick()

    def _task_done(self, _: Future[Any]) -> None:
        self.tasks_in_progress -= 1

    def _log_error(self, exc: BaseException) -> None:
        log_event(LogEvent.UNHANDLED_ERROR, controller=type(self).__name__, error=repr(exc))
