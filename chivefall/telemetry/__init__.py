"""Numbered log events and metrics."""

from __future__ import annotations

from chivefall.telemetry._events import LogEvent, log_event
from chivefall.telemetry._metrics import Metrics
from chivefall.telemetry._output import open_log

__all__ = ["LogEvent", "Metrics", "log_event", "open_log"]
