"""Service requests through real processes to failing endpoints."""

from __future__ import annotations

import signal
import sys
import tempfile
import threading
import unittest
from pathlib import Path
from typing import Any

from standins.deployment import Deployment, call, wait_until
from standins.sizes import BOOKING

PATH = "/v1/services/booking/requests"
HEADERS = {"X-Chivefall-Account": "farmers", "X-Chivefall-Timeout": "10"}


class ServiceTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        directory = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.deployment = cls.enterClassContext(
            Deployment(BOOKING, Path(directory), [sys.executable, "-m", "chivefall"])
        )
        cls.endpoints = {item["instance"]: item["address"] for item in cls.deployment.endpoints}

    def send(self, body: Any, entry: str = "zarcero-1", **headers: str) -> tuple[int, Any]:
        """Send a request and return its status and outcome."""
        names = {f"X-Chivefall-{key}": value for key, value in headers.items()}
        address = self.deployment.entries[entry]["listen"]
        return call(address, "POST", PATH, body, {**HEADERS, **names})

    def set_faults(self, domain: str, **faults: Any) -> None:
        """Set the faults of the endpoints of a failure domain."""
        for name, address in self.endpoints.items():
            if name.startswith(domain):
                call(address, "PUT", "/v1/faults", faults)

    def endpoints_that_ran(self, body: Any) -> list[str]:
        """Return the endpoints that ran a request, once for each run."""
        return [
            name
            for name, address in self.endpoints.items()
            for ran in call(address, "GET", "/v1/executed")[1]["bodies"]
            if ran == body
        ]

    def test_crossed_response(self) -> None:
        """Guards against the response of another request on a real connection (G4, G6)."""
        self.set_faults("tarrazu", cross=1)
        status, outcome = self.send({"key": "crossed"}, "tarrazu-1")
        self.assertEqual((status, outcome["outcome"]), (504, "unknown"))
        self.assertEqual(len(self.endpoints_that_ran({"key": "crossed"})), 1)
        self.set_faults("tarrazu")
        status, outcome = self.send({"key": "next"}, "tarrazu-1")
        self.assertEqual((status, outcome["answer"]["body"]), (200, {"key": "next"}))

    def test_leaving_and_refusing_endpoints(self) -> None:
        """Guards against requests to endpoints that are leaving or set Retry-After (G5, G7)."""
        for entry, faults in (
            ("zarcero-1", {"leaving": True}),
            ("zarcero-2", {"refuse": -1, "retry_after": "60"}),
        ):
            with self.subTest(entry):
                self.set_faults("zarcero", **faults)
                for number in range(10):
                    body = {"key": entry, "number": number}
                    self.assertEqual(self.send(body, entry)[0], 200)
                    (ran,) = self.endpoints_that_ran(body)
                    self.assertFalse(ran.startswith("zarcero"))
        self.set_faults("zarcero")

    def test_endpoint_killed_during_a_request(self) -> None:
        """Guards against a wrong "not run" or a second run when an endpoint is killed (G5, G6)."""
        outcomes: list[tuple[int, Any]] = []
        body = {"key": "dies", "run_time": 5.0}

        def run() -> None:
            outcomes.append(self.send(body, "cartago-1"))

        thread = threading.Thread(target=run)
        thread.start()
        wait_until(lambda: self.endpoints_that_ran(body), "the request runs")
        (name,) = self.endpoints_that_ran(body)
        self.deployment.kill(name, signal.SIGKILL)
        address = self.endpoints.pop(name)
        thread.join(10)
        self.assertEqual([(code, item["outcome"]) for code, item in outcomes], [(504, "unknown")])
        self.assertEqual(self.endpoints_that_ran(body), [])
        for number in range(10):
            status, _ = self.send({"key": "after", "number": number}, "cartago-1")
            self.assertEqual(status, 200)
        (item,) = [item for item in self.deployment.endpoints if item["instance"] == name]
        self.deployment.start_endpoint(item)
        self.endpoints[name] = address
        wait_until(lambda: not self.endpoints_that_ran(body), "the endpoint responds")
