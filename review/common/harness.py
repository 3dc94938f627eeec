"""Starts a small deployment of separate processes on loopback addresses."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
COMMON = Path(__file__).resolve().parent
SITE = {  # settings of the platform for a machine of kotvica-ops, as far as the template uses them
    "region": "sk-central",
    "limits": {"cpu_share": 0.537, "cores": 2, "link_mbps": 1000.0, "max_fds": 4100},
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
ZONES = ("zilina", "banska", "martin")
KEY = "key-of-tenant-1"
OTHER_KEY = "key-of-tenant-2"
GUARANTEED = 16  # accelerators of each tenant
HOST = "jobs.example"
BROKEN, HELD, NOT_RUN = 1, 0, 2
OK = 200


def _look_up(fields: dict[str, Any], name: str) -> Any:
    value: Any = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
        if value is None:
            return None
    return value


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the sections and placeholders that the project's template uses."""
    section = re.compile(r"\{\{#([a-z_.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
    text = section.sub(
        lambda found: found[2] if _look_up(fields, found[1]) is not None else "", template
    )
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda found: str(_look_up(fields, found[1])), text)


def free_ports(count: int) -> list[int]:
    """Return distinct free ports."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def call(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, Any]:
    """Send a request; return status and body, or 0 and the error."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        conn.request(method, path, data, headers or {})
        response = conn.getresponse()
        return response.status, json.loads(response.read() or b"null")
    except (OSError, http.client.HTTPException, ValueError) as exc:
        return 0, repr(exc)
    finally:
        conn.close()


class Deployment:
    """Store, workers and instances as processes; a context manager that ends all of them."""

    def __init__(self, case: Path, workers: int, instances: int) -> None:
        self.record_path = case / "record.txt"
        self.record_path.write_text("")
        self._lock = threading.Lock()
        self._began = time.time()
        self._temp = tempfile.TemporaryDirectory(prefix="chivefall-review-")
        self.directory = Path(self._temp.name)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        ports = free_ports(1 + workers + 4 * instances)
        self.store = ports[0]
        self.workers = {
            f"w{number}": self._worker(number, ports[1 + number]) for number in range(workers)
        }
        rest = ports[1 + workers :]
        self.instances = {
            f"front-{number + 1}": rest[4 * number : 4 * number + 4] for number in range(instances)
        }

    def _worker(self, number: int, port: int) -> dict[str, Any]:
        zone = ZONES[number % len(ZONES)]
        return {
            "id": f"w{number}",
            "port": port,
            "store": self.store,
            "zone": zone,
            "rack": f"r{number % len(ZONES) + 1}-1",
            "kind": "a",
            "gpu": 8,
            "events": str(self.directory / "events.jsonl"),
            "faults": str(self.directory / f"faults-w{number}.json"),
        }

    def __enter__(self) -> Deployment:
        try:
            self._start()
        except BaseException:
            self._end()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self._end()

    def _start(self) -> None:
        self.spawn("store", [sys.executable, str(COMMON / "store.py"), str(self.store)])
        self.wait(lambda: call(self.store, "PUT", "/control/key?key=op/note", {})[0] == OK)
        self.operate("op/config", self.desired_state(1))
        for name in self.workers:
            self.start_worker(name)
        for name in self.instances:
            self.start_instance(name)
        for name in self.instances:
            self.wait(lambda name=name: self.is_ready(name))
        time.sleep(4)  # one of them leads and has read the workers' reports

    def desired_state(self, version: int) -> dict[str, Any]:
        """Return a desired state with two queues and two tenants."""
        queue = {
            "host": HOST,
            "service": "pool",
            "max_attempts": 3,
            "stretch": 3.0,
            "target_latency_ms": 1000,
        }
        return {
            "version": version,
            "routes": [
                {**queue, "name": "scans", "prefix": "/scans/", "priority": 1},
                {**queue, "name": "checks", "prefix": "/checks/", "priority": 0},
            ],
            "services": [{"name": "pool", "rejects_overload": False}],
            "tenants": [
                {"name": "tenant-1", "api_keys": [KEY], "guaranteed": {"gpu": GUARANTEED}},
                {"name": "tenant-2", "api_keys": [OTHER_KEY], "guaranteed": {"gpu": GUARANTEED}},
            ],
            "limits": {},
        }

    def operate(self, key: str, value: Any) -> None:
        """Write a key as the operator does."""
        status, _ = call(self.store, "PUT", f"/control/key?key={key}", value)
        if status != OK:
            raise RuntimeError(f"the store did not confirm {key}")

    def is_ready(self, name: str) -> bool:
        """Return whether an instance reports itself ready."""
        return call(self.instances[name][2], "GET", "/chivefall/ready", timeout=1)[0] == OK

    def start_worker(self, name: str) -> None:
        """Start a worker's process."""
        cfg = self.workers[name]
        self.spawn(name, [sys.executable, str(COMMON / "worker.py"), json.dumps(cfg)])

    def start_instance(self, name: str) -> None:
        """Start an instance with the command of the deploy file."""
        number = list(self.instances).index(name)
        ports = self.instances[name]
        fields = {
            **SITE,
            "node_name": name,
            "zone": ZONES[number % len(ZONES)],
            "ip": "127.0.0.1",
            "listen": {"front": f"127.0.0.1:{ports[0]}", "ready": f"127.0.0.1:{ports[2]}"},
            "internal_ports": [ports[1], ports[3]],
            "platform": {"addr": f"127.0.0.1:{self.store}"},
        }
        path = self.directory / f"{name}.json"
        path.write_text(render((ROOT / "deploy" / "settings.json5").read_text(), fields))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        command = ["python3", "-m", "chivefall", "run", "--settings", str(path)]
        self.spawn(name, command, env)

    def spawn(self, name: str, command: list[str], env: dict[str, str] | None = None) -> None:
        """Start a process whose output goes to a file."""
        with (self.directory / f"{name}.out").open("ab") as out:
            self.processes[name] = subprocess.Popen(
                command, stdout=out, stderr=subprocess.STDOUT, cwd=ROOT, env=env
            )

    def kill(self, name: str) -> None:
        """Kill a process."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def kill_worker(self, name: str) -> None:
        """Kill a worker's process."""
        self.kill(name)
        row = {"at": time.time(), "worker": name, "event": "killed"}
        with Path(self.workers[name]["events"]).open("a") as file:
            file.write(json.dumps(row) + "\n")

    def crash_worker(self, name: str) -> None:
        """Kill a worker's process and start it again under its id."""
        self.kill_worker(name)
        self.start_worker(name)
        port = self.workers[name]["port"]
        while call(port, "GET", "/health", timeout=1)[0] != OK:
            time.sleep(0.02)

    def wait(self, condition: Any, seconds: float = 20.0) -> None:
        """Wait until a condition holds."""
        limit = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > limit:
                raise TimeoutError("the deployment did not start in time")
            time.sleep(0.1)

    def record(self, text: str) -> None:
        """Append a line to the record."""
        with self._lock, self.record_path.open("a") as file:
            file.write(f"{time.time() - self._began:8.3f} {text}\n")

    def request(
        self,
        instance: str,
        method: str,
        name: str,
        body: Any = None,
        *,
        queue: str = "scans",
        key: str = KEY,
    ) -> tuple[int, Any]:
        """Send a client's request about a job and record it with its answer."""
        headers = {
            "Host": HOST,
            "Authorization": f"Token {key}",
            "Content-Type": "application/json",
            "X-Deadline-Ms": "3000",
        }
        path = f"/{queue}/{name}"
        status, answer = call(self.instances[instance][0], method, path, body, headers)
        self.record(f"{instance} {method} {path} -> {status} {json.dumps(answer)}")
        return status, answer

    def set_faults(self, worker: str, **faults: Any) -> None:
        """Set the faults of a worker."""
        Path(self.workers[worker]["faults"]).write_text(json.dumps(faults))
        self.record(f"faults of {worker}: {faults}")

    def events(self) -> list[dict[str, Any]]:
        """Return what the workers have seen, in order of time."""
        path = self.directory / "events.jsonl"
        rows = [json.loads(line) for line in path.read_text().splitlines() if line]
        return sorted(rows, key=lambda row: row["at"])

    def record_events(self) -> None:
        """Append the workers' events to the record."""
        for row in self.events():
            text = " ".join(f"{key}={value}" for key, value in row.items() if key != "at")
            with self._lock, self.record_path.open("a") as file:
                file.write(f"{row['at'] - self._began:8.3f} {text}\n")

    def _end(self) -> None:
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            for path in self.directory.glob("*.out"):
                (Path(os.environ["KEEP_LOGS"]) / path.name).write_bytes(path.read_bytes())
        self._temp.cleanup()


