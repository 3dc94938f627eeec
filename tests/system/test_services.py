"""Service requests through real processes whose endpoints fail."""

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
        cls.running = cls.enterClassContext(
            Deployment(BOOKING, Path(directory), [sys.executable, "-m", "chivefall"])
        )
        cls.endpoints = {item["instance"]: item["address"] for item in cls.running.endpoints}

    def send(self, body: Any, entry: str = "zarcero-1", **headers: str) -> tuple[int, Any]:
        """Return status and outcome of a request."""
        names = {f"X-Chivefall-{key}": value for key, value in headers.items()}
        address = self.running.entries[entry]["listen"]
        return call(address, "POST", PATH, body, {**HEADERS, **names})

    def faults(self, domain: str, **faults: Any) -> None:
        """Set the faults of a domain's endpoints."""
        for name, address in self.endpoints.items():
            if name.startswith(domain):
                call(address, "PUT", "/v1/faults", faults)

    def runs_of(self, body: Any) -> list[str]:
        """Return the endpoints that ran a request, once for each run."""
        return [
            name
            for name, address in self.endpoints.items()
            for ran in call(address, "GET", "/v1/executed")[1]["bodies"]
            if ran == body
        ]

    def test_crossed_answer(self) -> None:
        """Guards against another request's answer over real connections (G4, G6)."""
        self.faults("tarrazu", cross=1)
        status, outcome = self.send({"key": "crossed"}, "tarrazu-1")
        self.assertEqual((status, outcome["outcome"]), (504, "unknown"))
        self.assertEqual(len(self.runs_of({"key": "crossed"})), 1)
        self.faults("tarrazu")
        status, outcome = self.send({"key": "next"}, "tarrazu-1")
        self.assertEqual((status, outcome["answer"]["body"]), (200, {"key": "next"}))

    def test_leaving_and_refusing_endpoints(self) -> None:
        """Guards against work for endpoints that leave or ask for a pause (G5, G7)."""
        for entry, faults in (
            ("zarcero-1", {"leaving": True}),
            ("zarcero-2", {"refuse": -1, "retry_after": "60"}),
        ):
            with self.subTest(entry):
                self.faults("zarcero", **faults)
                for number in range(10):
                    body = {"key": entry, "number": number}
                    self.assertEqual(self.send(body, entry)[0], 200)
                    (ran,) = self.runs_of(body)
                    self.assertFalse(ran.startswith("zarcero"))
        self.faults("zarcero")

    def test_endpoint_dies_with_a_request(self) -> None:
        """Guards against a false "not run" and a second run when an endpoint dies (G5, G6)."""
        outcomes: list[tuple[int, Any]] = []
        body = {"key": "dies", "run_time": 5.0}

        def run() -> None:
            outcomes.append(self.send(body, "cartago-1"))

        thread = threading.Thread(target=run)
        thread.start()
        wait_until(lambda: self.runs_of(body), "the request runs")
        (name,) = self.runs_of(body)
        self.running.kill(name, signal.SIGKILL)
        address = self.endpoints.pop(name)
        thread.join(10)
        self.assertEqual([(code, item["outcome"]) for code, item in outcomes], [(504, "unknown")])
        self.assertEqual(self.runs_of(body), [])
        for number in range(10):
            status, _ = self.send({"key": "after", "number": number}, "cartago-1")
            self.assertEqual(status, 200)
        (item,) = [item for item in self.running.endpoints if item["instance"] == name]
        self.running.start_endpoint(item)
        self.endpoints[name] = address
        wait_until(lambda: not self.runs_of(body), "the endpoint is back")
