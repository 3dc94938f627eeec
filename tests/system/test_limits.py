"""Limits that a daemon has to keep: memory and control traffic."""

from __future__ import annotations

import sys
import tempfile
import time
import unittest
from pathlib import Path

from standins.deployment import Deployment
from standins.sizes import ASSESSOR
from tools.measure_capacity import traffic, usage

MEMORY_LIMIT_MB = 64.0
TRAFFIC_LIMIT = 19_000.0  # bytes a second
SECONDS = 6.0


class LimitsTest(unittest.TestCase):
    def test_daemons_of_a_deployment(self) -> None:
        """Guards against memory and traffic that grow beyond the stated limits."""
        with (
            tempfile.TemporaryDirectory() as directory,
            Deployment(ASSESSOR, Path(directory), [sys.executable, "-m", "chivefall"]) as running,
        ):
            before = {name: self.sent(item["listen"]) for name, item in running.entries.items()}
            time.sleep(SECONDS)
            for name, item in running.entries.items():
                with self.subTest(name):
                    rate = (self.sent(item["listen"]) - before[name]) / SECONDS
                    self.assertGreater(rate, 0.0)
                    self.assertLess(rate, TRAFFIC_LIMIT)
                    memory = usage(running.processes[name].pid).resident_mb
                    self.assertLess(memory, MEMORY_LIMIT_MB)

    def sent(self, address: str) -> float:
        """Return the bytes that an instance sent and received."""
        found = traffic(address)
        return sum(value for key, value in found.items() if "control_bytes" in key)
