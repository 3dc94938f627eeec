"""Root of the command-line interface."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from chivefall import __version__
from chivefall.cli import _document, _domains, _explain, _jobs, _report
from chivefall.config import load_settings
from chivefall.early_signals import EARLY_SIGNALS
from chivefall.errors import ChivefallError

__all__ = ["app", "main"]

EXIT_FAILURE = 2
RUN_COMMAND = "run"

SettingsOption = Annotated[Path, typer.Option(help="Settings file, JSON with comments.")]

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False)
app.add_typer(_document.app, name="document")
app.add_typer(_domains.app, name="domain")
app.add_typer(_jobs.app, name="job")

app.command(name="explain")(_explain.explain)
app.command(name="report")(_report.report)


@app.callback()
def _root(ctx: typer.Context) -> None:
    """Schedule multi-accelerator jobs under client-account guarantees."""
    if ctx.invoked_subcommand != RUN_COMMAND:
        EARLY_SIGNALS.cancel()  # Only instances handle signals.


@app.command(name=RUN_COMMAND)
def run(settings: SettingsOption) -> None:
    """Run one instance until SIGTERM or SIGINT."""
    # Imported here, so that each command loads only the libraries that it needs.
    from chivefall.telemetry import open_log  # noqa: PLC0415

    cfg = load_settings(settings)
    open_log(cfg.log_file, cfg.instance)
    if cfg.batch is not None:
        from chivefall.batch_daemon import BatchDaemon  # noqa: PLC0415

        BatchDaemon(cfg, settings).run()
        return
    from chivefall.daemon import Daemon  # noqa: PLC0415

    Daemon(cfg).run()


@app.command()
def check(settings: SettingsOption) -> None:
    """Check a settings file and print the effective values."""
    typer.echo(load_settings(settings))


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


def main() -> None:
    """Run the command-line interface; print expected errors without a traceback."""
    try:
        app()
    except ChivefallError as exc:
        typer.echo(f"chivefall: {exc}", err=True)
        raise SystemExit(EXIT_FAILURE) from exc
