"""Numbered log events and metrics."""

from __future__ import annotations

from chivefall.telemetry._batch_metrics import BatchMetrics
from chivefall.telemetry._events import LogEvent, log_event
from chivefall.telemetry._metrics import Metrics
from chivefall.telemetry._output import LineBuffer, LogWriter, RateLimit, open_log
from chivefall.telemetry._timeline import Timeline, TimelineEntry, read_timeline

__all__ = [
    "BatchMetrics",
    "LineBuffer",
    "LogEvent",
    "LogWriter",
    "Metrics",
    "RateLimit",
    "Timeline",
    "TimelineEntry",
    "log_event",
    "open_log",
    "read_timeline",
]
