"""Destination of the eliot log: bounded, and never blocking."""

from __future__ import annotations

import os
import sys
from collections import deque
from pathlib import Path
from typing import Any

import msgspec
from eliot import add_destinations, to_file

from chivefall.errors import ConfigError

__all__ = ["LineBuffer", "LogWriter", "RateLimit", "open_log"]

STANDARD_ERROR = "-"
STANDARD_OUTPUT = "stdout"
MAX_BUFFERED_BYTES = 262_144  # of lines that nobody reads yet
LINES_PER_SECOND = 200  # of one event; about ten times a busy second of a leader
_OMITTED = frozenset({"task_uuid", "task_level"})  # eliot's; events here have no nested tasks


class LineBuffer:
    """Lines that wait until the file descriptor takes them."""

    def __init__(self, limit: int = MAX_BUFFERED_BYTES) -> None:
        self._limit = limit
        self._lines: deque[bytes] = deque()
        self._size = 0
        self.dropped = 0

    def add(self, line: bytes) -> None:
        """Append a line, or count it as dropped if the buffer is full."""
        if self._size + len(line) > self._limit:
            self.dropped += 1
            return
        self._lines.append(line)
        self._size += len(line)

    def write_to(self, descriptor: int) -> None:
        """Write as much as the descriptor takes at once."""
        while self._lines:
            line = self._lines[0]
            try:
                count = os.write(descriptor, line)
            except BlockingIOError:
                return
            self._size -= count
            if count == len(line):
                self._lines.popleft()
            else:
                self._lines[0] = line[count:]

    @property
    def is_empty(self) -> bool:
        """Return whether every line was written."""
        return not self._lines


class RateLimit:
    """Lets a number of lines of each event pass in each second and counts the others."""

    def __init__(self, per_second: int = LINES_PER_SECOND) -> None:
        self._per_second = per_second
        self._second = 0
        self._counts: dict[str, int] = {}

    def passes(self, event: str, now: float) -> bool:
        """Return whether a line at the time ``now`` is written."""
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        return count <= self._per_second

    def take_suppressed(self, now: float) -> dict[str, int]:
        """Return the lines left out by event once a second has ended."""
        if int(now) == self._second:
            return {}
        self._second = int(now)
        counts, self._counts = self._counts, {}
        return {
            event: count - self._per_second
            for event, count in counts.items()
            if count > self._per_second
        }


class LogWriter:
    """Writes messages as JSON lines to a descriptor that may not be read."""

    def __init__(self, descriptor: int, instance: str) -> None:
        self._descriptor = descriptor
        self._instance = instance
        self._buffer = LineBuffer()
        self._limit = RateLimit()
        self._reported_drops = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Take a message of eliot."""
        now, event = message.get("timestamp", 0.0), message.get("message_type", "")
        for name, count in self._limit.take_suppressed(now).items():
            self._add(_note("1007:log_suppressed", now, event=name, count=count))
        if self._limit.passes(event, now):
            self._add({key: value for key, value in message.items() if key not in _OMITTED})
        self.flush()

    def flush(self) -> None:
        """Write what is buffered as far as it is taken."""
        try:
            self._buffer.write_to(self._descriptor)
        except OSError:
            # The reader is gone; there is nowhere left to report that.
            return
        new = self._buffer.dropped - self._reported_drops
        if new and self._buffer.is_empty:
            self._reported_drops = self._buffer.dropped
            self._add(_note("1008:log_dropped", 0.0, count=new))

    def _add(self, message: dict[str, Any]) -> None:
        message["instance"] = self._instance
        self._buffer.add(msgspec.json.encode(message, enc_hook=repr) + b"\n")


def _note(kind: str, now: float, **fields: Any) -> dict[str, Any]:
    return {"message_type": f"chivefall:{kind}", "timestamp": now, **fields}


def open_log(target: str, instance: str = "") -> None:
    """Write all log events to a file, ``stdout``, or to standard error for ``-``.

    Lines on standard output carry the name of the instance.

    Raises
    ------
    ConfigError
        If the file cannot be opened.
    """
    if target == STANDARD_OUTPUT:
        add_destinations(LogWriter(sys.stdout.fileno(), instance))
        return
    if target == STANDARD_ERROR:
        to_file(sys.stderr)
        return
    try:
        to_file(Path(target).open("a", encoding="utf-8"))  # noqa: SIM115 - open until the end
    except OSError as exc:
        raise ConfigError(
            f"log file {target} cannot be opened: {exc}", "correct the key log_file"
        ) from exc
