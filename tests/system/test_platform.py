"""Real processes on the stand-in of the platform."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.error
import urllib.request
from pathlib import Path

from standins.deployment import free_ports, wait_until

ROOT = Path(__file__).resolve().parents[2]
KEY = "secret"
CATALOG = {
    "version": 1,
    "routes": [
        {
            "name": "r-1",
            "host": "batch.example",
            "prefix": "/jobs/",
            "service": "pool",
            "priority": 0,
            "max_attempts": 2,
            "stretch": 1.5,
            "target_latency_ms": 250,
        }
    ],
    "services": [{"name": "pool"}],
    "tenants": [{"name": "farm", "api_keys": [KEY], "guaranteed": {"gpu": 8}}],
}
JOB = {"task_spec": "text", "steps": [{"count": 3, "cpu": 500, "mem_mb": 64, "gang": True}]}


class PlatformTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        (port,) = free_ports(1)
        self.platform = f"127.0.0.1:{port}"
        self._start("-m", "standins.platform", "--listen", self.platform)
        wait_until(lambda: self._control("GET", "history") is not None, "the stand-in responds")
        self._control("PUT", "key?key=op/config", CATALOG)
        self.instances: list[tuple[subprocess.Popen, str, str]] = []
        for number in range(2):
            self._start_instance(number)
        wait_until(
            lambda: all(self._is_ready(ready) for _, _, ready in self.instances),
            "all instances are ready",
        )

    def _start(self, *args: str) -> subprocess.Popen:
        with (self.directory / f"log-{len(list(self.directory.iterdir()))}").open("wb") as log:
            process = subprocess.Popen([sys.executable, *args], cwd=ROOT, stdout=log, stderr=log)
        self.addCleanup(process.wait, 10)
        self.addCleanup(process.kill)
        return process

    def _start_instance(self, number: int) -> None:
        address, ready, metrics, peer = (f"127.0.0.1:{port}" for port in free_ports(4))
        settings = {
            "instance": f"zarcero-{number}",
            "region": "meseta",
            "failure_domain": "zarcero",
            "listen": address,
            "peer_listen": peer,
            "store": self.platform,
            "log_file": "stdout",
            "timing": {"leader_lease": 1.5, "leader_renewal": 0.4, "shutdown_grace": 6},
            "batch": {"ready_listen": ready, "metrics_listen": metrics},
        }
        path = self.directory / f"settings-{number}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        process = self._start("-m", "chivefall", "run", "--settings", str(path))
        self.instances.append((process, address, ready))

    def _control(self, method: str, path: str, body: object = None) -> object:
        data = None if body is None else json.dumps(body).encode()
        req = urllib.request.Request(
            f"http://{self.platform}/control/{path}", data=data, method=method
        )
        try:
            with urllib.request.urlopen(req, timeout=2) as response:
                return json.load(response)
        except OSError:
            return None

    @staticmethod
    def _is_ready(address: str) -> bool:
        try:
            with urllib.request.urlopen(f"http://{address}/chivefall/ready", timeout=2) as response:
                return response.status == 200
        except OSError:
            return False

    def _call(
        self, method: str, path: str, body: object = None, instance: int = 0, key: str = KEY
    ) -> tuple[int, dict]:
        req = urllib.request.Request(
            f"http://{self.instances[instance][1]}{path}",
            data=None if body is None else json.dumps(body).encode(),
            method=method,
            headers={"Host": "batch.example", "Authorization": f"Token {key}"},
        )
        try:
            with urllib.request.urlopen(req, timeout=5) as response:
                return response.status, json.load(response)
        except urllib.error.HTTPError as exc:
            return exc.code, json.load(exc)

    def _has_started(self, job: str) -> bool:
        return any(row[2].startswith(job) for row in self._control("GET", "history"))

    def _state(self, job: str, instance: int) -> str:
        return self._call("GET", f"/jobs/{job}", instance=instance)[1].get("state", "")

    def test_job_runs_once_although_the_leader_is_killed(self) -> None:
        """Guards against wrong wire formats, and runs that are lost or repeated in a takeover."""
        self.assertEqual(self._call("POST", "/jobs/aa01", JOB)[0], 200)
        self.assertEqual(self._call("POST", "/jobs/aa01", JOB, instance=1)[0], 200)
        wait_until(lambda: self._state("aa01", 1) == "completed", "aa01 completes")
        self.assertEqual(self._call("POST", "/jobs/aa02", JOB, instance=1)[0], 200)
        wait_until(lambda: self._has_started("aa02"), "aa02 starts")
        self.instances[0][0].kill()
        wait_until(lambda: self._state("aa02", 1) == "completed", "aa02 completes")
        starts = [row[2] for row in self._control("GET", "history") if row[1] == "start"]
        self.assertEqual(len(starts), len(set(starts)))

    def test_refusals(self) -> None:
        """Guards against wrong status codes of refused requests."""
        self.assertEqual(self._call("GET", "/jobs/ff")[0], 410)
        self.assertEqual(self._call("GET", "/other/ff")[0], 404)
        self.assertEqual(self._call("GET", "/jobs/ff", key="other")[0], 401)
        self.assertEqual(self._call("POST", "/jobs/ff", {"steps": []})[0], 400)
        self.assertEqual(self._call("GET", "/jobs/")[1], {"pending": 0})

    def test_stop_and_reload_by_signal(self) -> None:
        """Guards against a reload that ends the process and a shutdown that interrupts requests."""
        process, _, ready = self.instances[0]
        process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        self.assertTrue(self._is_ready(ready))
        process.send_signal(signal.SIGTERM)
        wait_until(lambda: not self._is_ready(ready), "the instance is not ready")
        self.assertEqual(self._call("GET", "/jobs/")[0], 200)
        self.assertEqual(process.wait(8), 0)


if __name__ == "__main__":
    unittest.main()
