"""Non-blocking eliot destinations with bounded memory."""

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
MAX_BUFFERED_BYTES = 262_144  # lines not yet accepted by the file descriptor
LINES_PER_SECOND = 200  # per event; a busy leader logs about a tenth of this
_OMITTED_FIELDS = frozenset({"task_uuid", "task_level"})  # eliot fields of nested tasks


class LineBuffer:
    """Bounded buffer of lines until the file descriptor accepts them."""

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0

    def add(self, line: bytes) -> None:
        """Append a line, or count it as dropped if the buffer is full."""
        if self._buffered_bytes + len(line) > self._max_bytes:
            self.dropped += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)

    def write_to(self, descriptor: int) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._lines:
            line = self._lines[0]
            try:
                count = os.write(descriptor, line)
            except BlockingIOError:
                return
            self._buffered_bytes -= count
            if count == len(line):
                self._lines.popleft()
            else:
                self._lines[0] = line[count:]

    @property
    def is_empty(self) -> bool:
        """Return whether all lines were written."""
        return not self._lines


class RateLimit:
    """Limits the lines per second of each event and counts the suppressed ones."""

    def __init__(self, per_second: int = LINES_PER_SECOND) -> None:
        self._per_second = per_second
        self._current_second = 0
        self._counts: dict[str, int] = {}

    def allows(self, event: str, now: float) -> bool:
        """Count a line of an event and return whether it may be written."""
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        return count <= self._per_second

    def take_suppressed(self, now: float) -> dict[str, int]:
        """Return the number of suppressed lines by event, once per second."""
        if int(now) == self._current_second:
            return {}
        self._current_second = int(now)
        counts, self._counts = self._counts, {}
        return {
            event: count - self._per_second
            for event, count in counts.items()
            if count > self._per_second
        }


class LogWriter:
    """Writes messages as JSON lines to a descriptor without ever blocking."""

    def __init__(self, descriptor: int, instance: str) -> None:
        self._descriptor = descriptor
        self._instance = instance
        self._buffer = LineBuffer()
        self._rate_limit = RateLimit()
        self._reported_drops = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message from eliot."""
        now, event = message.get("timestamp", 0.0), message.get("message_type", "")
        for name, count in self._rate_limit.take_suppressed(now).items():
            self._add(_message("1007:log_suppressed", now, event=name, count=count))
        if self._rate_limit.allows(event, now):
            self._add({key: value for key, value in message.items() if key not in _OMITTED_FIELDS})
        self.flush()

    def flush(self) -> None:
        """Write buffered lines as far as the descriptor accepts them."""
        try:
            self._buffer.write_to(self._descriptor)
        except OSError:
            # The reader closed the pipe, so the error cannot be logged.
            return
        new = self._buffer.dropped - self._reported_drops
        if new and self._buffer.is_empty:
            self._reported_drops = self._buffer.dropped
            self._add(_message("1008:log_dropped", 0.0, count=new))

    def _add(self, message: dict[str, Any]) -> None:
        message["instance"] = self._instance
        self._buffer.add(msgspec.json.encode(message, enc_hook=repr) + b"\n")


def _message(kind: str, now: float, **fields: Any) -> dict[str, Any]:
    return {"message_type": f"chivefall:{kind}", "timestamp": now, **fields}


def open_log(target: str, instance: str = "") -> None:
    """Write all log events to ``target``: a file, ``stdout``, or ``-`` for standard error.

    Lines on standard output include the name of the instance.

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
        to_file(Path(target).open("a", encoding="utf-8"))  # noqa: SIM115 - open until exit
    except OSError as exc:
        raise ConfigError(
            f"log file {target} cannot be opened: {exc}", "correct the key log_file"
        ) from exc
