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
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def receive_all(sock: socket.socket) -> bytes:
    """Return everything up to the end of a connection."""
    data = b""
    while part := sock.recv(65536):
        data += part
    return data


class ShutdownTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        directory = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.running = cls.enterClassContext(
            Deployment(BOOKING, Path(directory), [sys.executable, "-m", "chivefall"])
        )

    def address(self, name: str) -> str:
        """Return the caller address of an instance."""
        return self.running.entries[name]["listen"]

    def exchange(self, name: str, path: str, body: Any, answers: list[Any]) -> threading.Thread:
        """Send a request from a thread that keeps its answer."""

        def run() -> None:
            try:
                answers.append(call(self.address(name), "POST", path, body, HEADERS))
            except OSError as exc:
                answers.append(exc)

        thread = threading.Thread(target=run)
        thread.start()
        return thread

    def test_sigterm_cuts_no_request(self) -> None:
        """Guards against requests that a shutdown cuts (G8)."""
        name, process = "zarcero-1", self.running.processes["zarcero-1"]
        executed, recorded = self.executed(), self.recorded()
        services: list[Any] = []
        waits: list[Any] = []
        body = {"run_time": 1.5}
        threads = [self.exchange(name, SERVICE, body, services) for _ in range(20)]
        job = {"command": "sort", "gang_size": 8, "payload": {"run_time": 60.0}}
        threads += [self.exchange(name, "/v1/jobs?wait=1", job, waits) for _ in range(2)]
        host, port = self.address(name).split(":")
        kept = socket.create_connection((host, int(port)), 10)
        self.addCleanup(kept.close)
        wait_until(lambda: self.executed() >= executed + 20, "the service requests run")
        wait_until(lambda: self.recorded() >= recorded + 2, "the jobs are recorded")
        process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        wait_until(lambda: self.refuses(name), "no connections are accepted")
        kept.sendall(
            f"POST {SERVICE} HTTP/1.1\r\nHost: x\r\nX-Chivefall-Account: farmers\r\n"
            "Content-Length: 1\r\n\r\n1".encode()
        )
        head, _, refusal = receive_all(kept).partition(b"\r\n\r\n")
        self.assertIn(b"Connection: close", head)
        self.assertEqual(json.loads(refusal)["reason"], "shutting_down")
        for thread in threads:
            thread.join(30)
        self.assertEqual([status for status, _ in services], [200] * 20)
        self.assertEqual([status for status, _ in waits], [202] * 2, waits)
        self.assertEqual(process.wait(15), 0)
        self.assertLess(time.monotonic() - began, 15)
        other = self.address("zarcero-2")
        wait_until(lambda: self.knows(other, waits[0][1]["job_id"]), "the next leader has the job")

    def test_ends_within_the_grace_period_with_an_answer(self) -> None:
        """Guards against a process that waits for ever, and against a cut request (G8)."""
        name = "cartago-1"
        self.running.kill(name)
        self.running.entries[name]["timing"] = {"shutdown_grace": 4.0}
        self.running.start_entry(name)
        answers: list[Any] = []
        thread = threading.Thread()
        executed = self.executed()

        def accepted() -> bool:
            nonlocal thread
            thread = self.exchange(name, SERVICE, {"run_time": 20.0}, answers)
            thread.join(0.5)
            return thread.is_alive() and self.executed() > executed

        wait_until(accepted, "the request runs")
        answers.clear()
        self.running.processes[name].send_signal(signal.SIGTERM)
        began = time.monotonic()
        self.assertEqual(self.running.processes[name].wait(10), 0)
        self.assertLess(time.monotonic() - began, 4.5)
        thread.join(5)
        self.assertEqual({(code, body["outcome"]) for code, body in answers}, {(504, "unknown")})

    def test_second_signal_ends_at_once(self) -> None:
        """Guards against an operator who cannot end a process that drains."""
        name, process = "tarrazu-1", self.running.processes["tarrazu-1"]
        executed = self.executed()
        answers: list[Any] = []
        thread = self.exchange(name, SERVICE, {"run_time": 10.0}, answers)
        wait_until(lambda: self.executed() > executed, "the request runs")
        process.send_signal(signal.SIGTERM)
        wait_until(lambda: self.refuses(name), "no connections are accepted")
        self.assertIsNone(process.poll())
        process.send_signal(signal.SIGTERM)
        process.wait(3)
        thread.join(5)
        self.assertIsInstance(answers[0], OSError)

    def test_idle_instance_uses_no_processor_time(self) -> None:
        """Guards against a loop that spins while nothing happens."""
        pid = self.running.processes["cartago-2"].pid
        before, began = cpu_seconds(pid), time.monotonic()
        wait_until(lambda: time.monotonic() - began > 4, "4 s have passed")
        share = (cpu_seconds(pid) - before) / (time.monotonic() - began)
        print(f"idle instance: {share:.2%} of a core")
        self.assertLess(share, 0.023)

    def executed(self) -> int:
        """Return the number of service requests that the endpoints began."""
        return sum(
            len(call(item["address"], "GET", "/v1/executed")[1]["ids"])
            for item in self.running.endpoints
        )

    def recorded(self) -> int:
        """Return the number of jobs in the store."""
        path = "/v1/kv/jobs/?list=1"
        return len(call(self.running.store, "GET", path)[1]["entries"])

    def refuses(self, name: str) -> bool:
        """Return whether an instance accepts no connections."""
        host, port = self.address(name).split(":")
        try:
            socket.create_connection((host, int(port)), 1).close()
        except ConnectionRefusedError:
            return True
        return False

    def knows(self, address: str, job_id: str) -> bool:
        """Return whether an instance finds a job."""
        return call(address, "GET", f"/v1/jobs/{job_id}", None, HEADERS)[0] == 200
