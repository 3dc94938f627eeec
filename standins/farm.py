"""Many stand-in workers in one process, for measurements of larger deployments."""

from __future__ import annotations

import argparse
import signal
import threading
from pathlib import Path

import msgspec

from chivefall.config import Address
from chivefall.model import InstanceKind
from chivefall.workers import Instance
from standins.worker import WorkerService

__all__ = ["run_farm"]


def run_farm(instances: tuple[Instance, ...]) -> None:
    """Run the workers of a list, each on its own thread, until SIGINT or SIGTERM."""
    for instance in instances:
        if instance.kind is InstanceKind.WORKER:
            service = WorkerService(
                Address.parse(instance.address), instance.worker_id, instance.accelerators
            )
            threading.Thread(target=service.run, daemon=True).start()
    signal.sigwait({signal.SIGINT, signal.SIGTERM})


def main() -> None:
    """Run the workers of an instance list file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=Path, required=True)
    args = parser.parse_args()
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT, signal.SIGTERM})
    run_farm(msgspec.json.decode(args.instances.read_bytes(), type=tuple[Instance, ...]))


if __name__ == "__main__":
    main()
