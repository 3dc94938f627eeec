"""The checks of the soak notice what they are there for."""

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
    """Return a run of the only task."""
    return RunId(JOB, TaskKey(0, 0, 0), RunNumber(number))


def histories(*events: tuple[float, str, RunId]) -> list[IncarnationHistory]:
    """Return the history of one worker."""
    return [IncarnationHistory(WORKER, list(events), [])]


class Checks(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.oracle = Oracle(self.clock)
        self.now = self.clock.now()
        self.history = JobHistory(JOB, "/jobs/a1", accepted_at=self.now)
        self.oracle.job_histories[JOB] = self.history

    def found(self, *events: tuple[float, str, RunId]) -> str:
        self.oracle.check_runs(histories(*events), DOMAINS)
        return " ".join(self.oracle.violations)

    def test_sound_history(self) -> None:
        """Guards against reports without a fault."""
        events = ((1.0, "start", run(1)), (2.0, "failed", run(1)), (3.0, "start", run(2)))
        self.assertEqual(self.found(*events), "")

    def test_two_runs_at_once(self) -> None:
        """Guards against a soak that misses a task that runs twice."""
        self.assertIn("at once", self.found((1.0, "start", run(1)), (2.0, "start", run(2))))

    def test_start_after_an_end_that_was_noted(self) -> None:
        """Guards against a soak that misses work that is done again."""
        events = [(1.0, "start", run(1)), (2.0, "done", run(1)), (2.1, "noted", run(1))]
        self.assertIn("noted", self.found(*events, (3.0, "start", run(2))))

    def test_start_of_a_refused_job(self) -> None:
        """Guards against a soak that believes every refusal."""
        self.history.refused = True
        self.assertIn("refused", self.found((1.0, "start", run(1))))

    def test_start_long_after_a_cancel(self) -> None:
        """Guards against a soak that misses cancelled jobs that start."""
        self.history.cancelled_at = self.now
        self.assertEqual(self.found((self.now + 2.9, "start", run(1))), "")
        self.assertIn("cancelled", self.found((self.now + 3.1, "start", run(1))))

    def test_order_that_was_held_up(self) -> None:
        """Guards against a report of a start that a worker carried out late, and its run."""
        self.history.cancelled_at = self.now
        self.clock.advance(6.0)
        self.oracle.record_delayed_orders(WORKER, self.now)
        self.assertEqual(self.found((self.now + 6.0, "start", run(1))), "")
        self.oracle.check_cancelled_runs_ended(histories((self.now + 6.0, "start", run(1))))
        self.assertIn("runs on", " ".join(self.oracle.violations))

    def test_start_in_a_domain_out_of_service(self) -> None:
        """Guards against a soak that misses starts in an evacuated domain."""
        self.oracle.record_evacuation(DOMAINS[WORKER])
        self.assertEqual(self.found((self.now + 4.9, "start", run(1))), "")
        self.assertIn("out of service", self.found((self.now + 5.1, "start", run(1))))

    def test_revoked_key_and_forgotten_job(self) -> None:
        """Guards against answers that nobody compares with what was promised."""
        self.oracle.revoked_at = self.now
        self.oracle.check_key(self.now + 4.9, "i0")
        self.oracle.check_unknown_job(self.history, self.now + 2.9, "i0")
        self.assertFalse(self.oracle.violations)
        self.oracle.check_key(self.now + 5.1, "i0")
        self.oracle.check_unknown_job(self.history, self.now + 3.1, "i0")
        self.assertEqual(len(self.oracle.violations), 2)

    def test_soak_without_service(self) -> None:
        """Guards against a soak that passes because nothing ran."""
        self.oracle.check_completed_share()
        self.assertTrue(self.oracle.violations)


if __name__ == "__main__":
    unittest.main()
