"""Log events, metrics and the analysis of logs."""

from __future__ import annotations

from chivefall.telemetry._batch_metrics import BatchMetrics
from chivefall.telemetry._events import LogEvent, log_event
from chivefall.telemetry._log_summary import LogSummary, Point, summarize
from chivefall.telemetry._metrics import Metrics
from chivefall.telemetry._output import LineBuffer, LogWriter, RateLimit, open_log
from chivefall.telemetry._timeline import Timeline, TimelineEntry, parse_line, read_timeline

__all__ = [
    "BatchMetrics",
    "LineBuffer",
    "LogEvent",
    "LogSummary",
    "LogWriter",
    "Metrics",
    "Point",
    "RateLimit",
    "Timeline",
    "TimelineEntry",
    "log_event",
    "open_log",
    "parse_line",
    "read_timeline",
    "summarize",
]
