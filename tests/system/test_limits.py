"""Limits of a daemon: memory and control traffic."""

from __future__ import annotations

import sys
import tempfile
import time
import unittest
from pathlib import Path

from standins.deployment import Deployment
from standins.sizes import ASSESSOR
from tools.measure_capacity import read_traffic_counters, read_usage

MEMORY_LIMIT_MB = 64.0
TRAFFIC_LIMIT_BYTES_PER_SECOND = 19_000.0
MEASUREMENT_SECONDS = 6.0


class LimitsTest(unittest.TestCase):
    def test_daemons_of_a_deployment(self) -> None:
        """Guards against memory usage and control traffic above the stated limits."""
        with (
            tempfile.TemporaryDirectory() as directory,
            Deployment(
                ASSESSOR, Path(directory), [sys.executable, "-m", "chivefall"]
            ) as deployment,
        ):
            before = {
                name: self.control_bytes(item["listen"])
                for name, item in deployment.entries.items()
            }
            time.sleep(MEASUREMENT_SECONDS)
            for name, item in deployment.entries.items():
                with self.subTest(name):
                    rate = (self.control_bytes(item["listen"]) - before[name]) / MEASUREMENT_SECONDS
                    self.assertGreater(rate, 0.0)
                    self.assertLess(rate, TRAFFIC_LIMIT_BYTES_PER_SECOND)
                    memory = read_usage(deployment.processes[name].pid).resident_mb
                    self.assertLess(memory, MEMORY_LIMIT_MB)

    def control_bytes(self, address: str) -> float:
        """Return the control bytes that an instance has sent and received."""
        found = read_traffic_counters(address)
        return sum(value for key, value in found.items() if "control_bytes" in key)
