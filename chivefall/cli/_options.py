"""Options shared by several commands."""

from __future__ import annotations

import json
from typing import Annotated, Any

import typer

__all__ = ["AccountOption", "InstanceOption", "ReasonOption", "TeamOption", "print_json"]

InstanceOption = Annotated[
    str,
    typer.Option(
        "--instance",
        envvar="CHIVEFALL_INSTANCE",
        help="Address (host:port) of any instance of the region.",
    ),
]
TeamOption = Annotated[
    str, typer.Option("--team", envvar="CHIVEFALL_TEAM", help="Team that makes the change.")
]
AccountOption = Annotated[
    str,
    typer.Option(
        "--account", envvar="CHIVEFALL_ACCOUNT", help="Client account to charge for the job."
    ),
]
ReasonOption = Annotated[str, typer.Option("--reason", help="Reason to store in the audit record.")]


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    typer.echo(json.dumps(value, indent=2, sort_keys=True))
