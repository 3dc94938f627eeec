"""Commands on the operators' document."""

from __future__ import annotations

import difflib
import json
from pathlib import Path
from typing import Annotated, Any

import typer

from chivefall.cli._client import InstanceClient, read_json_file
from chivefall.cli._options import InstanceOption, ReasonOption, TeamOption, print_json

__all__ = ["app"]

app = typer.Typer(no_args_is_help=True, help="Show and change the operators' document.")

METADATA = ("revision", "section_revisions", "last_change")

SectionOption = Annotated[
    str, typer.Option("--section", help="Section; the whole document without.")
]


@app.command()
def show(instance: InstanceOption, section: SectionOption = "") -> None:
    """Print the document in force, or one of its sections, as apply takes it."""
    print_json(_content(InstanceClient(instance).require("GET", _path(section)), section))


@app.command()
def diff(file: Path, instance: InstanceOption, section: SectionOption = "") -> None:
    """Print how a file differs from the document in force; status 1 if it does."""
    current = InstanceClient(instance).require("GET", _path(section))
    proposed = read_json_file(file)
    lines = list(
        difflib.unified_diff(
            _lines(_content(current, section)),
            _lines(_content(proposed, "")),
            "in force",
            str(file),
            lineterm="",
        )
    )
    for line in lines:
        typer.echo(line)
    raise typer.Exit(1 if lines else 0)


@app.command()
def apply(
    file: Path,
    instance: InstanceOption,
    team: TeamOption,
    section: SectionOption = "",
    base: Annotated[
        int | None,
        typer.Option(
            "--base", help="Revision that the file was made from; the present one without."
        ),
    ] = None,
    reason: ReasonOption = "",
) -> None:
    """Change the document, or one of its sections, to the content of a file."""
    client = InstanceClient(instance)
    revision = base if base is not None else client.require("GET", "/v1/document")["revision"]
    headers = {"If-Match": str(revision), "X-Chivefall-Team": team, "X-Chivefall-Reason": reason}
    print_json(client.require("PUT", _path(section), read_json_file(file), headers=headers))


@app.command()
def history(
    instance: InstanceOption,
    limit: Annotated[int, typer.Option(help="Number of changes.", min=1)] = 20,
) -> None:
    """Print the audit records of the latest changes."""
    print_json(InstanceClient(instance).require("GET", f"/v1/document/history?limit={limit}"))


def _path(section: str) -> str:
    return f"/v1/document/sections/{section}" if section else "/v1/document"


def _content(reply: Any, section: str) -> Any:
    """Return what a reply says of the sections, without revisions and audit data."""
    if section:
        return reply["content"]
    if isinstance(reply, dict):
        return {key: value for key, value in reply.items() if key not in METADATA}
    return reply


def _lines(value: Any) -> list[str]:
    return json.dumps(value, indent=2, sort_keys=True).splitlines()
