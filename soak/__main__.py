"""Command line of the soak test."""

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
    """Run one seed, print its verdict and return whether no invariant was violated."""
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
        "answers": oracle.responses,
        "violations": [[item.at, item.text] for item in oracle.violations.values()],
    }
    print(json.dumps(verdict), flush=True)
    return not oracle.violations


@app.command()
def run(
    seed: Annotated[int | None, typer.Option(help="First seed; a random one if omitted.")] = None,
    seeds: Annotated[int, typer.Option(help="Number of consecutive seeds to run.")] = 1,
    seconds: Annotated[float, typer.Option(help="Duration of the traffic in seconds.")] = 30.0,
    instances: Annotated[int, typer.Option(help="Number of entry instances.")] = 3,
    workers: Annotated[int, typer.Option(help="Number of workers.")] = 6,
    faults: Annotated[int, typer.Option(help="Minimum number of faults in a plan.")] = 14,
    logs: Annotated[Path, typer.Option(help="Directory for the logs of failed seeds.")] = LOGS,
) -> None:
    """Run seeds and keep the logs of those that violated an invariant."""
    size = SoakSize(instances=instances, workers=workers, faults=faults, seconds=seconds)
    first = random.SystemRandom().getrandbits(SEED_BITS) if seed is None else seed
    failed = []
    for number in range(first, first + seeds):
        with tempfile.TemporaryDirectory(prefix="chivefall-soak-") as name:
            if not run_seed(Seed(number), size, Path(name)):
                failed.append(number)
                shutil.copytree(name, logs / str(number), dirs_exist_ok=True)
    print(f"{seeds - len(failed)} seeds passed, failed: {failed}")
    raise typer.Exit(1 if failed else 0)


@app.command()
def plan(seed: int) -> None:
    """Print the planned faults of a seed."""
    for item in make_plan(Seed(seed), SoakSize()):
        print(f"{item.at:6.2f} s for {item.seconds:4.2f} s: {item.kind.value} {item.target}")


if __name__ == "__main__":
    app()
