"""The events of one batch job in order, taken from the logs of some instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from chivefall.telemetry._events import LogEvent

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["GAPS", "Timeline", "TimelineEntry", "parse_line", "read_timeline"]

CONTEXT_SECONDS = 1.0  # before a job's first event, in which other events may explain it
_BY_NUMBER = {event.number: event for event in LogEvent}
_CONTEXT = frozenset(
    {
        LogEvent.STORE_UNREACHABLE,
        LogEvent.STORE_REACHABLE,
        LogEvent.LEADERSHIP_GAINED,
        LogEvent.LEADERSHIP_LAPSED,
        LogEvent.LEADERSHIP_LOST,
        LogEvent.DOMAINS_OUT,
        LogEvent.HISTORY_LOST,
        LogEvent.LOG_DROPPED,
        LogEvent.LOG_SUPPRESSED,
        LogEvent.PROCESS_STARTED,
        LogEvent.UNHANDLED_ERROR,
    }
)
_TROUBLE = frozenset(
    {
        LogEvent.RUN_NOT_STARTED,
        LogEvent.RUN_UNCERTAIN,
        LogEvent.RUN_RELEASED,
        LogEvent.RUN_DISPLACED,
        LogEvent.STORE_UNREACHABLE,
        LogEvent.LEADERSHIP_LAPSED,
        LogEvent.BATCH_COMMIT_DELAYED,
        LogEvent.HISTORY_LOST,
        LogEvent.DOMAINS_OUT,
        LogEvent.UNHANDLED_ERROR,
    }
)
GAPS = frozenset({LogEvent.LOG_DROPPED, LogEvent.LOG_SUPPRESSED})
_FIRST_ERROR = 400  # HTTP status
_HIDDEN = frozenset({"timestamp", "message_type", "instance", "job"})


@dataclass(frozen=True)
class TimelineEntry:
    """One event.

    Attributes
    ----------
    at : float
        Seconds since the epoch, on the clock of the instance.
    """

    at: float
    instance: str
    event: LogEvent
    fields: dict[str, Any]

    @property
    def is_trouble(self) -> bool:
        """Return whether the event may be the cause of a failure."""
        if self.event is LogEvent.BATCH_ANSWERED:
            return self.fields.get("status", 0) >= _FIRST_ERROR
        if self.event is LogEvent.RUN_ENDED:
            return self.fields.get("kind") not in ("done", "stopped")
        return self.event in _TROUBLE

    def text(self, origin: float) -> str:
        """Return the line with its time after ``origin``."""
        shown = ", ".join(
            f"{key} {value}"
            for key, value in self.fields.items()
            if key not in _HIDDEN and value != ""
        )
        name = self.event.name.lower()
        return f"{self.at - origin:+9.3f} s  {self.instance:<20} {name}: {shown}"


@dataclass(frozen=True)
class Timeline:
    """All events that concern a job, in order of time."""

    job: str
    lines: tuple[TimelineEntry, ...]

    def first_cause(self) -> TimelineEntry | None:
        """Return the first event that may have caused a failure, or None."""
        return next((line for line in self.lines if line.is_trouble), None)

    def missing(self) -> list[str]:
        """Return what the logs given do not hold."""
        events = {line.event for line in self.lines}
        wanted = {
            LogEvent.BATCH_ANSWERED: "no request for the job; logs of other instances are needed",
            LogEvent.BATCH_JOB_READ: "no leader that read the job; it was refused, or the "
            "leader's log is missing",
        }
        found = [text for event, text in wanted.items() if event not in events]
        if events & GAPS:
            found.append("lines were dropped or suppressed meanwhile")
        return found


def read_timeline(lines: Iterable[str], job: str) -> Timeline:
    """Return the events of a job from log lines of any number of instances.

    A line may have a prefix before its JSON object. Lines that are not events
    are passed over.
    """
    own: list[TimelineEntry] = []
    context: list[TimelineEntry] = []
    for text in lines:
        line = parse_line(text)
        if line is None:
            continue
        if job in text:
            own.append(line)
        elif line.event in _CONTEXT:
            context.append(line)
    if own:
        begin = min(line.at for line in own) - CONTEXT_SECONDS
        end = max(line.at for line in own)
        own += [line for line in context if begin <= line.at <= end]
    return Timeline(job, tuple(sorted(own, key=lambda line: line.at)))


def parse_line(text: str) -> TimelineEntry | None:
    """Return the event in a log line, or None for a line that holds none."""
    try:
        fields = msgspec.json.decode(text[text.index("{") :].strip())
        number = int(fields["message_type"].split(":")[1])
        return TimelineEntry(
            float(fields["timestamp"]), fields.get("instance", ""), _BY_NUMBER[number], fields
        )
    except (ValueError, KeyError, IndexError, TypeError, AttributeError):
        return None
