"""Generates docs/log-events.md from the enumeration of log events."""

from __future__ import annotations

from pathlib import Path

from chivefall.telemetry import LogEvent

__all__ = ["PAGE", "render_catalogue"]

PAGE = Path(__file__).resolve().parent.parent / "docs" / "log-events.md"

HEADER = """# Log events

Each line of the log is a JSON object written by eliot. Its `message_type` is
`chivefall:<number>:<name>`. Numbers are never used again for another meaning.
This page is written by `python -m tools.log_catalogue`.

| Number | Name | Meaning |
|---|---|---|
"""


def render_catalogue() -> str:
    """Return the page with one row for each event, in order of the numbers."""
    events = sorted(LogEvent, key=lambda event: event.number)
    rows = [f"| {event.number} | {event.name.lower()} | {event.meaning} |\n" for event in events]
    return HEADER + "".join(rows)


if __name__ == "__main__":
    PAGE.write_text(render_catalogue(), encoding="utf-8")
