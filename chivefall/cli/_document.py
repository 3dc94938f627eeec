"""Commands that show and change the operators' document."""

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

METADATA_KEYS = ("revision", "section_revisions", "last_change")

SectionOption = Annotated[
    str, typer.Option("--section", help="Name of a section (default: the whole document).")
]


@app.command()
def show(instance: InstanceOption, section: SectionOption = "") -> None:
    """Print the current document, or one of its sections, in the format that apply accepts."""
    print_json(_content(InstanceClient(instance).require("GET", _resource_path(section)), section))


@app.command()
def diff(file: Path, instance: InstanceOption, section: SectionOption = "") -> None:
    """Print how a file differs from the current document; exit status 1 if it does."""
    current = InstanceClient(instance).require("GET", _resource_path(section))
    proposed = read_json_file(file)
    lines = list(
        difflib.unified_diff(
            _json_lines(_content(current, section)),
            _json_lines(_content(proposed, "")),
            "current",
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
            "--base", help="Revision on which the file is based (default: the current one)."
        ),
    ] = None,
    reason: ReasonOption = "",
) -> None:
    """Replace the document, or one of its sections, with the content of a file."""
    client = InstanceClient(instance)
    revision = base if base is not None else client.require("GET", "/v1/document")["revision"]
    headers = {"If-Match": str(revision), "X-Chivefall-Team": team, "X-Chivefall-Reason": reason}
    print_json(
        client.require("PUT", _resource_path(section), read_json_file(file), headers=headers)
    )


@app.command()
def history(
    instance: InstanceOption,
    limit: Annotated[int, typer.Option(help="Maximum number of changes.", min=1)] = 20,
) -> None:
    """Print the audit records of the latest changes."""
    print_json(InstanceClient(instance).require("GET", f"/v1/document/history?limit={limit}"))


def _resource_path(section: str) -> str:
    return f"/v1/document/sections/{section}" if section else "/v1/document"


def _content(reply: Any, section: str) -> Any:
    """Return the sections in a response, without revisions and audit data."""
    if section:
        return reply["content"]
    if isinstance(reply, dict):
        return {key: value for key, value in reply.items() if key not in METADATA_KEYS}
    return reply


def _json_lines(value: Any) -> list[str]:
    return json.dumps(value, indent=2, sort_keys=True).splitlines()
