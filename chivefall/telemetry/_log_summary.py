"""Time series taken from the logs of some instances."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

from chivefall.telemetry._events import LogEvent
from chivefall.telemetry._timeline import GAPS, parse_line

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["LogSummary", "Point", "summarize"]

_FIRST_ERROR = 400  # HTTP status
_STARTED = "running"  # state of a job whose first task runs


class Point(NamedTuple):
    """One value at a time.

    Attributes
    ----------
    at : float
        Seconds since the epoch, on the clock of the instance that logged it.
    """

    at: float
    value: float


@dataclass
class LogSummary:
    """What the lines of any number of instances say about a span of time.

    Attributes
    ----------
    lines, unreadable : int
        Lines that hold an event, and others.
    waits : dict
        Seconds from the submission to the first start of each job, by queue.
    refusals : dict
        Times of refused requests by reason.
    answered : int
        Requests that were answered at all.
    evidence_ages : dict
        Age of the desired state at each answer, in seconds, by instance.
    runs : list of Point
        Runs in progress after each start and end.
    leaderships : list of tuple
        Time and instance of each leadership that was gained.
    gaps : Counter
        Events that tell of lines that are missing.
    """

    lines: int = 0
    unreadable: int = 0
    instances: set[str] = field(default_factory=set)
    waits: dict[str, list[Point]] = field(default_factory=lambda: defaultdict(list))
    refusals: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    answered: int = 0
    evidence_ages: dict[str, list[Point]] = field(default_factory=lambda: defaultdict(list))
    runs: list[Point] = field(default_factory=list)
    leaderships: list[tuple[float, str]] = field(default_factory=list)
    gaps: Counter[LogEvent] = field(default_factory=Counter)
    begin: float = float("inf")
    end: float = float("-inf")

    def missing(self) -> list[str]:
        """Return what the logs given do not hold."""
        found = []
        if not self.lines:
            found.append("no line holds an event of chivefall")
        if self.unreadable:
            found.append(f"{self.unreadable} lines hold no event and were passed over")
        for event, count in sorted(self.gaps.items(), key=lambda item: item[0].number):
            found.append(f"{count} times {event.name.lower()}: lines were left out there")
        if not self.answered:
            found.append("no answers to requests, so that refusals and evidence are not known")
        if not self.waits:
            found.append("no started jobs; the logs of the leaders are needed for waiting times")
        if not self.runs:
            found.append("no runs; the logs of the leaders are needed for them")
        return found


def summarize(lines: Iterable[str]) -> LogSummary:
    """Return the series in the lines, which may be in any order."""
    summary = LogSummary()
    running: set[str] = set()
    changes: list[tuple[float, LogEvent, str]] = []
    for text in lines:
        line = parse_line(text)
        if line is None:
            summary.unreadable += bool(text.strip())
            continue
        summary.lines += 1
        summary.instances.add(line.instance)
        summary.begin, summary.end = min(summary.begin, line.at), max(summary.end, line.at)
        if line.event in (LogEvent.RUN_STARTED, LogEvent.RUN_ENDED):
            changes.append((line.at, line.event, str(line.fields.get("run", ""))))
        else:
            _add(summary, line.event, line.at, line.instance, line.fields)
    for at, event, run in sorted(changes, key=lambda change: change[0]):
        # Later leaders log the ends again that their predecessors noted.
        (running.add if event is LogEvent.RUN_STARTED else running.discard)(run)
        summary.runs.append(Point(at, len(running)))
    return summary


def _add(
    summary: LogSummary, event: LogEvent, at: float, instance: str, fields: dict[str, Any]
) -> None:
    if event is LogEvent.BATCH_ANSWERED:
        summary.answered += 1
        summary.evidence_ages[instance].append(Point(at, float(fields.get("catalog_age", 0.0))))
        status = fields.get("status", 0)
        if status >= _FIRST_ERROR:
            summary.refusals[f"{status} {fields.get('detail', '')}".strip()].append(at)
    elif event is LogEvent.BATCH_JOB_STATE and fields.get("state") == _STARTED:
        wait = Point(at, float(fields.get("seconds", 0.0)))
        summary.waits[str(fields.get("queue", ""))].append(wait)
    elif event is LogEvent.LEADERSHIP_GAINED:
        summary.leaderships.append((at, instance))
    elif event in GAPS:
        summary.gaps[event] += 1
