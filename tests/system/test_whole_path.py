"""The whole path as separate processes."""

from __future__ import annotations

import sys
import tempfile
import unittest
from pathlib import Path

from standins.deployment import Deployment, call
from standins.sizes import BOOKING


class WholePathTest(unittest.TestCase):
    def test_any_instance_serves_a_gang_and_an_urgent_job(self) -> None:
        """Guards against parts that work alone but not together."""
        headers = {"X-Chivefall-Account": "farmers"}
        gang = {"command": "sort", "gang_size": 8, "payload": {"run_time": 0.2}}
        with (
            tempfile.TemporaryDirectory() as directory,
            Deployment(BOOKING, Path(directory), [sys.executable, "-m", "chivefall"]) as running,
        ):
            for name, item in running.entries.items():
                with self.subTest(name):
                    status, answer = call(item["listen"], "POST", "/v1/jobs?wait=1", gang, headers)
                    self.assertEqual(status, 200, answer)
                    shares = answer["answer"]["answer"].values()
                    members = sorted(index for share in shares for index in share["members"])
                    self.assertEqual(members, list(range(8)))
            status, answer = call(item["listen"], "POST", "/v1/jobs", gang, {})
            self.assertEqual((status, answer["reason"]), (400, "bad_request"))
