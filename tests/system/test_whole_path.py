"""End-to-end test of a deployment of separate processes."""

from __future__ import annotations

import sys
import tempfile
import unittest
from pathlib import Path

from standins.deployment import Deployment, call
from standins.sizes import BOOKING


class WholePathTest(unittest.TestCase):
    def test_every_instance_runs_a_gang(self) -> None:
        """Guards against components that work in isolation but not together."""
        headers = {"X-Chivefall-Account": "farmers"}
        gang = {"command": "sort", "gang_size": 8, "payload": {"run_time": 0.2}}
        with (
            tempfile.TemporaryDirectory() as directory,
            Deployment(BOOKING, Path(directory), [sys.executable, "-m", "chivefall"]) as deployment,
        ):
            for name, item in deployment.entries.items():
                with self.subTest(name):
                    status, response = call(
                        item["listen"], "POST", "/v1/jobs?wait=1", gang, headers
                    )
                    self.assertEqual(status, 200, response)
                    shares = response["answer"]["answer"].values()
                    members = sorted(index for share in shares for index in share["members"])
                    self.assertEqual(members, list(range(8)))
            status, response = call(item["listen"], "POST", "/v1/jobs", gang, {})
            self.assertEqual((status, response["reason"]), (400, "bad_request"))
