"""Runs a complete deployment as separate processes on this machine."""

from __future__ import annotations

import argparse
import json
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

from standins.sizes import DEPLOYMENTS, DeploymentSize

__all__ = ["Deployment", "call", "free_ports", "wait_until"]

HOST = "127.0.0.1"
STOP_TIMEOUT_SECONDS = 10.0
READY_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.1
ENDPOINTS_PER_DOMAIN = 2
MIN_PORT, MAX_PORT = 10_000, 32_000  # Linux takes ports of outgoing connections from 32768 on


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 60.0,
) -> tuple[int, Any]:
    """Send an HTTP request and return the status and the JSON body of the response."""
    data = None if body is None else json.dumps(body).encode()
    req = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(req, timeout=timeout) as response:
            return response.status, json.loads(response.read() or b"null")
    except urllib.error.HTTPError as exc:
        return exc.code, json.loads(exc.read() or b"null")


def free_ports(count: int) -> list[int]:
    """Return distinct TCP ports that are currently free.

    They are below the range from which the kernel takes the ports of outgoing connections;
    otherwise connections of other processes could take them before they are bound again.
    """
    ports: list[int] = []
    rng = random.SystemRandom()
    while len(ports) < count:
        port = rng.randrange(MIN_PORT, MAX_PORT)
        with socket.socket() as sock:
            # As servers do, so that connections of a former server do not count.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Deployment:
    """Starts and stops the processes of one deployment; a context manager."""

    def __init__(self, size: DeploymentSize, directory: Path, chivefall: list[str]) -> None:
        self.size = size
        self.directory = directory
        self._chivefall = chivefall
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        entries = size.entry_instances_per_domain * len(size.failure_domains)
        endpoints = ENDPOINTS_PER_DOMAIN * len(size.failure_domains)
        ports = free_ports(1 + size.workers + 2 * entries + endpoints)
        self.store = f"{HOST}:{ports[0]}"
        self.workers = self._worker_instances(ports[1 : 1 + size.workers])
        self.entries = self._entry_settings(ports[1 + size.workers :])
        self.endpoints = self._endpoint_instances(ports[-endpoints:])

    def _worker_instances(self, ports: list[int]) -> list[dict[str, Any]]:
        size = self.size
        instances = []
        for index, port in enumerate(ports):
            rack = index // size.workers_per_rack
            domain = size.failure_domains[rack % len(size.failure_domains)]
            instances.append(
                {
                    "instance": f"{domain}-w{index:02d}",
                    "kind": "worker",
                    "failure_domain": domain,
                    "address": f"{HOST}:{port}",
                    "rack": f"{domain}-r{rack}",
                    "accelerators": size.accelerators,
                    "slots": size.slots,
                }
            )
        return instances

    def _endpoint_instances(self, ports: list[int]) -> list[dict[str, Any]]:
        size = self.size
        return [
            {
                "instance": f"{domain}-e{index // len(size.failure_domains) + 1}",
                "kind": "endpoint",
                "failure_domain": domain,
                "address": f"{HOST}:{port}",
                "service": size.service,
                "slots": size.slots,
            }
            for index, port in enumerate(ports)
            for domain in [size.failure_domains[index % len(size.failure_domains)]]
        ]

    def _entry_settings(self, ports: list[int]) -> dict[str, dict[str, Any]]:
        size = self.size
        settings: dict[str, dict[str, Any]] = {}
        free = iter(ports)
        for domain in size.failure_domains:
            for number in range(1, size.entry_instances_per_domain + 1):
                settings[f"{domain}-{number}"] = {
                    "instance": f"{domain}-{number}",
                    "region": size.region,
                    "failure_domain": domain,
                    "listen": f"{HOST}:{next(free)}",
                    "peer_listen": f"{HOST}:{next(free)}",
                    "store": self.store,
                    "log_file": str(self.directory / f"{domain}-{number}.log"),
                }
        peers = {name: item["peer_listen"] for name, item in settings.items()}
        for item in settings.values():
            item["peers"] = peers
        return settings

    def instances(self) -> list[dict[str, Any]]:
        """Return the instance list of the platform for this deployment."""
        entries = [
            {
                "instance": name,
                "kind": "entry",
                "failure_domain": item["failure_domain"],
                "address": item["peer_listen"],
            }
            for name, item in self.entries.items()
        ]
        return self.workers + self.endpoints + entries

    def document(self) -> dict[str, Any]:
        """Return the default document of this deployment."""
        size = self.size
        return {
            "revision": 1,
            "accounts": {account: {} for account in size.accounts},
            "guarantees": [
                {"account": account, "gang_size": 8, "accelerators": 1} for account in size.accounts
            ],
            "failure_domains": dict.fromkeys(size.failure_domains, "in_service"),
            "services": {size.service: {"account": size.accounts[0]}},
        }

    def start(self) -> None:
        """Start all processes and wait until each failure domain has a leader."""
        listing = self.directory / "instances.json"
        listing.write_text(json.dumps(self.instances()))
        self._spawn(
            "store",
            [
                *(sys.executable, "-m", "standins.store"),
                *("--listen", self.store, "--instances", str(listing)),
            ],
        )
        for worker in self.workers:
            self.start_worker(worker)
        for endpoint in self.endpoints:
            self.start_endpoint(endpoint)
        self._wait_for_store()
        for name in self.entries:
            self.start_entry(name)
        self.wait_for_leaders()

    def start_worker(self, worker: dict[str, Any]) -> None:
        """Start one stand-in worker."""
        self._spawn(
            worker["instance"],
            [
                *(sys.executable, "-m", "standins.worker"),
                *("--name", worker["instance"], "--listen", worker["address"]),
                *("--accelerators", str(worker["accelerators"])),
            ],
        )

    def start_endpoint(self, endpoint: dict[str, Any]) -> None:
        """Start one stand-in endpoint."""
        self._spawn(
            endpoint["instance"],
            [
                *(sys.executable, "-m", "standins.endpoint"),
                *("--name", endpoint["instance"], "--listen", endpoint["address"]),
                *("--slots", str(endpoint["slots"])),
            ],
        )

    def start_entry(self, name: str) -> None:
        """Start one entry instance."""
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(self.entries[name], indent=2))
        self._spawn(name, [*self._chivefall, "run", "--settings", str(path)])

    def kill(self, name: str, signo: int = signal.SIGKILL) -> None:
        """Send a signal to one process of this deployment; SIGKILL also waits for its exit."""
        self.processes[name].send_signal(signo)
        if signo == signal.SIGKILL:
            self.processes.pop(name).wait()

    def stop(self) -> None:
        """Terminate all processes of this deployment; kill those that do not exit in time."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()

    def __enter__(self) -> Deployment:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def _spawn(self, name: str, command: list[str]) -> None:
        output = (self.directory / f"{name}.out").open("ab")
        with output:
            self.processes[name] = subprocess.Popen(
                command, stdout=output, stderr=subprocess.STDOUT
            )

    def _wait_for_store(self) -> None:
        def ready() -> bool:
            status, _ = call(self.store, "PUT", "/v1/kv/document", self.document())
            return status in (200, 409)

        wait_until(ready, "the store responds")

    def wait_for_leaders(self) -> None:
        """Wait until all entry instances accept jobs, which requires a leader."""
        for name, item in self.entries.items():
            wait_until(
                lambda address=item["listen"]: self._accepts_jobs(address), f"{name} accepts jobs"
            )

    def _accepts_jobs(self, address: str) -> bool:
        status, _ = call(
            address,
            "POST",
            "/v1/jobs?wait=1",
            {"command": "probe", "payload": {"run_time": 0.0}},
            {"X-Chivefall-Account": self.size.accounts[0]},
        )
        return status == 200


def wait_until(condition: Any, what: str, timeout: float = READY_TIMEOUT_SECONDS) -> None:
    """Poll until a condition holds; an OSError counts as false.

    Raises
    ------
    TimeoutError
        If it does not hold within ``timeout`` seconds.
    """
    limit = time.monotonic() + timeout
    while True:
        try:
            if condition():
                return
        except OSError:
            pass
        if time.monotonic() > limit:
            raise TimeoutError(f"timed out after {timeout} s waiting until {what}")
        time.sleep(POLL_INTERVAL_SECONDS)


def run_demo_jobs(deployment: Deployment) -> None:
    """Submit a gang of 8 and a short urgent job and print the responses."""
    headers = {"X-Chivefall-Account": deployment.size.accounts[0]}
    addresses = [item["listen"] for item in deployment.entries.values()]
    jobs = {
        "gang of 8": {"command": "sort", "gang_size": 8, "payload": {"run_time": 1.0}},
        "urgent": {"command": "check", "urgency": "urgent", "payload": {"run_time": 0.1}},
    }
    for address, (name, job) in zip(addresses, jobs.items(), strict=False):
        started_at = time.monotonic()
        status, response = call(address, "POST", "/v1/jobs?wait=1", job, headers)
        print(f"{name}: HTTP {status} after {time.monotonic() - started_at:.2f} s")
        print(json.dumps(response, indent=2))
        if status != 200:
            raise SystemExit(1)


def main() -> None:
    """Start a deployment, run the demo jobs and stop it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size", choices=sorted(DEPLOYMENTS), default="booking")
    parser.add_argument("--keep", action="store_true", help="run until interrupted")
    args = parser.parse_args()
    size = DEPLOYMENTS[args.size]
    with tempfile.TemporaryDirectory(prefix="chivefall-") as directory:
        chivefall = [sys.executable, "-m", "chivefall"]
        with Deployment(size, Path(directory), chivefall) as deployment:
            print(f"{size.name}: {len(deployment.processes)} processes, all domains have a leader")
            run_demo_jobs(deployment)
            if args.keep:
                for name, item in deployment.entries.items():
                    print(f"{name}: http://{item['listen']}")
                signal.sigwait({signal.SIGINT, signal.SIGTERM})


if __name__ == "__main__":
    main()
