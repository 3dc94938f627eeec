"""Log files and standard input as sources of log lines."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import typer

from chivefall.errors import ConfigError
from chivefall.telemetry import parse_line

__all__ = ["find_log_files", "read_lines"]


def find_log_files(paths: Iterable[Path]) -> list[Path]:
    """Return the files that the arguments of a command name; a directory stands for its ``*.log``.

    Raises
    ------
    ConfigError
        If there is no such file.
    """
    found: list[Path] = []
    for path in paths:
        found += sorted(path.glob("*.log")) if path.is_dir() else [path]
    for path in found:
        if not path.is_file():
            raise ConfigError(
                f"{path} is not a file", "name log files or directories with *.log files"
            )
    if not found:
        raise ConfigError("no log file was found", "name log files or directories with *.log files")
    return found


def read_lines(paths: Iterable[Path]) -> Iterator[str]:
    """Yield the lines of all files, or of standard input without any.

    Prints a message for each source that holds no event of chivefall.

    Raises
    ------
    ConfigError
        If a path names no log file.
    """
    sources = list(paths)
    if not sources:
        yield from _with_check(sys.stdin, "standard input")
        return
    for path in find_log_files(sources):
        with contextlib.closing(path.open(encoding="utf-8", errors="replace")) as file:
            yield from _with_check(file, str(path))


def _with_check(lines: Iterable[str], name: str) -> Iterator[str]:
    has_event = False
    for line in lines:
        has_event = has_event or parse_line(line) is not None
        yield line
    if not has_event:
        typer.echo(f"missing: {name} holds no event of chivefall")