def _spans(events: list[dict[str, Any]]) -> dict[str, list[list[Any]]]:
    """Return begin, end, run, worker and lifetime of all runs by task."""
    spans: dict[str, list[list[Any]]] = {}
    for row in events:
        if row["event"] == "start":
            span = [row["at"], float("inf"), row["run"], row["worker"], row["born"]]
            spans.setdefault(row["task"], []).append(span)
        for rows in spans.values() if row["event"] == "killed" else ():
            for span in rows:
                if span[3] == row["worker"]:
                    span[1] = min(span[1], row["at"])
        for span in spans.get(row["task"], []) if row["event"] == "end" else ():
            if span[2:] == [row["run"], row["worker"], row["born"]]:
                span[1] = row["at"]
    return spans


def runs_at_once(events: list[dict[str, Any]]) -> list[str]:
    """Return where two runs of one task were at work at the same time, on workers that are up."""
    found = []
    for task, rows in _spans(events).items():
        rows.sort()
        for number, later in enumerate(rows):
            for earlier in rows[:number]:
                if later[0] < earlier[1]:
                    seconds = min(earlier[1], later[1]) - later[0]
                    found.append(
                        f"{task}: run {later[2]} began on {later[3]} while run {earlier[2]} was at"
                        f" work on {earlier[3]}, for {seconds:.3f} s"
                    )
    return found


def done_again(events: list[dict[str, Any]]) -> list[str]:
    """Return where a task started after a run had ended done and that end was noted.

    An end is noted when ``last_seen`` reaches it, unless the worker's lease expired between.
    """
    ended, done, lapses = {}, {}, {}
    for row in events:
        life = row["worker"], row.get("born")
        run = (*life, row.get("task"), row.get("run"))
        if row["event"] == "lapse":
            lapses[life] = row["at"]
        elif row["event"] == "end" and row["how"] == "done":
            ended[run] = row["at"]
        elif row["event"] == "noted" and lapses.get(life, 0) < ended.get(run, 0):
            done[row["task"]] = (ended[run], row)
    found = []
    for row in events:
        at, noted = done.get(row.get("task"), (row["at"], row))
        if row["event"] == "start" and row["at"] > at:
            found.append(
                f"{row['task']}: run {row['run']} began on {row['worker']} after run"
                f" {noted['run']} had ended done on {noted['worker']}, and that end was noted"
            )
    return found


def run_case(case: Any) -> None:
    """Run a case and exit with its result; a time-out ends all processes, too."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        code = case()
    except Exception as exc:  # noqa: BLE001
        print(f"the case could not run: {exc!r}")
        code = NOT_RUN
    sys.exit(code)
