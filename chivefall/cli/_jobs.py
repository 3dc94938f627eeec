"""Commands that submit, query and cancel jobs."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import typer

from chivefall.cli._client import InstanceClient, read_json_file
from chivefall.cli._options import AccountOption, InstanceOption, print_json
from chivefall.model import Adjacency, Urgency

__all__ = ["app"]

app = typer.Typer(no_args_is_help=True, help="Submit, query and cancel jobs.")


@app.command()
def submit(
    command: str,
    instance: InstanceOption,
    account: AccountOption,
    gang_size: Annotated[int, typer.Option(min=1, help="Number of members that run together.")] = 1,
    accelerators: Annotated[int, typer.Option(min=0, help="Accelerators per member.")] = 1,
    adjacency: Annotated[
        Adjacency, typer.Option(help="Topology level within which the whole gang is placed.")
    ] = (Adjacency.RACK),
    run_time: Annotated[float, typer.Option(min=0, help="Expected run time in seconds.")] = 60.0,
    urgent: Annotated[bool, typer.Option(help="Start before jobs of normal urgency.")] = False,
    once: Annotated[bool, typer.Option(help="Run at most once.")] = False,
    payload: Annotated[Path | None, typer.Option(help="Payload file, JSON with comments.")] = None,
    key: Annotated[str, typer.Option(help="Idempotency key.")] = "",
    wait: Annotated[float, typer.Option(min=0, help="Seconds to wait for the job to end.")] = 0.0,
) -> None:
    """Submit a job and print its outcome."""
    job: dict[str, Any] = {
        "command": command,
        "gang_size": gang_size,
        "accelerators": accelerators,
        "adjacency": adjacency.value,
        "run_time": run_time,
        "urgency": (Urgency.URGENT if urgent else Urgency.NORMAL).value,
        "idempotent": not once,
        "payload": read_json_file(payload) if payload else None,
    }
    headers = {"X-Chivefall-Account": account}
    if key:
        headers["Idempotency-Key"] = key
    path = "/v1/jobs"
    if wait:
        path += "?wait=1"
        headers["X-Chivefall-Timeout"] = str(wait)
    client = InstanceClient(instance)
    print_json(client.require("POST", path, job, headers=headers, timeout=wait or 30.0))


@app.command()
def status(job_id: str, instance: InstanceOption) -> None:
    """Print the record of a job."""
    print_json(InstanceClient(instance).require("GET", f"/v1/jobs/{job_id}"))


@app.command()
def cancel(job_id: str, instance: InstanceOption) -> None:
    """Cancel a job and print its record."""
    print_json(InstanceClient(instance).require("DELETE", f"/v1/jobs/{job_id}"))
