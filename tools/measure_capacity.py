"""Measures what a daemon spends at several sizes; docs/CAPACITY.md uses the slopes.

Each size is one failure domain with two entry instances, a store and a number of
workers in one process. All jobs run while the measurement lasts.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import signal
import sys
import tempfile
import time
import urllib.request
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.deployment import Deployment, call
from standins.sizes import BOOKING

TICKS_PER_SECOND = 100
PAGE_KB = 4
HEADERS = {"X-Chivefall-Account": "farmers"}
RAMP_SECONDS = 5.0
JOB_SECONDS = 600.0


@dataclass(frozen=True)
class Usage:
    """Totals of one process since its start."""

    cpu_seconds: float
    resident_mb: float


def usage(pid: int) -> Usage:
    """Return what a process has used."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rsplit(")", 1)[1].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
    return Usage((int(stat[11]) + int(stat[12])) / TICKS_PER_SECOND, pages * PAGE_KB / 1024)


def traffic(address: str) -> dict[str, float]:
    """Return the daemon's own byte and call counters."""
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=10) as reply:
        lines = reply.read().decode().splitlines()
    found = {}
    for line in lines:
        if line.startswith(("chivefall_control_bytes", "chivefall_store_calls")):
            name, value = line.rsplit(" ", 1)
            found[name] = float(value)
    return found


class FarmDeployment(Deployment):
    """A deployment whose workers share one process."""

    def start_worker(self, worker: dict[str, Any]) -> None:
        """Start all workers in one process when the first one is asked for."""
        if worker is self.workers[0]:
            listing = self.directory / "instances.json"
            command = [sys.executable, "-m", "standins.farm", "--instances", str(listing)]
            self._spawn("farm", command)


def measure(workers: int, entries: int, gang: int, seconds: float) -> None:
    """Print what each entry instance spends at one size."""
    size = dataclasses.replace(
        BOOKING,
        failure_domains=("zarcero",),
        workers=workers,
        entry_instances_per_domain=entries,
    )
    with tempfile.TemporaryDirectory(prefix="chivefall-") as directory:
        running = FarmDeployment(size, Path(directory), [sys.executable, "-m", "chivefall"])
        with running:
            address = running.entries["zarcero-1"]["listen"]
            job = {
                "command": "sort",
                "gang_size": gang,
                "payload": {"run_time": JOB_SECONDS},
                "run_time": JOB_SECONDS,
            }
            for _ in range(workers * size.accelerators // gang):
                call(address, "POST", "/v1/jobs", job, HEADERS)
            time.sleep(RAMP_SECONDS)
            before = {name: usage(running.processes[name].pid) for name in running.entries}
            moved = {name: traffic(item["listen"]) for name, item in running.entries.items()}
            time.sleep(seconds)
            for name, item in running.entries.items():
                after = usage(running.processes[name].pid)
                counters = {
                    key: round((value - moved[name].get(key, 0.0)) / seconds, 2)
                    for key, value in traffic(item["listen"]).items()
                }
                cpu = 100 * (after.cpu_seconds - before[name].cpu_seconds) / seconds
                print(
                    json.dumps(
                        {
                            "workers": workers,
                            "instances": entries,
                            "instance": name,
                            "cpu_percent": round(cpu, 2),
                            "resident_mb": round(after.resident_mb, 1),
                            "per_second": counters,
                        }
                    ),
                    flush=True,
                )
            running.kill("farm", signal.SIGTERM)


def main() -> None:
    """Measure the sizes given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, nargs="+", default=[24, 96, 230])
    parser.add_argument("--instances", type=int, nargs="+", default=[2])
    parser.add_argument("--gang", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=30.0)
    args = parser.parse_args()
    for workers in args.workers:
        for entries in args.instances:
            measure(workers, entries, args.gang, args.seconds)


if __name__ == "__main__":
    main()
