"""Measures the resource usage of a daemon at several sizes, for docs/CAPACITY.md.

Each size is one failure domain with two entry instances, a store and a number of
workers in one process. All jobs run for the whole measurement. The page uses the
slopes of the results over the sizes.
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

TICKS_PER_SECOND = 100  # unit of CPU times in /proc
PAGE_KB = 4  # unit of memory sizes in /proc
HEADERS = {"X-Chivefall-Account": "farmers"}
RAMP_SECONDS = 5.0  # from the submission of the jobs to the measurement
JOB_SECONDS = 600.0


@dataclass(frozen=True)
class Usage:
    """CPU time of a process since its start, and its resident memory."""

    cpu_seconds: float
    resident_mb: float


def read_usage(pid: int) -> Usage:
    """Return the resource usage of a process."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rsplit(")", 1)[1].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
    return Usage((int(stat[11]) + int(stat[12])) / TICKS_PER_SECOND, pages * PAGE_KB / 1024)


def read_traffic_counters(address: str) -> dict[str, float]:
    """Return the byte and call counters from the metrics of a daemon."""
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=10) as response:
        lines = response.read().decode().splitlines()
    found = {}
    for line in lines:
        if line.startswith(("chivefall_control_bytes", "chivefall_store_calls")):
            name, value = line.rsplit(" ", 1)
            found[name] = float(value)
    return found


class FarmDeployment(Deployment):
    """A deployment whose workers share one process."""

    def start_worker(self, worker: dict[str, Any]) -> None:
        """Start one process with all workers on the first call; do nothing on the others."""
        if worker is self.workers[0]:
            listing = self.directory / "instances.json"
            command = [sys.executable, "-m", "standins.farm", "--instances", str(listing)]
            self._spawn("farm", command)


def measure(workers: int, entries: int, gang: int, seconds: float) -> None:
    """Print the resource usage of each entry instance at one size."""
    size = dataclasses.replace(
        BOOKING,
        failure_domains=("zarcero",),
        workers=workers,
        entry_instances_per_domain=entries,
    )
    with tempfile.TemporaryDirectory(prefix="chivefall-") as directory:
        deployment = FarmDeployment(size, Path(directory), [sys.executable, "-m", "chivefall"])
        with deployment:
            address = deployment.entries["zarcero-1"]["listen"]
            job = {
                "command": "sort",
                "gang_size": gang,
                "payload": {"run_time": JOB_SECONDS},
                "run_time": JOB_SECONDS,
            }
            for _ in range(workers * size.accelerators // gang):
                call(address, "POST", "/v1/jobs", job, HEADERS)
            time.sleep(RAMP_SECONDS)
            usage_before = {
                name: read_usage(deployment.processes[name].pid) for name in deployment.entries
            }
            counters_before = {
                name: read_traffic_counters(item["listen"])
                for name, item in deployment.entries.items()
            }
            time.sleep(seconds)
            for name, item in deployment.entries.items():
                after = read_usage(deployment.processes[name].pid)
                counters = {
                    key: round((value - counters_before[name].get(key, 0.0)) / seconds, 2)
                    for key, value in read_traffic_counters(item["listen"]).items()
                }
                cpu = 100 * (after.cpu_seconds - usage_before[name].cpu_seconds) / seconds
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
            deployment.kill("farm", signal.SIGTERM)


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
