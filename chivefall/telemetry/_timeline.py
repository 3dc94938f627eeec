"""Timeline of one batch job, extracted from the logs of one or more instances."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from chivefall.telemetry._events import LogEvent

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

__all__ = ["GAP_EVENTS", "Timeline", "TimelineEntry", "parse_line", "read_timeline"]

CONTEXT_SECONDS = 1.0  # context events are included from this long before the job's first event
_BY_NUMBER = {event.number: event for event in LogEvent}
_CONTEXT_EVENTS = frozenset(
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
_FAILURE_EVENTS = frozenset(
    {
        LogEvent.RUN_NOT_STARTED,
        LogEvent.RUN_UNCERTAIN,
        LogEvent.RUN_RELEASED,
        LogEvent.RUN_DISPLACED,
        LogEvent.RUN_CARRIED_OVER,
        LogEvent.RUN_NOT_STOPPED,
        LogEvent.RETRY_DELAYED,
        LogEvent.END_NOT_APPLIED,
        LogEvent.STORE_UNREACHABLE,
        LogEvent.LEADERSHIP_LAPSED,
        LogEvent.BATCH_COMMIT_DELAYED,
        LogEvent.HISTORY_LOST,
        LogEvent.DOMAINS_OUT,
        LogEvent.UNHANDLED_ERROR,
    }
)
_RUN_EVENTS = frozenset(
    {
        LogEvent.RUN_STARTED,
        LogEvent.RUN_ENDED,
        LogEvent.RUN_STOPPED,
        LogEvent.RUN_RELEASED,
        LogEvent.RUN_DISPLACED,
        LogEvent.RUN_CARRIED_OVER,
        LogEvent.RUN_NOT_STOPPED,
        LogEvent.RETRY_DELAYED,
        LogEvent.RUN_NOT_STARTED,
        LogEvent.RUN_UNCERTAIN,
        LogEvent.END_NOT_APPLIED,
    }
)
# Fields that differ between the runs of a job that take part in the same change.
_RUN_FIELDS = frozenset(
    {
        "run",
        "worker",
        "incarnation",
        "sequence",
        "acknowledged",
        "timestamp",
        "seconds",
        "report_age",
        "progress",
        "member",
    }
)
GAP_EVENTS = frozenset({LogEvent.LOG_DROPPED, LogEvent.LOG_SUPPRESSED})
_MIN_ERROR_STATUS = 400  # HTTP status
_HIDDEN_FIELDS = frozenset({"timestamp", "message_type", "instance", "job"})


@dataclass(frozen=True)
class TimelineEntry:
    """One log event.

    Attributes
    ----------
    at : float
        Seconds since the Unix epoch, by the clock of the instance.
    """

    at: float
    instance: str
    event: LogEvent
    fields: dict[str, Any]

    @property
    def indicates_failure(self) -> bool:
        """Return whether the event may be the cause of a failure."""
        if self.event is LogEvent.BATCH_ANSWERED:
            return self.fields.get("status", 0) >= _MIN_ERROR_STATUS
        if self.event is LogEvent.RUN_ENDED:
            return self.fields.get("kind") not in ("done", "stopped")
        return self.event in _FAILURE_EVENTS

    def fold_key(self) -> tuple:
        """Return a key that is equal for events which differ only in their runs."""
        if self.event not in _RUN_EVENTS:
            return (id(self),)
        fields = {key: str(value) for key, value in self.fields.items() if key not in _RUN_FIELDS}
        return (self.event, self.instance, tuple(sorted(fields.items())))

    def format(self, origin: float) -> str:
        """Return the event as a line of text with its time relative to ``origin``."""
        shown = ", ".join(
            f"{key} {value}"
            for key, value in self.fields.items()
            if key not in _HIDDEN_FIELDS and value != ""
        )
        name = self.event.name.lower()
        return f"{self.at - origin:+9.3f} s  {self.instance:<20} {name}: {shown}"


@dataclass(frozen=True)
class Timeline:
    """Events that concern a job, ordered by time."""

    job: str
    entries: tuple[TimelineEntry, ...]

    def first_cause(self) -> TimelineEntry | None:
        """Return the first event that may have caused a failure, or None."""
        return next((entry for entry in self.entries if entry.indicates_failure), None)

    def format(self, origin: float) -> Iterator[str]:
        """Yield a line for each event; equal events of several runs share one.

        Events that differ only in the run, its worker or its times are shown as one line with
        their number, at the time of the first, up to the next event of another kind.
        """
        for _, group in itertools.groupby(self.entries, key=TimelineEntry.fold_key):
            entries = list(group)
            line = entries[0].format(origin)
            if len(entries) > 1:
                line += f" (and {len(entries) - 1} more until {entries[-1].at - origin:+.3f} s)"
            yield line

    def find_gaps(self) -> list[str]:
        """Return a message for each kind of event that the logs lack."""
        events = {entry.event for entry in self.entries}
        wanted = {
            LogEvent.BATCH_ANSWERED: "no request for the job; pass the logs of the other instances",
            LogEvent.BATCH_JOB_READ: "no leader read the job; it was refused, or the "
            "leader's log is missing",
        }
        found = [text for event, text in wanted.items() if event not in events]
        if events & GAP_EVENTS:
            found.append("log lines were dropped or suppressed meanwhile")
        return found


def read_timeline(lines: Iterable[str], job: str) -> Timeline:
    """Return the events of a job from the log lines of any number of instances.

    Events that name no job but may explain it, such as a change of leadership,
    are included. A line may have a prefix before its JSON object; lines without an
    event are skipped.
    """
    own: list[TimelineEntry] = []
    context: list[TimelineEntry] = []
    for text in lines:
        entry = parse_line(text)
        if entry is None:
            continue
        if job in text:
            own.append(entry)
        elif entry.event in _CONTEXT_EVENTS:
            context.append(entry)
    if own:
        begin = min(entry.at for entry in own) - CONTEXT_SECONDS
        end = max(entry.at for entry in own)
        own += [entry for entry in context if begin <= entry.at <= end]
    return Timeline(job, tuple(sorted(own, key=lambda entry: entry.at)))


def parse_line(text: str) -> TimelineEntry | None:
    """Return the event in a log line, or None for a line that holds none."""
    try:
        fields = msgspec.json.decode(text[text.index("{") :].strip())
        number = int(fields["message_type"].split(":")[1])
        return TimelineEntry(
            float(fields["timestamp"]), fields.get("instance", ""), _BY_NUMBER[number], fields
        )
    except (ValueError, KeyError, IndexError, TypeError, AttributeError, RecursionError):
        return None
