"""Shutdown of real processes with requests in progress."""

from __future__ import annotations

import json
import signal
import socket
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path
from typing import Any

from standins.deployment import Deployment, call, wait_until
from standins.sizes import BOOKING

HEADERS = {"X-Chivefall-Account": "farmers"}
SERVICE = "/v1/services/booking/requests"
TICKS_PER_SECOND = 100


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def receive_all(sock: socket.socket) -> bytes:
    """Return all bytes up to the end of a connection."""
    data = b""
    while part := sock.recv(65536):
        data += part
    return data


class ShutdownTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        directory = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.deployment = cls.enterClassContext(
            Deployment(BOOKING, Path(directory), [sys.executable, "-m", "chivefall"])
        )

    def address(self, name: str) -> str:
        """Return the address for callers of an instance."""
        return self.deployment.entries[name]["listen"]

    def post_in_thread(
        self, name: str, path: str, body: Any, responses: list[Any]
    ) -> threading.Thread:
        """Send a POST request from a new thread, which appends the response to a list."""

        def run() -> None:
            try:
                responses.append(call(self.address(name), "POST", path, body, HEADERS))
            except OSError as exc:
                responses.append(exc)

        thread = threading.Thread(target=run)
        thread.start()
        return thread

    def test_sigterm_interrupts_no_request(self) -> None:
        """Guards against requests that a shutdown interrupts (G8)."""
        name, process = "zarcero-1", self.deployment.processes["zarcero-1"]
        executed, recorded = self.executed_requests(), self.recorded_jobs()
        services: list[Any] = []
        waits: list[Any] = []
        body = {"run_time": 1.5}
        threads = [self.post_in_thread(name, SERVICE, body, services) for _ in range(20)]
        job = {"command": "sort", "gang_size": 8, "payload": {"run_time": 60.0}}
        threads += [self.post_in_thread(name, "/v1/jobs?wait=1", job, waits) for _ in range(2)]
        host, port = self.address(name).split(":")
        connection = socket.create_connection((host, int(port)), 10)
        self.addCleanup(connection.close)
        wait_until(lambda: self.executed_requests() >= executed + 20, "the service requests run")
        wait_until(lambda: self.recorded_jobs() >= recorded + 2, "the jobs are recorded")
        process.send_signal(signal.SIGTERM)
        started_at = time.monotonic()
        wait_until(lambda: self.refuses_connections(name), "no connections are accepted")
        connection.sendall(
            f"POST {SERVICE} HTTP/1.1\r\nHost: x\r\nX-Chivefall-Account: farmers\r\n"
            "Content-Length: 1\r\n\r\n1".encode()
        )
        head, _, refusal = receive_all(connection).partition(b"\r\n\r\n")
        self.assertIn(b"Connection: close", head)
        self.assertEqual(json.loads(refusal)["reason"], "shutting_down")
        for thread in threads:
            thread.join(30)
        self.assertEqual([status for status, _ in services], [200] * 20)
        self.assertEqual([status for status, _ in waits], [202] * 2, waits)
        self.assertEqual(process.wait(15), 0)
        self.assertLess(time.monotonic() - started_at, 15)
        other = self.address("zarcero-2")
        wait_until(
            lambda: self.finds_job(other, waits[0][1]["job_id"]), "the next leader finds the job"
        )

    def test_responds_and_exits_within_the_grace_period(self) -> None:
        """Guards against a shutdown without time limit, and requests without response (G8)."""
        name = "cartago-1"
        self.deployment.kill(name)
        self.deployment.entries[name]["timing"] = {"shutdown_grace": 4.0}
        self.deployment.start_entry(name)
        responses: list[Any] = []
        thread = threading.Thread()
        executed = self.executed_requests()

        def accepted() -> bool:
            nonlocal thread
            thread = self.post_in_thread(name, SERVICE, {"run_time": 20.0}, responses)
            thread.join(0.5)
            return thread.is_alive() and self.executed_requests() > executed

        wait_until(accepted, "the request runs")
        responses.clear()
        self.deployment.processes[name].send_signal(signal.SIGTERM)
        started_at = time.monotonic()
        self.assertEqual(self.deployment.processes[name].wait(10), 0)
        self.assertLess(time.monotonic() - started_at, 4.5)
        thread.join(5)
        self.assertEqual({(code, body["outcome"]) for code, body in responses}, {(504, "unknown")})

    def test_second_signal_ends_at_once(self) -> None:
        """Guards against a draining process that a second SIGTERM does not end."""
        name, process = "tarrazu-1", self.deployment.processes["tarrazu-1"]
        executed = self.executed_requests()
        responses: list[Any] = []
        thread = self.post_in_thread(name, SERVICE, {"run_time": 10.0}, responses)
        wait_until(lambda: self.executed_requests() > executed, "the request runs")
        process.send_signal(signal.SIGTERM)
        wait_until(lambda: self.refuses_connections(name), "no connections are accepted")
        self.assertIsNone(process.poll())
        process.send_signal(signal.SIGTERM)
        process.wait(3)
        thread.join(5)
        self.assertIsInstance(responses[0], OSError)

    def test_idle_instance_uses_little_cpu_time(self) -> None:
        """Guards against an event loop that spins while idle."""
        pid = self.deployment.processes["cartago-2"].pid
        before, started_at = cpu_seconds(pid), time.monotonic()
        wait_until(lambda: time.monotonic() - started_at > 4, "4 s have passed")
        share = (cpu_seconds(pid) - before) / (time.monotonic() - started_at)
        print(f"idle instance: {share:.2%} of a core")
        self.assertLess(share, 0.023)

    def executed_requests(self) -> int:
        """Return the number of service requests that the endpoints started."""
        return sum(
            len(call(item["address"], "GET", "/v1/executed")[1]["ids"])
            for item in self.deployment.endpoints
        )

    def recorded_jobs(self) -> int:
        """Return the number of jobs in the store."""
        path = "/v1/kv/jobs/?list=1"
        return len(call(self.deployment.store, "GET", path)[1]["entries"])

    def refuses_connections(self, name: str) -> bool:
        """Return whether an instance refuses connections."""
        host, port = self.address(name).split(":")
        try:
            socket.create_connection((host, int(port)), 1).close()
        except ConnectionRefusedError:
            return True
        return False

    def finds_job(self, address: str, job_id: str) -> bool:
        """Return whether an instance finds a job."""
        return call(address, "GET", f"/v1/jobs/{job_id}", None, HEADERS)[0] == 200
