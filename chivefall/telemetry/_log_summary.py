"""Time series extracted from the logs of one or more instances."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

from chivefall.telemetry._events import LogEvent
from chivefall.telemetry._timeline import GAP_EVENTS, parse_line

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["LogSummary", "Point", "summarize"]

_MIN_ERROR_STATUS = 400  # HTTP status
_RUNNING_STATE = "running"  # job state once its first task has started


class Point(NamedTuple):
    """One sample of a time series.

    Attributes
    ----------
    at : float
        Seconds since the Unix epoch, by the clock of the instance that logged it.
    """

    at: float
    value: float


@dataclass
class LogSummary:
    """Statistics of the log events of one or more instances.

    Attributes
    ----------
    event_count, other_line_count : int
        Number of lines with an event, and of other non-empty lines.
    waits : dict
        Seconds from submission to first start of each job, by queue.
    refusals : dict
        Times of refused requests, by status and reason.
    answered_requests : int
        Number of answered requests, including refused ones.
    catalog_ages : dict
        Age of the desired state at each response, in seconds, by instance.
    runs : list of Point
        Number of runs in progress after each start and end.
    leaderships : list of tuple
        Time and instance of each leadership that was gained.
    gap_counts : Counter
        Number of events that report missing lines, by event.
    begin, end : float
        Times of the first and the last event.
    """

    event_count: int = 0
    other_line_count: int = 0
    instances: set[str] = field(default_factory=set)
    waits: dict[str, list[Point]] = field(default_factory=lambda: defaultdict(list))
    refusals: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    answered_requests: int = 0
    catalog_ages: dict[str, list[Point]] = field(default_factory=lambda: defaultdict(list))
    runs: list[Point] = field(default_factory=list)
    leaderships: list[tuple[float, str]] = field(default_factory=list)
    gap_counts: Counter[LogEvent] = field(default_factory=Counter)
    begin: float = float("inf")
    end: float = float("-inf")

    def find_gaps(self) -> list[str]:
        """Return a message for each kind of data that the logs lack."""
        found = []
        if not self.event_count:
            found.append("no line holds an event of chivefall; pass the logs of instances")
        if self.other_line_count:
            found.append(f"{self.other_line_count} lines hold no event and were skipped")
        for event, count in sorted(self.gap_counts.items(), key=lambda item: item[0].number):
            found.append(f"{count} x {event.name.lower()}: lines are missing at these times")
        if not self.answered_requests:
            found.append(
                "no answered requests; refusals and the age of the desired state are unknown"
            )
        if not self.waits:
            found.append("no started jobs; waiting times need the logs of the leaders")
        if not self.runs:
            found.append("no runs; they need the logs of the leaders")
        return found


def summarize(lines: Iterable[str]) -> LogSummary:
    """Return a summary of log lines, which may be in any order."""
    summary = LogSummary()
    running: set[str] = set()
    changes: list[tuple[float, LogEvent, str]] = []
    for text in lines:
        entry = parse_line(text)
        if entry is None:
            summary.other_line_count += bool(text.strip())
            continue
        summary.event_count += 1
        summary.instances.add(entry.instance)
        summary.begin, summary.end = min(summary.begin, entry.at), max(summary.end, entry.at)
        if entry.event in (LogEvent.RUN_STARTED, LogEvent.RUN_ENDED):
            changes.append((entry.at, entry.event, str(entry.fields.get("run", ""))))
        else:
            _add(summary, entry.event, entry.at, entry.instance, entry.fields)
    for at, event, run in sorted(changes, key=lambda change: change[0]):
        # A new leader may log the end of a run that its predecessor already logged.
        (running.add if event is LogEvent.RUN_STARTED else running.discard)(run)
        summary.runs.append(Point(at, len(running)))
    return summary


def _add(
    summary: LogSummary, event: LogEvent, at: float, instance: str, fields: dict[str, Any]
) -> None:
    if event is LogEvent.BATCH_ANSWERED:
        summary.answered_requests += 1
        summary.catalog_ages[instance].append(Point(at, float(fields.get("catalog_age", 0.0))))
        status = fields.get("status", 0)
        if status >= _MIN_ERROR_STATUS:
            summary.refusals[f"{status} {fields.get('detail', '')}".strip()].append(at)
    elif event is LogEvent.BATCH_JOB_STATE and fields.get("state") == _RUNNING_STATE:
        wait = Point(at, float(fields.get("seconds", 0.0)))
        summary.waits[str(fields.get("queue", ""))].append(wait)
    elif event is LogEvent.LEADERSHIP_GAINED:
        summary.leaderships.append((at, instance))
    elif event in GAP_EVENTS:
        summary.gap_counts[event] += 1
