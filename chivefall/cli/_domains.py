"""Commands that take failure domains out of service and bring them back."""

from __future__ import annotations

import typer

from chivefall.cli._client import InstanceClient
from chivefall.cli._options import InstanceOption, ReasonOption, TeamOption, print_json

__all__ = ["app"]

app = typer.Typer(
    no_args_is_help=True, help="Take failure domains out of service and bring them back."
)


@app.command()
def out(domain: str, instance: InstanceOption, team: TeamOption, reason: ReasonOption = "") -> None:
    """Take a failure domain out of service; its jobs are moved to other domains."""
    _change(domain, "out", instance, team, reason)


@app.command(name="in")
def bring_in(
    domain: str, instance: InstanceOption, team: TeamOption, reason: ReasonOption = ""
) -> None:
    """Bring a failure domain back into service."""
    _change(domain, "in", instance, team, reason)


def _change(domain: str, action: str, instance: str, team: str, reason: str) -> None:
    headers = {"X-Chivefall-Team": team, "X-Chivefall-Reason": reason}
    path = f"/v1/failure-domains/{domain}/{action}"
    print_json(InstanceClient(instance).require("POST", path, headers=headers))
