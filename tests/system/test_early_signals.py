"""Signals to real processes that have only just started."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from standins.deployment import free_ports, wait_until

ROOT = Path(__file__).resolve().parents[2]
DELAYS_SECONDS = (0.0, 0.1, 0.2, 0.3, 0.4, 0.5)  # a process runs its loop after about 0.6 s
EXIT_TIMEOUT_SECONDS = 10.0
SETTLE_SECONDS = 0.2  # in which a signal that ends a process shows
# Runs the program and reports on a pipe that its first import of a library begins. What the
# interpreter does before the first line of the program is not the program's to handle.
LAUNCHER = """
import os, runpy, sys

class Reporter:
    reported = False

    def find_spec(self, name, path=None, target=None):
        package = name.partition(".")[0]
        if not self.reported and package in ("typer", "circuits", "msgspec", "json5"):
            Reporter.reported = True
            os.write(int(sys.argv.pop()), b"x")

sys.meta_path.insert(0, Reporter())
runpy.run_module("chivefall", run_name="__main__", alter_sys=True)
"""


class EarlySignalsTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def start(self, *args: str) -> subprocess.Popen:
        """Start the program and return its process when it has begun to import libraries."""
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        with self.log.open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-c", LAUNCHER, *args, str(writing)],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                pass_fds=[writing],
            )
        os.close(writing)
        self.addCleanup(process.wait, EXIT_TIMEOUT_SECONDS)
        self.addCleanup(process.kill)
        self.assertEqual(os.read(reading, 1), b"x", "the program imports no library")
        return process

    @property
    def log(self) -> Path:
        return self.directory / "log"

    def start_instance(self, *, batch: bool) -> subprocess.Popen:
        listen, peer, store, ready, metrics = (f"127.0.0.1:{port}" for port in free_ports(5))
        settings = {
            "instance": "zarcero-0",
            "region": "meseta",
            "failure_domain": "zarcero",
            "listen": listen,
            "peer_listen": peer,
            "store": store,
            "log_file": "stdout",
            "timing": {"leader_lease": 1.5, "leader_renewal": 0.4, "shutdown_grace": 1},
        }
        if batch:
            settings["batch"] = {"ready_listen": ready, "metrics_listen": metrics}
        path = self.directory / "settings.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return self.start("run", "--settings", str(path))

    def has_logged(self, event: str) -> bool:
        return f":{event}" in self.log.read_text(encoding="utf-8")

    def check_hangup(self, delay: float, *, batch: bool) -> None:
        process = self.start_instance(batch=batch)
        time.sleep(delay)
        process.send_signal(signal.SIGHUP)
        wait_until(
            lambda: process.poll() is not None or self.has_logged("process_started"),
            "the instance runs",
        )
        time.sleep(SETTLE_SECONDS)
        self.assertIsNone(process.poll(), "the instance ended by SIGHUP")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(EXIT_TIMEOUT_SECONDS), 0)

    def check_termination(self, delay: float, *, batch: bool) -> None:
        process = self.start_instance(batch=batch)
        time.sleep(delay)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(EXIT_TIMEOUT_SECONDS), 0)
        self.assertTrue(self.has_logged("process_stopping"))
        self.assertTrue(self.has_logged("process_stopped"))

    def test_reload_during_the_start(self) -> None:
        """Guards against an instance that a reload ends, because it has only just started."""
        for delay in DELAYS_SECONDS:
            with self.subTest(delay):
                self.check_hangup(delay, batch=True)

    def test_stop_during_the_start(self) -> None:
        """Guards against an instance that is stopped during its start and reports a failure."""
        for delay in DELAYS_SECONDS:
            with self.subTest(delay):
                self.check_termination(delay, batch=True)

    def test_signals_to_an_instance_without_batch_jobs(self) -> None:
        """Guards against a mended daemon beside one that early signals still end."""
        for delay in (DELAYS_SECONDS[0], DELAYS_SECONDS[-1]):
            with self.subTest(delay):
                self.check_hangup(delay, batch=False)
                self.check_termination(delay, batch=False)

    def test_other_commands_can_be_interrupted(self) -> None:
        """Guards against commands that ignore signals, since only instances handle them later."""
        process = self.start("version")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(EXIT_TIMEOUT_SECONDS), -signal.SIGTERM)


if __name__ == "__main__":
    unittest.main()
