"""Stand-in of the users' platform: its store, its workers and the supervisor of the processes.

Follows PROTOCOL.md and DEPLOY.md. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

__all__ = ["Case", "Ending", "Instance", "Store", "Worker", "encode", "start_case"]

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HEARTBEAT_SECONDS = 1.5
MAX_HOLD_SECONDS = 10.0
STOP_SECONDS = 0.2
START_SECONDS = 0.1  # until a task is at work
STORE_SECONDS = 0.004  # for one response of the store
LATE_ORDER_SECONDS = (2.0, 12.0)
LATE_SECONDS = (1.0, 6.0)  # until a write whose answer is lost is done
RESTART_SECONDS = 1.0  # from the end of a process to its next start
MEMORY_CHECK_SECONDS = 0.25
ZONES = ("zilina", "banska", "martin")
MEMORY_MB = 300
MAX_PAGE = 500  # items of a page of the store, or ends in a list
SUCCESS = range(200, 300)

PORTS = (10_000, 32_000)
_ports = random.SystemRandom()
_used_ports: set[int] = set()

Reply = tuple[int, Any]
Handler = Callable[[str, str, dict[str, str], dict[str, str], bytes], Awaitable[Reply]]


def free_port() -> int:
    """Return a port that is free now, below those that the kernel gives to outgoing channels."""
    while True:
        port = _ports.randrange(*PORTS)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        if port not in _used_ports:
            _used_ports.add(port)
            return port


def encode(body: Any) -> bytes:
    """Return a body as compact JSON."""
    return json.dumps(body, separators=(",", ":")).encode()


async def serve(handle: Handler, port: int) -> asyncio.Server:
    """Serve HTTP/1.1 with JSON bodies on a port."""

    async def on_connect(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:] if line)
                }
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text))
                status, content = await handle(method, path, query, headers, body)
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.close()

    return await asyncio.start_server(on_connect, HOST, port, limit=2**24)


@dataclass
class Item:
    """A key of the store."""

    value: bytes
    revision: int
    created: int
    lease: int = 0


class Store:
    """The platform's metadata store."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.revision = 1
        self.items: dict[str, Item] = {}
        self.history: list[tuple[int, str, Item | None]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.lost_share = 0.0  # of the writes, which are done late and not answered
        self._random = random.Random()
        self._changed = asyncio.Event()
        self._next_lease = 1

    def write(self, puts: list[tuple[str, bytes, int]], removes: list[str]) -> int:
        """Write and remove keys under one revision."""
        self.revision += 1
        for key, value, lease in puts:
            old = self.items.get(key)
            item = Item(value, self.revision, old.created if old else self.revision, lease)
            self.items[key] = item
            self.history.append((self.revision, key, item))
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, key, None))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    async def expire_leases(self) -> None:
        """Remove the keys of leases that end."""
        while True:
            await asyncio.sleep(0.02)
            for lease, (until, _) in list(self.leases.items()):
                if until < time.monotonic():
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item.lease == lease]
        if keys:
            self.write([], keys)

    @staticmethod
    def _row(key: str, item: Item) -> dict[str, Any]:
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created_rev": item.created,
            "lease_id": item.lease,
        }

    async def handle(
        self, method: str, path: str, query: dict[str, str], _: dict[str, str], body: bytes
    ) -> Reply:
        """Return the response to a call."""
        await asyncio.sleep(STORE_SECONDS)
        call, _, argument = path.removeprefix("/chivefall/").partition("/")
        content = json.loads(body) if body else {}
        if call == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at_rev": self.revision}
            return 200, {**self._row(query["key"], item), "at_rev": self.revision}
        if call == "kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            rows = [self._row(key, self.items[key]) for key in keys[:MAX_PAGE]]
            return 200, {"items": rows, "has_more": len(keys) > MAX_PAGE, "at_rev": self.revision}
        if call == "kv-watch":
            return await self._watch(query)
        if call == "kv-txn":
            if self._random.random() < self.lost_share:
                delay = self._random.uniform(*LATE_SECONDS)
                asyncio.get_running_loop().call_later(delay, self._transact, content)
                await asyncio.Event().wait()  # this channel returns nothing further
            return self._transact(content)
        return self._lease(method, call, argument, content)

    async def _watch(self, query: dict[str, str]) -> Reply:
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [
                {**self._row(key, item)}
                if item is not None
                else {"key": key, "revision": revision, "deleted": True}
                for revision, key, item in self._history_after(after)
                if key.startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at_rev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _history_after(self, after: int) -> list[tuple[int, str, Item | None]]:
        first = len(self.history)
        while first and self.history[first - 1][0] > after:
            first -= 1
        return self.history[first:]

    def _transact(self, body: dict[str, Any]) -> Reply:
        expected = {row["key"]: row["revision"] for row in body.get("expected_rev", [])}
        current = {key: self.items.get(key) for key in expected}
        if any((item.revision if item else 0) != expected[key] for key, item in current.items()):
            rows = [
                self._row(key, item) if item else {"key": key, "revision": 0}
                for key, item in current.items()
            ]
            return 412, {"items": rows}
        puts = [
            (row["key"], base64.b64decode(row["value"]), row.get("lease_id", 0))
            for row in body.get("puts", [])
        ]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        return 200, {"revision": self.write(puts, body.get("remove", []))}

    def _lease(self, method: str, call: str, argument: str, body: dict[str, Any]) -> Reply:
        if call == "kv-lease" and method == "POST":
            lease, ttl = self._next_lease, max(1.0, body["ttl_ms"] / 1000)
            self._next_lease += 1
        elif not argument.isdigit() or int(argument) not in self.leases:
            return 404, {}
        else:
            lease, ttl = int(argument), self.leases[int(argument)][1]
        if call == "kv-lease-end":
            self._end_lease(lease)
            return 200, {"ttl_ms": 0, "lease_id": lease}
        self.leases[lease] = (time.monotonic() + ttl, ttl)
        return 200, {"ttl_ms": ttl * 1000, "lease_id": lease}


@dataclass(frozen=True)
class Ending:
    """How a run ends by itself: after how many seconds, or never, and as what."""

    seconds: float | None
    how: str = "done"


@dataclass
class _Run:
    started: float
    seconds: float | None
    how: str
    stopping: bool = False


@dataclass
class Worker:
    """One worker, with the runs on it."""

    name: str
    zone: str
    rack: str
    service: str
    record: Callable[..., None]
    ending: Callable[[str, int], Ending]
    port: int = field(default_factory=free_port)
    capacity: dict[str, int] = field(
        default_factory=lambda: {"cpu": 128_000, "mem_mb": 262_144, "gpu": 8}
    )
    kind: str = "a"
    hangs: bool = False
    late_share: float = 0.0  # of the starts and stops, which are carried out late, unanswered
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    origin: float = field(default_factory=time.monotonic)
    fence: int = 0
    lease_until: float = 0.0
    runs: dict[tuple[str, int], _Run] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    highest: dict[str, int] = field(default_factory=dict)
    _count: int = 0
    _seq: int = 0
    _ended: asyncio.Event = field(default_factory=asyncio.Event)

    def entry(self) -> bytes:
        """Return the worker's next entry in the store."""
        self._seq += 1
        return json.dumps(
            {
                "service": self.service,
                "addr": f"{HOST}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": self.capacity,
                "labels": [self.kind, self.rack],
                "clock_ms": self._clock(),
                "born": self.born,
                "seq": self._seq,
            }
        ).encode()

    def _clock(self) -> int:
        return int((time.monotonic() - self.origin) * 1000)

    def _extend(self, body: dict[str, Any]) -> None:
        if "deadline_ms" in body:
            now = time.monotonic()
            until = min(self.origin + body["deadline_ms"] / 1000, now + MAX_HOLD_SECONDS)
            self.lease_until = max(self.lease_until, until)

    def _end(self, key: tuple[str, int], how: str) -> None:
        if self.runs.pop(key, None) is None:
            return
        task, number = key
        self.highest[task] = max(number, self.highest.get(task, 0))
        self._count += 1
        self.ends.append([self._count, task, number, how, ""])
        self.record("end", worker=self.name, task=task, run=number, how=how)
        self._ended.set()
        self._ended = asyncio.Event()

    def restart(self) -> None:
        """Start again under the same id; the new lifetime knows nothing of before."""
        self.record("restart", worker=self.name, runs=len(self.runs))
        self.runs, self.ends, self.highest = {}, [], {}
        self.fence, self._count, self.lease_until = 0, 0, 0.0
        self.born, self.origin = int(time.time() * 1000), time.monotonic()

    async def work(self) -> None:
        """End runs by themselves and when their lease ends."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for key, run in list(self.runs.items()):
                if now >= self.lease_until:
                    self._end(key, "lapsed")
                elif self.hangs:
                    run.started += 0.02
                elif run.seconds is not None and now >= run.started + run.seconds:
                    self._end(key, run.how)

    def used(self, resource: str, sizes: Callable[[str], dict[str, int]]) -> int:
        """Return how much of a resource the runs use."""
        return sum(sizes(task).get(resource, 0) for task, _ in self.runs)

    async def handle(
        self, method: str, path: str, query: dict[str, str], headers: dict[str, str], body: bytes
    ) -> Reply:
        """Return the response to an order."""
        del method, query
        if headers.get("x-target-instance") != self.name:
            return 421, {}
        content = json.loads(body)
        if path != "/chivefall/hold" and random.random() < self.late_share:
            delay = random.uniform(*LATE_ORDER_SECONDS)
            self.record("late", worker=self.name, task=content["task"], delay=round(delay, 2))
            asyncio.get_running_loop().call_later(delay, self._obey, path, content)
            await asyncio.Event().wait()  # this channel returns nothing further
        if path == "/chivefall/hold":
            if content.get("fence_token", 0) < self.fence:
                return 409, {"clock_ms": self._clock(), "born": self.born, "reason": "fence"}
            self.fence = content.get("fence_token", 0)
            return await self._hold(content)
        return self._obey(path, content)

    def _obey(self, path: str, content: dict[str, Any]) -> Reply:
        """Carry out a start or a stop."""
        clock = {"clock_ms": self._clock(), "born": self.born}
        if content.get("fence_token", 0) < self.fence:
            return 409, {**clock, "reason": "fence"}
        self.fence = content.get("fence_token", 0)
        key = content["task"], content["run_id"]
        if path == "/chivefall/run-start":
            return self._start(key, content, clock)
        if path == "/chivefall/run-stop":
            self.highest[key[0]] = max(key[1], self.highest.get(key[0], 0))
            if key in self.runs and not self.runs[key].stopping:
                self.runs[key].stopping = True
                self.record("stop", worker=self.name, task=key[0], run=key[1])
                loop = asyncio.get_running_loop()
                loop.call_later(STOP_SECONDS, self._end, key, "stopped")
            return 200, clock
        return 404, {}

    def _start(self, key: tuple[str, int], content: dict[str, Any], clock: dict[str, Any]) -> Reply:
        if key in self.runs:
            return 200, clock
        if content["deadline_ms"] <= clock["clock_ms"]:
            return 409, {**clock, "reason": "late"}
        self._extend(content)
        if key[1] <= self.highest.get(key[0], 0):
            return 409, {**clock, "reason": "old"}
        ending = self.ending(*key)
        self.runs[key] = _Run(time.monotonic(), ending.seconds, ending.how)
        self.record("start", worker=self.name, task=key[0], run=key[1])
        return 200, clock

    async def _hold(self, body: dict[str, Any]) -> Reply:
        self._extend(body)
        last_seen = body.get("last_seen", 0)
        for number, task, run, how, _ in self.ends:
            if number <= last_seen:
                self.record("noted", worker=self.name, task=task, run=run, how=how)
        self.ends = [end for end in self.ends if end[0] > last_seen]
        if not self.ends and body.get("wait_ms"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), body["wait_ms"] / 1000)
        running = [
            [task, number, "", self._percent(run), 0] for (task, number), run in self.runs.items()
        ]
        return 200, {
            "clock_ms": self._clock(),
            "born": self.born,
            "running": running,
            "finished": self.ends[:MAX_PAGE],
        }

    @staticmethod
    def _percent(run: _Run) -> int:
        elapsed = time.monotonic() - run.started
        if run.seconds is None or run.how == "failed":
            return 100 if elapsed > START_SECONDS else 0
        return min(100, int(100 * elapsed / run.seconds))


@dataclass
class Instance:
    """A machine of the system with its process."""

    name: str
    zone: str
    settings: Path
    front: str
    output: Path
    process: subprocess.Popen[bytes] | None = None
    memory_kills: int = 0
    peak_mb: float = 0.0

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-m", "chivefall", "run", "--settings", str(self.settings)],
                cwd=REPOSITORY,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        with contextlib.suppress(OSError):
            text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
            match = re.search(r"VmRSS:\s+(\d+) kB", text)
            if match is not None:
                return int(match[1]) / 1024
        return 0.0

    def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Case:
    """A small deployment, and the record of what was sent, answered and run."""

    def __init__(self, directory: Path, folder: Path) -> None:
        self.directory = directory
        self.folder = folder
        self.rows: list[str] = []
        self.began = time.monotonic()
        self.store = Store(free_port())
        self.workers: dict[str, Worker] = {}
        self.instances: list[Instance] = []
        self.tasks: list[asyncio.Task[None]] = []
        self._next = 0

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began

    def record(self, event: str, **fields: Any) -> None:
        """Add a row to the record."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.rows.append(f"{self.now():8.3f} {event} {text}")

    def write_record(self) -> None:
        """Write the record into the folder of the case."""
        text = "\n".join(self.rows) + "\n"
        (self.folder / "record.txt").write_text(text, encoding="utf-8")

    async def add_workers(
        self,
        service: str,
        count: int,
        ending: Callable[[str, int], Ending],
        per_rack: int = 8,
        kinds: Callable[[int], str] = lambda _: "a",
    ) -> None:
        """Add workers of a service, spread over the zones rack by rack."""
        for number in range(count):
            rack = number // per_rack
            worker = Worker(
                f"i-{service}{number:02d}",
                ZONES[rack % len(ZONES)],
                f"{service}-{rack}",
                service,
                self.record,
                ending,
                kind=kinds(number),
            )
            self.workers[worker.name] = worker
            await serve(lambda *a, worker=worker: worker.handle(*a), worker.port)
            self.tasks.append(asyncio.create_task(worker.work()))
            self.tasks.append(asyncio.create_task(self._send_heartbeats(worker)))

    async def _send_heartbeats(self, worker: Worker) -> None:
        while True:
            self.write_entry(worker)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def write_entry(self, worker: Worker) -> None:
        """Write a worker's entry, as it does itself."""
        self.store.write([(f"servers/{worker.name}", worker.entry(), 0)], [])

    def write_config(self, routes: list[dict[str, Any]], tenants: list[dict[str, Any]]) -> None:
        """Write the desired state as the operator does."""
        services = sorted({route["service"] for route in routes})
        config = {
            "version": 7,
            "routes": [
                {
                    "host": "case.example",
                    "prefix": f"/{route['name']}/",
                    "kind": "non_idempotent",
                    "timeout_ms": 3000,
                    "target_latency_ms": 1000,
                    "max_attempts": 3,
                    "stretch": 3.0,
                    "public": False,
                    **route,
                }
                for route in routes
            ],
            "services": [
                {"name": name, "health_path": "/health", "rejects_overload": False}
                for name in services
            ],
            "limits": {"max_body_bytes": 262_144},
            "tenants": tenants,
        }
        self.store.write([("op/config", json.dumps(config).encode(), 0)], [])

    def add_instance(self) -> None:
        """Start a machine with its process."""
        number = len(self.instances)
        zone = ZONES[number % len(ZONES)]
        name = f"front-{zone}-{number // len(ZONES) + 1}"
        settings = self.directory / f"{name}.json"
        instance = Instance(name, zone, settings, "", self.directory / f"{name}.log")
        self._configure(instance)
        instance.start()
        self.instances.append(instance)

    def _configure(self, instance: Instance) -> None:
        """Write the settings of a machine as the platform does, with free ports."""
        front, ready, peers, metrics = (free_port() for _ in range(4))
        fields = {
            "node_name": instance.name,
            "region": "sk-central",
            "zone": instance.zone,
            "ip": HOST,
            "listen": {"front": f"{HOST}:{front}", "ready": f"{HOST}:{ready}"},
            "internal_ports": [peers, metrics],
            "platform": {"addr": f"{HOST}:{self.store.port}"},
            "limits": {
                "cores": 2,
                "cpu_share": 0.537,
                "link_mbps": 1000.0,
                "max_fds": 4100,
                "memory_mb": MEMORY_MB,
            },
            "bounds": {
                "grace_s": 6,
                "max_hold_ms": 10_000,
                "gang_wait_ms": 3000,
                "stop_grace_ms": 900,
                "reclaim_ms": 3400,
                "restore_ms": 600,
                "revoke_ms": 5000,
                "status_s": 120,
                "remote_factor": 3,
            },
        }
        template = (REPOSITORY / "deploy" / "settings.json5").read_text(encoding="utf-8")
        instance.settings.write_text(render(template, fields), encoding="utf-8")
        instance.front = f"{HOST}:{front}"

    async def supervise(self) -> None:
        """Restart processes that end, and end those that exceed their memory limit."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_SECONDS)
            for instance in self.instances:
                memory = instance.memory_mb()
                instance.peak_mb = max(instance.peak_mb, memory)
                if instance.process.poll() is None and memory > MEMORY_MB:
                    instance.memory_kills += 1
                    self.record("killed", instance=instance.name, memory_mb=round(memory))
                    instance.stop()
                    asyncio.get_running_loop().call_later(RESTART_SECONDS, instance.start)

    async def request(
        self, method: str, path: str, body: Any = None, key: str = "", timeout: float = 3.0
    ) -> Reply:
        """Send a client's request to the instances in turn; status 0 means no response."""
        instance = self.instances[self._next % len(self.instances)]
        self._next += 1
        host, _, port = instance.front.partition(":")
        data = b"" if body is None else encode(body)
        try:
            status, content = await asyncio.wait_for(
                self._exchange(host, int(port), method, path, data, key, timeout), timeout
            )
        except (TimeoutError, OSError, EOFError, ValueError):
            status, content = 0, {}
        self.record("request", to=instance.name, method=method, path=path, status=status)
        return status, content

    @staticmethod
    async def _exchange(
        host: str, port: int, method: str, path: str, data: bytes, key: str, timeout: float
    ) -> Reply:
        reader, writer = await asyncio.open_connection(host, port)
        try:
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: case.example\r\nConnection: close\r\n"
                f"Authorization: Token {key}\r\nX-Deadline-Ms: {timeout * 1000:.0f}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
            )
            writer.write(head.encode() + data)
            answer = await reader.read()
        finally:
            writer.close()
        if not answer:
            raise EOFError("the channel ended without a response")
        head, _, content = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(content or b"{}")

    async def submit(
        self, path: str, steps: list[dict[str, Any]], key: str, tries: int = 5, **fields: Any
    ) -> bool:
        """Hand in a job as a client does, and return whether it was accepted."""
        body = {"task_spec": "work", "steps": steps, **fields}
        for _ in range(tries):
            status, _ = await self.request("POST", path, body, key)
            if status in SUCCESS:
                return True
            await asyncio.sleep(1.0)
        return False

    async def wait_ready(self, path: str, key: str) -> None:
        """Wait until all instances answer requests.

        One that does not is started anew on other ports, as others may have taken its own.

        Raises
        ------
        TimeoutError
            If they do not within 25 s.
        """
        until, renew_at = time.monotonic() + 25.0, time.monotonic() + 8.0
        while True:
            bad = []
            for instance in self.instances:
                status, _ = await self.request("GET", path, key=key)
                if status not in SUCCESS:
                    bad.append(instance)
            if not bad:
                return
            if time.monotonic() > until:
                raise TimeoutError("the instances are not ready")
            if time.monotonic() > renew_at:
                renew_at += 8.0
                for instance in bad:
                    instance.stop()
                    self._configure(instance)
                    instance.start()
            await asyncio.sleep(0.3)

    def runs_of(self, job: str) -> list[tuple[str, str, int]]:
        """Return worker, task and number of the runs of a job."""
        return [
            (worker.name, task, number)
            for worker in self.workers.values()
            for task, number in worker.runs
            if task.startswith(job + ".")
        ]


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template as the platform does."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
    text = section.sub(lambda m: "" if find(m[1]) is None else m[2], template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(find(m[1])), text)


def start_case(folder: Path, run: Callable[[Case], Awaitable[int]]) -> int:
    """Run a case to its end and return its exit code: 1 broken, 0 held, 2 could not run."""

    async def main(directory: Path) -> int:
        # Connections that still wait when the case ends are of no interest.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        case = Case(directory, folder)
        await serve(case.store.handle, case.store.port)
        case.tasks.append(asyncio.create_task(case.store.expire_leases()))
        try:
            return await run(case)
        except (OSError, TimeoutError) as exc:
            case.record("error", reason=repr(exc))
            return 2
        finally:
            for task in case.tasks:
                task.cancel()
            for instance in case.instances:
                instance.stop()
            case.write_record()

    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(main(Path(directory)))
