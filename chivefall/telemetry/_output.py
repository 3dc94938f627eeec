"""Destination of the eliot log."""

from __future__ import annotations

import sys
from pathlib import Path

from eliot import to_file

from chivefall.errors import ConfigError

__all__ = ["open_log"]

STANDARD_ERROR = "-"


def open_log(target: str) -> None:
    """Write all log events to a file, or to standard error for ``-``.

    Raises
    ------
    ConfigError
        If the file cannot be opened.
    """
    if target == STANDARD_ERROR:
        to_file(sys.stderr)
        return
    try:
        to_file(Path(target).open("a", encoding="utf-8"))  # noqa: SIM115 - open until the end
    except OSError as exc:
        raise ConfigError(
            f"log file {target} cannot be opened: {exc}", "correct the key log_file"
        ) from exc
