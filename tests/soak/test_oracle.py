"""The checks of the soak test report violations, and only those."""

from __future__ import annotations

import unittest

from chivefall.batch import RunId, RunNumber, TaskKey
from chivefall.model import DomainId, JobId, WorkerId
from chivefall.runtime import ManualClock
from soak._oracle import JobHistory, Oracle
from standins.run_history import IncarnationHistory

JOB, WORKER = JobId("a1"), WorkerId("w0")
DOMAINS = {WORKER: DomainId("zarcero")}


def run(number: int) -> RunId:
    """Return a run of the job's only task."""
    return RunId(JOB, TaskKey(0, 0, 0), RunNumber(number))


def histories(*events: tuple[float, str, RunId]) -> list[IncarnationHistory]:
    """Return the histories of one incarnation of a worker."""
    return [IncarnationHistory(WORKER, list(events), [])]


class OracleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.oracle = Oracle(self.clock)
        self.now = self.clock.now()
        self.history = JobHistory(JOB, "/jobs/a1", accepted_at=self.now)
        self.oracle.job_histories[JOB] = self.history

    def violations(self, *events: tuple[float, str, RunId]) -> str:
        self.oracle.check_runs(histories(*events), DOMAINS)
        return " ".join(self.oracle.violations)

    def test_correct_history(self) -> None:
        """Guards against violations reported for a correct history."""
        events = ((1.0, "start", run(1)), (2.0, "failed", run(1)), (3.0, "start", run(2)))
        self.assertEqual(self.violations(*events), "")

    def test_two_runs_at_once(self) -> None:
        """Guards against undetected concurrent runs of a task."""
        self.assertIn("overlap", self.violations((1.0, "start", run(1)), (2.0, "start", run(2))))

    def test_start_after_acknowledged_success(self) -> None:
        """Guards against undetected repetition of completed work."""
        events = [(1.0, "start", run(1)), (2.0, "done", run(1)), (2.1, "noted", run(1))]
        self.assertIn("acknowledged", self.violations(*events, (3.0, "start", run(2))))

    def test_start_of_a_refused_job(self) -> None:
        """Guards against undetected starts of jobs whose submission was refused."""
        self.history.refused = True
        self.assertIn("refused", self.violations((1.0, "start", run(1))))

    def test_start_long_after_a_cancel(self) -> None:
        """Guards against undetected starts of cancelled jobs."""
        self.history.cancelled_at = self.now
        self.assertEqual(self.violations((self.now + 2.9, "start", run(1))), "")
        self.assertIn("cancelled", self.violations((self.now + 3.1, "start", run(1))))

    def test_delayed_order(self) -> None:
        """Guards against reporting a start delayed in transit and missing a run that goes on."""
        self.history.cancelled_at = self.now
        self.clock.advance(6.0)
        self.oracle.record_delayed_orders(WORKER, self.now)
        self.assertEqual(self.violations((self.now + 6.0, "start", run(1))), "")
        self.oracle.check_cancelled_runs_ended(histories((self.now + 6.0, "start", run(1))))
        self.assertIn("still runs", " ".join(self.oracle.violations))

    def test_start_in_a_domain_out_of_service(self) -> None:
        """Guards against undetected starts in an evacuated failure domain."""
        self.oracle.record_evacuation(DOMAINS[WORKER])
        self.assertEqual(self.violations((self.now + 4.9, "start", run(1))), "")
        self.assertIn("out of service", self.violations((self.now + 5.1, "start", run(1))))

    def test_revoked_key_and_lost_job(self) -> None:
        """Guards against undetected use of a revoked key and undetected loss of an accepted job."""
        self.oracle.revoked_at = self.now
        self.oracle.check_revoked_key(self.now + 4.9, "i0")
        self.oracle.check_unknown_job(self.history, self.now + 2.9, "i0")
        self.assertFalse(self.oracle.violations)
        self.oracle.check_revoked_key(self.now + 5.1, "i0")
        self.oracle.check_unknown_job(self.history, self.now + 3.1, "i0")
        self.assertEqual(len(self.oracle.violations), 2)

    def test_soak_without_completed_jobs(self) -> None:
        """Guards against a soak test that passes although nothing ran."""
        self.oracle.check_completed_share()
        self.assertTrue(self.oracle.violations)


if __name__ == "__main__":
    unittest.main()
