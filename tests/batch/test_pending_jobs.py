"""Number of pending jobs while starts fail, are late or are taken over.

A job is pending until a worker has confirmed a run of it.
"""

from __future__ import annotations

import unittest

from chivefall.batch import BatchOperation, JobState, PendingJobs, Resources, StepSpec
from chivefall.workers import OrderRefusalReason
from tests.batch.deployment import NORMAL, Deployment

JOBS = 6
TASK = StepSpec(1, Resources(4000, 16_000, 1), 3.0)
MAX_COUNT_SECONDS = 2.0  # after which the number has to follow


class PendingCount(unittest.TestCase):
    def setUp(self) -> None:
        self.sut = Deployment(instances=2, workers=1)
        self.sut.worker("w0").run_seconds = 3.0

    def submit(self) -> None:
        for number in range(JOBS):
            self.sut.submit(f"a{number}", TASK, instance=self.sut.leader)

    def pending(self) -> int:
        outcome = self.sut.call(
            BatchOperation.STATUS, NORMAL.prefix, instance=self.sut.instances[-1]
        )
        assert isinstance(outcome, PendingJobs), outcome
        return outcome.count

    def check_completion(self) -> None:
        self.sut.run(25.0)
        for number in range(JOBS):
            state = self.sut.state_of(f"a{number}", instance=self.sut.instances[-1])
            self.assertIs(state, JobState.COMPLETED)
        self.assertEqual(self.pending(), 0)

    def test_jobs_that_begin(self) -> None:
        """Guards against counting jobs whose tasks are at work."""
        self.submit()
        self.sut.run(0.5)
        self.assertEqual(self.pending(), 0)
        self.check_completion()

    def test_worker_that_is_cut_off_before_the_starts(self) -> None:
        """Guards against a number of 0 while no assigned job can begin."""
        self.sut.leader.client.unreachable.add("w0")
        self.submit()
        self.sut.run(MAX_COUNT_SECONDS)
        self.assertEqual(self.pending(), JOBS)
        self.sut.run(2.0)
        self.sut.leader.client.unreachable.clear()
        self.check_completion()

    def test_refused_starts(self) -> None:
        """Guards against jobs that are no longer counted after a start was refused."""
        self.sut.leader.client.refusals["w0"] = OrderRefusalReason.UNHEALTHY
        self.submit()
        self.sut.run(MAX_COUNT_SECONDS)
        self.assertEqual(self.pending(), JOBS)
        self.sut.leader.client.refusals.clear()
        self.check_completion()

    def test_takeover_before_the_starts(self) -> None:
        """Guards against a next leader that takes assigned jobs for begun ones."""
        for item in self.sut.instances:
            item.client.unreachable.add("w0")
        self.submit()
        self.sut.run(0.3)
        self.sut.leader.kill()
        self.sut.add_instance("i2").client.unreachable.add("w0")
        self.sut.run(6.0)
        self.assertEqual(self.pending(), JOBS)
        for item in self.sut.instances:
            item.client.unreachable.clear()
        self.check_completion()

    def test_takeover_of_a_job_that_was_counted_again(self) -> None:
        """Guards against a key that no leader removes, so that the job stays pending."""
        self.sut.worker("w0").run_seconds = 60.0
        leader = self.sut.leader
        leader.client.delayed.add("w0")
        self.submit()
        self.sut.run(MAX_COUNT_SECONDS)
        self.assertEqual(self.pending(), JOBS)
        leader.kill()
        self.sut.add_instance("i2")
        self.sut.run(6.0)
        self.assertEqual(len(self.sut.worker("w0").running), JOBS)
        self.assertEqual(self.pending(), 0)

    def test_lost_replies_of_the_store(self) -> None:
        """Guards against a count that a repeated write changes."""
        self.sut.leader.client.unreachable.add("w0")
        self.submit()
        for _ in range(4):
            self.sut.leader.store.lose_replies = 1
            self.sut.run(0.5)
        self.sut.run(1.0)
        self.assertEqual(self.pending(), JOBS)
        self.sut.leader.client.unreachable.clear()
        self.check_completion()


if __name__ == "__main__":
    unittest.main()
