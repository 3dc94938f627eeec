"""The single-file executable."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import tempfile
import unittest
from pathlib import Path

from standins.deployment import call, free_ports, wait_until

ROOT = Path(__file__).resolve().parents[2]
BUILD_TIMEOUT_SECONDS = 300


def child_processes(pid: int) -> list[str]:
    """Return the ids of the child processes of a process."""
    return Path(f"/proc/{pid}/task/{pid}/children").read_text(encoding="ascii").split()


class BinaryTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.binary = self.directory / "chivefall"

    def _build(self) -> None:
        result = subprocess.run(
            ["bash", "tools/build_binary.sh", str(self.binary)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=BUILD_TIMEOUT_SECONDS,
            check=False,
        )
        self.assertEqual(result.returncode, 0, result.stderr)

    def _settings(self) -> tuple[Path, str]:
        listen, peer_listen, store = (f"127.0.0.1:{port}" for port in free_ports(3))
        path = self.directory / "settings.json"
        settings = {
            "instance": "zarcero-1",
            "region": "meseta-central",
            "failure_domain": "zarcero",
            "listen": listen,
            "peer_listen": peer_listen,
            "store": store,
        }
        path.write_text(json.dumps(settings), encoding="utf-8")
        return path, listen

    def test_runs_as_one_process(self) -> None:
        """Guards against an executable that fails to start or that starts a child process."""
        self._build()
        path, listen = self._settings()
        env = {**os.environ, "SHIV_ROOT": str(self.directory / "unpacked")}
        process = subprocess.Popen(
            [str(self.binary), "run", "--settings", str(path)],
            env=env,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            wait_until(lambda: call(listen, "GET", "/healthz")[0] == 200, "the instance responds")
            self.assertEqual(child_processes(process.pid), [])
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(10), 0)
        finally:
            process.kill()
            process.wait()
