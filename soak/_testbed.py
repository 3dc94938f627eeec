"""Processes and links under test, and the operations of the platform's operators."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent

from chivefall.config import Address
from chivefall.model import DomainId, InstanceId, WorkerId
from chivefall.net import HttpResponse
from chivefall.runtime import sleep, spawn
from soak._model import LinkState
from soak._proxy import LinkProxy
from standins.deployment import HOST, free_ports

if TYPE_CHECKING:
    from chivefall.net import HttpClient
    from chivefall.runtime import Clock
    from soak._model import SoakSize
    from soak._oracle import Oracle
    from standins.platform import WorkerAction

__all__ = ["DOMAINS", "REVOKED_KEY", "VALID_KEY", "Instance", "Testbed"]

ROOT = Path(__file__).resolve().parents[1]
DOMAINS = (DomainId("zarcero"), DomainId("tarrazu"))
VALID_KEY, REVOKED_KEY = "kept-key", "revoked-key"
TASK_SECONDS = 1.0
CONTROL_TIMEOUT_SECONDS = 1.0  # of one attempt of a control call
POLL_INTERVAL_SECONDS = 0.2  # between checks of the processes, and between attempts of a call
TIMING = {
    "leader_lease": 1.5,
    "leader_renewal": 0.4,
    "shutdown_grace": 6,
    "store_timeout": 1.2,
    "worker_timeout": 1.2,
}
STOP_SLACK_SECONDS = 1.5  # allowed for the exit of a process beyond its grace period


@dataclass
class Instance:
    """One entry instance and its process.

    Attributes
    ----------
    stop_requested_at : float or None
        Time, in seconds on the clock, at which the process received SIGTERM.
    paused_at : float or None
        Time at which the process was paused, while it is.
    paused_seconds : float
        Time for which the process was paused after it received SIGTERM.
    """

    name: InstanceId
    settings: Path
    log: Path
    address: Address
    ready_address: Address
    process: subprocess.Popen[bytes] | None = None
    stop_requested_at: float | None = None
    paused_at: float | None = None
    paused_seconds: float = 0.0

    def start(self) -> None:
        """Start the process."""
        command = [sys.executable, "-m", "chivefall", "run", "--settings", str(self.settings)]
        self.process = _start(command, self.log)
        self.stop_requested_at = self.paused_at = None
        self.paused_seconds = 0.0

    def pause(self, now: float) -> None:
        """Pause the process."""
        self.send(signal.SIGSTOP)
        self.paused_at = now

    def resume(self, now: float) -> None:
        """Resume the process."""
        self.send(signal.SIGCONT)
        if self.paused_at is not None and self.stop_requested_at is not None:
            self.paused_seconds += now - max(self.paused_at, self.stop_requested_at)
        self.paused_at = None

    def is_overdue(self, now: float) -> bool:
        """Return whether the process should have exited; a paused one cannot."""
        if self.stop_requested_at is None or self.paused_at is not None:
            return False
        limit = TIMING["shutdown_grace"] + STOP_SLACK_SECONDS + self.paused_seconds
        return now > self.stop_requested_at + limit

    def send(self, signo: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signo)


@dataclass
class Links:
    """The proxies to the store, to the workers and to the instances."""

    stores: list[LinkProxy] = field(default_factory=list)
    workers: list[LinkProxy] = field(default_factory=list)
    callers: list[LinkProxy] = field(default_factory=list)

    def all(self) -> list[LinkProxy]:
        """Return all links, those to the store first."""
        return [*self.stores, *self.workers, *self.callers]


class Testbed(BaseComponent):
    """A stand-in of the platform, entry instances, and proxies on the links between them."""

    def __init__(
        self, size: SoakSize, directory: Path, clock: Clock, http: HttpClient, oracle: Oracle
    ) -> None:
        super().__init__()
        self.clock = clock
        self._http = http
        self._oracle = oracle
        self._directory = directory
        self._version = 0
        self.links = Links()
        self._delayed_since: dict[LinkProxy | None, float] = {}
        self.instances: list[Instance] = []
        self.worker_count = size.workers
        self._closed = False
        ports = iter(free_ports(1 + size.workers + 6 * size.instances))
        self._platform = Address(HOST, next(ports))
        worker_addresses = []
        for _ in range(size.workers):
            worker_addresses.append(Address(HOST, next(ports)))
            self._link(self.links.workers, worker_addresses[-1], self._platform)
        self._command = [
            *(sys.executable, "-m", "standins.platform", "--listen", str(self._platform)),
            *("--workers", ",".join(map(str, worker_addresses)), "--domains", ",".join(DOMAINS)),
            *("--seconds", str(TASK_SECONDS)),
        ]
        self.platform: subprocess.Popen[bytes] | None = None
        for number in range(size.instances):
            self.instances.append(self._instance(number, [next(ports) for _ in range(6)]))

    def _link(self, links: list[LinkProxy], listen: Address, target: Address) -> None:
        links.append(LinkProxy(listen, target, self.clock).register(self))

    def _instance(self, number: int, ports: list[int]) -> Instance:
        own, proxy, ready, metrics, peer, store = (Address(HOST, port) for port in ports)
        domain = DOMAINS[number % len(DOMAINS)]
        name = InstanceId(f"{domain}-{number}")
        self._link(self.links.stores, store, self._platform)
        self._link(self.links.callers, proxy, own)
        settings = {
            "instance": name,
            "region": "meseta",
            "failure_domain": domain,
            "listen": str(own),
            "peer_listen": str(peer),
            "store": str(store),
            "log_file": "stdout",
            "timing": TIMING,
            "batch": {"ready_listen": str(ready), "metrics_listen": str(metrics)},
        }
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        return Instance(name, path, self._directory / f"{name}.log", proxy, ready)

    async def start(self) -> None:
        """Start all processes and wait until all instances are ready."""
        self.platform = _start(self._command, self._directory / "platform.log")
        for link in self.links.all():
            link.start()
        await self.write_catalog((VALID_KEY, REVOKED_KEY))
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            while not await self._is_ready(instance):
                if instance.process.poll() is not None:
                    raise RuntimeError(f"{instance.name} exited at its start; see {instance.log}")
                await sleep(self.clock, POLL_INTERVAL_SECONDS)
        spawn(self._watch_processes(), self._on_error)

    async def _is_ready(self, instance: Instance) -> bool:
        response = await self._http.request(
            instance.ready_address, "GET", "/chivefall/ready", timeout=CONTROL_TIMEOUT_SECONDS
        )
        return isinstance(response, HttpResponse) and response.status == HTTPStatus.OK

    def _on_error(self, exc: BaseException) -> None:
        self._oracle.report(f"monitoring of the processes failed: {exc!r}")

    async def _watch_processes(self) -> None:
        """Report instances that exit unexpectedly or do not exit in time after SIGTERM."""
        while not self._closed:
            now = self.clock.now()
            for instance in self.instances:
                process = instance.process
                if process is None:
                    continue
                if process.poll() is None:
                    if instance.is_overdue(now):
                        self._oracle.report(f"{instance.name} did not exit in time after SIGTERM")
                        instance.stop_requested_at = None
                elif instance.stop_requested_at is None:
                    code = process.returncode
                    self._oracle.report(f"{instance.name} exited unexpectedly with status {code}")
                    instance.start()
            await sleep(self.clock, POLL_INTERVAL_SECONDS)

    def kill(self, instance: Instance) -> None:
        """Kill a process and wait for its exit."""
        if instance.process is not None:
            instance.process.kill()
            instance.process.wait()
            instance.process = None

    def stop(self, instance: Instance) -> None:
        """Request an orderly shutdown of a process."""
        instance.send(signal.SIGTERM)
        instance.stop_requested_at = self.clock.now()
        instance.paused_seconds = 0.0

    def restart(self, instance: Instance) -> None:
        """Kill the process of an instance, if it is still running, and start a new one."""
        self.kill(instance)
        instance.start()

    def set_link(self, link: LinkProxy, state: LinkState) -> None:
        """Change the state of a link and report delayed orders to the oracle."""
        link.set_state(state)
        if link in self.links.workers:
            worker = WorkerId(f"w{self.links.workers.index(link)}")
            self._record_delay(link, worker, delayed=state is not LinkState.OPEN)

    def pause_platform(self, *, paused: bool) -> None:
        """Pause the process of the store and all workers, or resume it."""
        self.platform.send_signal(signal.SIGSTOP if paused else signal.SIGCONT)
        self._record_delay(None, None, delayed=paused)

    def _record_delay(
        self, link: LinkProxy | None, worker: WorkerId | None, *, delayed: bool
    ) -> None:
        if delayed:
            self._delayed_since.setdefault(link, self.clock.now())
            return
        since = self._delayed_since.pop(link, None)
        if since is not None:
            self._oracle.record_delayed_orders(worker, since)

    async def control(self, method: str, path: str, body: Any = None) -> bytes:
        """Call the control interface of the platform; repeat the call until it succeeds."""
        return await self._control(method, path, b"" if body is None else json.dumps(body).encode())

    async def write_key(self, key: str, value: bytes) -> None:
        """Write a key of the store as any other program may do."""
        await self._control("PUT", f"key?key={key}", value)

    async def _control(self, method: str, path: str, content: bytes) -> bytes:
        while True:
            response = await self._http.request(
                self._platform, method, f"/control/{path}", content, timeout=CONTROL_TIMEOUT_SECONDS
            )
            if isinstance(response, HttpResponse) and response.status == HTTPStatus.OK:
                return response.body
            await sleep(self.clock, POLL_INTERVAL_SECONDS)

    async def change_worker(self, number: int, action: WorkerAction, delay: float = 0.0) -> None:
        """Apply an action to a worker, whose entry follows after ``delay`` seconds."""
        await self.control("PUT", f"worker?name=w{number}&act={action.value}&delay={delay}")

    async def write_catalog(self, keys: tuple[str, ...]) -> None:
        """Write a new version of the catalog with the given API keys, as operators do."""
        self._version += 1
        queue = {
            "name": "r-1",
            "host": "batch.example",
            "prefix": "/jobs/",
            "service": "pool",
            "priority": 1,
            "max_attempts": 100,  # so that no job fails because of the injected faults
            "stretch": 1.5,
            "target_latency_ms": 250,
        }
        urgent = {**queue, "name": "r-2", "prefix": "/urgent/", "priority": 0}
        catalog = {
            "version": self._version,
            "routes": [queue, urgent],
            "services": [{"name": "pool"}],
            "tenants": [{"name": "farm", "api_keys": list(keys), "guaranteed": {"gpu": 8}}],
        }
        await self.control("PUT", "key?key=op/config", catalog)

    def end(self) -> None:
        """Kill all processes and close the proxies."""
        self._closed = True
        for link in self.links.all():
            link.close()
        processes = [self.platform, *(instance.process for instance in self.instances)]
        for process in processes:
            if process is not None:
                process.kill()
                process.wait()


def _start(command: list[str], log: Path) -> subprocess.Popen[bytes]:
    with log.open("ab") as output:
        return subprocess.Popen(command, cwd=ROOT, stdout=output, stderr=subprocess.STDOUT)
