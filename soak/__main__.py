"""Command line of the soak."""

from __future__ import annotations

import json
import random
import shutil
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from soak._application import Soak
from soak._faults import make_plan
from soak._model import Seed, SoakSize

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
SEED_BITS = 32
LOGS = Path("target/soak")


def run_seed(seed: Seed, size: SoakSize, directory: Path) -> bool:
    """Play one seed, print its verdict and return whether every promise was kept."""
    soak = Soak(seed, size, directory)
    soak.run()
    oracle = soak.oracle
    histories = oracle.job_histories.values()
    verdict = {
        "seed": seed,
        "jobs": len(histories),
        "accepted": sum(history.accepted_at is not None for history in histories),
        "completed": sum(history.completed_at is not None for history in histories),
        "cancelled": sum(history.cancelled_at is not None for history in histories),
        "starts": oracle.starts,
        "answers": oracle.answers,
        "violations": [[item.at, item.text] for item in oracle.violations.values()],
    }
    print(json.dumps(verdict), flush=True)
    return not oracle.violations


@app.command()
def run(
    seed: Annotated[int | None, typer.Option(help="First seed; fresh if it is left out.")] = None,
    seeds: Annotated[int, typer.Option(help="How many seeds, one after the other.")] = 1,
    seconds: Annotated[float, typer.Option(help="Length of the traffic.")] = 30.0,
    instances: Annotated[int, typer.Option(help="Entry instances.")] = 3,
    workers: Annotated[int, typer.Option(help="Workers.")] = 6,
    faults: Annotated[int, typer.Option(help="Faults of a plan, at least.")] = 14,
    logs: Annotated[Path, typer.Option(help="Folder for logs of failed seeds.")] = LOGS,
) -> None:
    """Play seeds and keep the logs of those that broke a promise."""
    size = SoakSize(instances=instances, workers=workers, faults=faults, seconds=seconds)
    first = random.SystemRandom().getrandbits(SEED_BITS) if seed is None else seed
    failed = []
    for number in range(first, first + seeds):
        with tempfile.TemporaryDirectory(prefix="chivefall-soak-") as name:
            if not run_seed(Seed(number), size, Path(name)):
                failed.append(number)
                shutil.copytree(name, logs / str(number), dirs_exist_ok=True)
    print(f"{seeds - len(failed)} seeds kept every promise, failed: {failed}")
    raise typer.Exit(1 if failed else 0)


@app.command()
def plan(seed: int) -> None:
    """Print the faults of a seed."""
    for item in make_plan(Seed(seed), SoakSize()):
        print(f"{item.at:6.2f} s for {item.seconds:4.2f} s: {item.kind.value} {item.target}")


if __name__ == "__main__":
    app()
