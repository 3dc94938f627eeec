"""Command that explains what happened to a batch job."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from chivefall.cli._log_files import read_lines
from chivefall.telemetry import read_timeline

__all__ = ["explain"]

EXIT_NOT_FOUND = 1


def explain(
    job: Annotated[str, typer.Argument(help="Id of the job or of one of its runs.")],
    logs: Annotated[
        list[Path] | None,
        typer.Argument(help="Log files or directories with *.log files (default: standard input)."),
    ] = None,
) -> None:
    """Print the events of a batch job and the first one that may have caused a failure."""
    timeline = read_timeline(read_lines(logs or []), job)
    for gap in timeline.find_gaps():
        typer.echo(f"missing: {gap}")
    if not timeline.entries:
        typer.echo(f"no event of {job} was found")
        raise typer.Exit(EXIT_NOT_FOUND)
    origin = timeline.entries[0].at
    for line in timeline.format(origin):
        typer.echo(line)
    cause = timeline.first_cause()
    typer.echo(
        f"first cause: {cause.format(origin).strip()}" if cause else "no event indicates a failure"
    )
