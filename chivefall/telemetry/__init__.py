"""Numbered log events and metrics."""

from __future__ import annotations

from chivefall.telemetry._batch_metrics import BatchMetrics
from chivefall.telemetry._events import LogEvent, log_event
from chivefall.telemetry._metrics import Metrics
from chivefall.telemetry._output import LineBuffer, LogWriter, RateLimit, open_log
from chivefall.telemetry._story import Story, StoryLine, read_story

__all__ = [
    "BatchMetrics",
    "LineBuffer",
    "LogEvent",
    "LogWriter",
    "Metrics",
    "RateLimit",
    "Story",
    "StoryLine",
    "log_event",
    "open_log",
    "read_story",
]
