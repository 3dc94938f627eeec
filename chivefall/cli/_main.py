"""Command line of chivefall."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from chivefall.errors import ChivefallError

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False)


@app.callback()
def _root() -> None:
    """Schedule multi-accelerator jobs under client-account guarantees."""


@app.command()
def run(
    settings: Annotated[Path, typer.Option(help="Settings file, JSON with comments.")],
) -> None:
    """Run one instance until SIGTERM or SIGINT."""
    # Imported here so that the other commands start without the daemon's libraries.
    from chivefall.config import load_settings  # noqa: PLC0415
    from chivefall.daemon import Daemon  # noqa: PLC0415
    from chivefall.telemetry import open_log  # noqa: PLC0415

    cfg = load_settings(settings)
    open_log(cfg.log_file)
    Daemon(cfg).run()


def main() -> None:
    """Run the command line; known errors end with a message instead of a traceback."""
    try:
        app()
    except ChivefallError as exc:
        typer.echo(f"chivefall: {exc}", err=True)
        raise SystemExit(EXIT_BAD_SETTINGS) from exc
