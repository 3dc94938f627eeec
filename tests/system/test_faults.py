"""Faults of real processes: kills, pauses, store outages and failure domains out of service."""

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
LEADER_LEASE_SECONDS = Timing().leader_lease
MAX_EVACUATION_DELAY_SECONDS = 5.0  # from the operators' change to the last start in the domain
FINAL_STATES = ("succeeded", "failed", "cancelled")


class FaultTest(unittest.TestCase):
    """Runs all tests on one deployment; each test restores it."""

    @classmethod
    def setUpClass(cls) -> None:
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.deployment = Deployment(
            BOOKING, Path(directory.name), [sys.executable, "-m", "chivefall"]
        )
        cls.deployment.start()
        cls.addClassCleanup(cls.deployment.stop)

    def setUp(self) -> None:
        self.deployment.wait_for_leaders()

    def address(self, name: str) -> str:
        return self.deployment.entries[name]["listen"]

    def submit(self, name: str, run_time: float, **options: Any) -> str:
        """Submit a gang of 8 at an instance and return the job's id."""
        job = {"command": "sort", "gang_size": 8, "payload": {"run_time": run_time}, **options}
        status, response = call(self.address(name), "POST", "/v1/jobs", job, HEADERS)
        self.assertEqual(status, 202, response)
        return response["job_id"]

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
        """Return the instance that last gained the leadership of a domain, by the logs."""
        latest: tuple[float, str] = (0.0, "")
        for name, item in self.deployment.entries.items():
            if item["failure_domain"] != domain or name not in self.deployment.processes:
                continue
            for line in Path(item["log_file"]).read_text(encoding="utf-8").splitlines():
                if "leadership_gained" in line:
                    timestamp = float(line.split('"timestamp":')[1].split(",")[0])
                    latest = max(latest, (timestamp, name))
        return latest[1]

    def peer_of(self, leader: str) -> str:
        """Return the other instance in the failure domain of a leader."""
        return f"{leader[:-1]}{'2' if leader.endswith('1') else '1'}"

    def test_killed_leader_loses_no_running_job(self) -> None:
        """Guards against running work that is lost or repeated when the leader is killed."""
        leader = self.leader("zarcero")
        peer = self.peer_of(leader)
        job_id = self.submit(leader, 12.0, idempotent=False)
        self.wait_for_state(leader, job_id, "running")
        self.deployment.kill(leader)
        self.addCleanup(self.deployment.start_entry, leader)
        record = self.wait_for_state(peer, job_id, *FINAL_STATES)
        self.assertEqual((record["state"], record["attempts"]), ("succeeded", 1))

    def test_paused_leader_loses_no_running_job(self) -> None:
        """Guards against a leader that acts on its expired lease after a pause."""
        leader = self.leader("tarrazu")
        peer = self.peer_of(leader)
        job_id = self.submit(leader, 20.0, idempotent=False)
        self.wait_for_state(leader, job_id, "running")
        self.deployment.kill(leader, signal.SIGSTOP)
        try:
            wait_until(
                lambda: self.leader("tarrazu") == peer,
                "the other instance leads",
                4 * LEADER_LEASE_SECONDS,
            )
        finally:
            self.deployment.kill(leader, signal.SIGCONT)
        record = self.wait_for_state(peer, job_id, *FINAL_STATES)
        self.assertEqual((record["state"], record["attempts"]), ("succeeded", 1))
        wait_until(
            lambda: (
                "leadership_lost" in Path(self.deployment.entries[leader]["log_file"]).read_text()
            ),
            "the paused leader steps down",
        )

    def test_store_outage_keeps_running_work(self) -> None:
        """Guards against running work or results that are lost during a store outage."""
        leader = self.leader("cartago")
        job_id = self.submit(leader, 4.0)
        self.wait_for_state(leader, job_id, "running")
        self.deployment.kill("store", signal.SIGSTOP)
        try:
            time.sleep(LEADER_LEASE_SECONDS + 2)
        finally:
            self.deployment.kill("store", signal.SIGCONT)
        record = self.wait_for_state(leader, job_id, *FINAL_STATES)
        self.assertEqual((record["state"], record["attempts"]), ("succeeded", 1))

    def test_domain_leaves_and_returns(self) -> None:
        """Guards against starts in a domain out of service and lost work of transferred jobs."""
        leader = self.leader("cartago")
        job_id = self.submit(leader, 15.0)
        self.wait_for_state(leader, job_id, "running")
        status, response = call(
            self.address("zarcero-1"), "POST", "/v1/failure-domains/cartago/out", None, TEAM
        )
        self.assertEqual(status, 200, response)
        evacuated_at = time.time()
        time.sleep(MAX_EVACUATION_DELAY_SECONDS)
        later = self.submit(leader, 0.1)
        self.assertEqual(self.wait_for_state(leader, later, *FINAL_STATES)["state"], "succeeded")
        record = self.wait_for_state("zarcero-1", job_id, *FINAL_STATES)
        self.assertEqual(record["state"], "succeeded")
        self.assertTrue(record["checkpoint"], "the work before the transfer was lost")
        workers = {name.partition("-")[0] for name in record["answer"]}
        self.assertNotIn("cartago", workers)
        status, response = call(
            self.address("tarrazu-1"), "POST", "/v1/failure-domains/cartago/in", None, TEAM
        )
        self.assertEqual(status, 200, response)
        returned_at = time.time()
        self.assertEqual(
            self.starts("cartago", evacuated_at + MAX_EVACUATION_DELAY_SECONDS, returned_at), []
        )
        wait_until(lambda: self.submit(leader, 0.1).startswith("cartago"), "cartago accepts jobs")

    def starts(self, domain: str, since: float, until: float) -> list[str]:
        """Return the log lines of job starts in a failure domain between two times."""
        found = []
        for item in self.deployment.entries.values():
            if item["failure_domain"] != domain:
                continue
            for line in Path(item["log_file"]).read_text(encoding="utf-8").splitlines():
                if "job_started" in line:
                    timestamp = float(line.split('"timestamp":')[1].split(",")[0])
                    if since < timestamp < until:
                        found.append(line)
        return found
