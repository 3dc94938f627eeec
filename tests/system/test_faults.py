"""Failures of real processes: kills, pauses, store outages and domains out of service."""

from __future__ import annotations

import signal
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from chivefall.config import Timing
from standins.deployment import Deployment, call, wait_until
from standins.sizes import BOOKING

HEADERS = {"X-Chivefall-Account": "farmers"}
TEAM = {"X-Chivefall-Team": "oncall"}
LEASE = Timing().leader_lease
START_LIMIT = 5.0  # seconds after which no task may start in a domain that was taken out
FINAL = ("succeeded", "failed", "cancelled")


class FaultTest(unittest.TestCase):
    """Shares one deployment among the tests; each leaves it whole."""

    @classmethod
    def setUpClass(cls) -> None:
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.running = Deployment(BOOKING, Path(directory.name), [sys.executable, "-m", "chivefall"])
        cls.running.start()
        cls.addClassCleanup(cls.running.stop)

    def setUp(self) -> None:
        self.running.wait_for_leaders()

    def address(self, name: str) -> str:
        return self.running.entries[name]["listen"]

    def submit(self, name: str, run_time: float, **options: Any) -> str:
        """Submit a gang of 8 at an instance and return the job's id."""
        job = {"command": "sort", "gang_size": 8, "payload": {"run_time": run_time}, **options}
        status, answer = call(self.address(name), "POST", "/v1/jobs", job, HEADERS)
        self.assertEqual(status, 202, answer)
        return answer["job_id"]

    def record(self, name: str, job_id: str) -> dict[str, Any]:
        status, record = call(self.address(name), "GET", f"/v1/jobs/{job_id}")
        return record if status == 200 else {}

    def wait_for_state(self, name: str, job_id: str, *states: str, timeout: float = 40) -> dict:
        wait_until(
            lambda: self.record(name, job_id).get("state") in states,
            f"{job_id} is {' or '.join(states)}",
            timeout,
        )
        return self.record(name, job_id)

    def leader(self, domain: str) -> str:
        """Return the instance whose log shows the latest leadership of a domain."""
        latest: tuple[float, str] = (0.0, "")
        for name, item in self.running.entries.items():
            if item["failure_domain"] != domain or name not in self.running.processes:
                continue
            for line in Path(item["log_file"]).read_text(encoding="utf-8").splitlines():
                if "leadership_gained" in line:
                    stamp = float(line.split('"timestamp":')[1].split(",")[0])
                    latest = max(latest, (stamp, name))
        return latest[1]

    def other(self, leader: str) -> str:
        """Return the other instance of a leader's failure domain."""
        return f"{leader[:-1]}{'2' if leader.endswith('1') else '1'}"

    def test_killed_leader_loses_no_running_job(self) -> None:
        """Guards against work that is lost or run twice when its leader dies."""
        leader = self.leader("zarcero")
        other = self.other(leader)
        job_id = self.submit(leader, 12.0, idempotent=False)
        self.wait_for_state(leader, job_id, "running")
        self.running.kill(leader)
        self.addCleanup(self.running.start_entry, leader)
        record = self.wait_for_state(other, job_id, *FINAL)
        self.assertEqual((record["state"], record["attempts"]), ("succeeded", 1))

    def test_paused_leader_does_no_harm(self) -> None:
        """Guards against a leader that acts on its old lease after a pause."""
        leader = self.leader("tarrazu")
        other = self.other(leader)
        job_id = self.submit(leader, 20.0, idempotent=False)
        self.wait_for_state(leader, job_id, "running")
        self.running.kill(leader, signal.SIGSTOP)
        try:
            wait_until(lambda: self.leader("tarrazu") == other, "a peer leads", 4 * LEASE)
        finally:
            self.running.kill(leader, signal.SIGCONT)
        record = self.wait_for_state(other, job_id, *FINAL)
        self.assertEqual((record["state"], record["attempts"]), ("succeeded", 1))
        wait_until(
            lambda: "leadership_lost" in Path(self.running.entries[leader]["log_file"]).read_text(),
            "the paused leader steps down",
        )

    def test_store_outage_keeps_running_work(self) -> None:
        """Guards against running work that ends, or an answer that is lost, with the store."""
        leader = self.leader("cartago")
        job_id = self.submit(leader, 4.0)
        self.wait_for_state(leader, job_id, "running")
        self.running.kill("store", signal.SIGSTOP)
        try:
            time.sleep(LEASE + 2)
        finally:
            self.running.kill("store", signal.SIGCONT)
        record = self.wait_for_state(leader, job_id, *FINAL)
        self.assertEqual((record["state"], record["attempts"]), ("succeeded", 1))

    def test_domain_leaves_and_returns(self) -> None:
        """Guards against starts in a domain out of service and against work lost by a move."""
        leader = self.leader("cartago")
        job_id = self.submit(leader, 15.0)
        self.wait_for_state(leader, job_id, "running")
        status, answer = call(
            self.address("zarcero-1"), "POST", "/v1/failure-domains/cartago/out", None, TEAM
        )
        self.assertEqual(status, 200, answer)
        left_at = time.time()
        time.sleep(START_LIMIT)
        later = self.submit(leader, 0.1)
        self.assertEqual(self.wait_for_state(leader, later, *FINAL)["state"], "succeeded")
        record = self.wait_for_state("zarcero-1", job_id, *FINAL)
        self.assertEqual(record["state"], "succeeded")
        self.assertTrue(record["checkpoint"], "the work done before the move is kept")
        workers = {name.partition("-")[0] for name in record["answer"]}
        self.assertNotIn("cartago", workers)
        status, answer = call(
            self.address("tarrazu-1"), "POST", "/v1/failure-domains/cartago/in", None, TEAM
        )
        self.assertEqual(status, 200, answer)
        returned_at = time.time()
        self.assertEqual(self.starts("cartago", left_at + START_LIMIT, returned_at), [])
        wait_until(lambda: self.submit(leader, 0.1).startswith("cartago"), "cartago takes jobs")

    def starts(self, domain: str, since: float, until: float) -> list[str]:
        """Return the log lines of job starts by a domain's leaders in a period."""
        found = []
        for item in self.running.entries.values():
            if item["failure_domain"] != domain:
                continue
            for line in Path(item["log_file"]).read_text(encoding="utf-8").splitlines():
                if "job_started" in line:
                    stamp = float(line.split('"timestamp":')[1].split(",")[0])
                    if since < stamp < until:
                        found.append(line)
        return found
