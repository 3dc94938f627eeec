"""Log lines for unexpected errors of event handlers and timers."""

from __future__ import annotations

from circuits import BaseComponent, handler

from chivefall.telemetry import LogEvent, log_event

__all__ = ["ErrorLogger", "log_timer_error"]


class ErrorLogger(BaseComponent):
    """Logs exceptions of event handlers, which circuits drops without a handler of its own."""

    channel = "errors"

    @handler("exception", channel="*")
    def _on_exception(self, kind, value, _traceback, handler=None, fevent=None) -> None:
        name = getattr(fevent, "name", "")
        if name == "exception":
            return  # an error in this handler would otherwise trigger it again without end
        log_event(
            LogEvent.UNHANDLED_ERROR,
            error=f"{kind.__name__}: {value}",
            handler=getattr(handler, "__qualname__", ""),
            event=name,
        )


def log_timer_error(exc: Exception) -> None:
    """Log an exception that a call scheduled on the clock raised."""
    log_event(LogEvent.UNHANDLED_ERROR, controller="timer", error=repr(exc))
