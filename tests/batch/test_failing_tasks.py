"""Tasks that fail on every worker, beside work of others.

Load: a task that lasts fails soon after each start, and gangs need most of the workers.
"""

from __future__ import annotations

import unittest
from itertools import pairwise

from chivefall.batch import BatchJob, EndKind, JobState, Resources, StepSpec
from chivefall.model import JobId
from tests.batch.deployment import NORMAL, Deployment

WORKERS = 7
SMALL = Resources(1000, 1000, 1)
WHOLE_WORKER = Resources(32_000, 131_072, 8)
FAIL_SECONDS = 0.4
GANG_SECONDS = 2.0
MAX_RESTART_SECONDS = 3.0


class FailingTask(unittest.TestCase):
    def setUp(self) -> None:
        self.sut = Deployment(workers=WORKERS)
        for worker in self.sut.workers.workers.values():
            worker.run_seconds = GANG_SECONDS
        self.sut.clock.call_later(0.0, self.fail_runs)

    def fail_runs(self) -> None:
        """End each run of the job ``f1`` as failed soon after its start."""
        for worker in self.sut.workers.workers.values():
            for run, item in list(worker.running.items()):
                if run.job == "f1" and self.sut.clock.now() - item.started_at >= FAIL_SECONDS:
                    worker._end(run, EndKind.FAILED)
        self.sut.clock.call_later(0.05, self.fail_runs)

    def submit_failing(self, **fields) -> BatchJob:
        self.sut.submit("f1", StepSpec(1, SMALL, 60.0, **fields))
        self.sut.run(8.0)
        return self.sut.leader.application.scheduler.jobs["f1"].job

    def test_gang_beside_a_failing_task(self) -> None:
        """Guards against sound workers that are avoided because one task fails everywhere."""
        self.submit_failing(long_running=True)
        self.sut.submit("a1", StepSpec(3, WHOLE_WORKER, GANG_SECONDS, gang=True))
        self.sut.run(GANG_SECONDS + 1.0)
        self.assertIs(self.sut.state_of("a1"), JobState.COMPLETED)

    def test_restarts_back_off(self) -> None:
        """Guards against a start every few tenths of a second, and against too long a pause."""
        self.submit_failing(long_running=True)
        self.sut.run(20.0)
        times = [at for at, _ in self.sut.workers.starts_of(JobId("f1"))[(0, 0, 0)]]
        pauses = [later - at - FAIL_SECONDS for at, later in pairwise(times)]
        self.assertGreater(min(pauses[6:]), 1.5)
        self.assertLess(max(pauses), MAX_RESTART_SECONDS)

    def test_task_that_fails_after_hours(self) -> None:
        """Guards against delaying the restart of a task that worked until it failed."""
        job = self.submit_failing(long_running=True)
        task, now = job.group(0, 0)[0], self.sut.clock.now() + 5.0
        job.release(task.key, task.last_run_number)
        (run,) = job.assign([(task.key, "w0", 1)], now)
        self.assertTrue(job.end_run(run, EndKind.FAILED, "", now + 3600.0))
        self.assertLess(task.earliest_retry, now + 3600.0)
        self.assertEqual(task.early_failures, 0)

    def test_task_that_fails_for_days(self) -> None:
        """Guards against a delay that grows beyond what a number can hold."""
        job = self.submit_failing(long_running=True)
        task, now = job.group(0, 0)[0], self.sut.clock.now() + 5.0
        job.release(task.key, task.last_run_number)
        for _ in range(3000):
            (run,) = job.assign([(task.key, "w0", 1)], now)
            now += FAIL_SECONDS
            self.assertTrue(job.end_run(run, EndKind.FAILED, "", now))
        self.assertLess(task.earliest_retry - now, MAX_RESTART_SECONDS)

    def test_failures_on_few_workers(self) -> None:
        """Guards against placing on workers that fail the first runs of every task."""
        worker = self.sut.leader.application.fleet.fleet.workers
        self.submit_failing()
        self.assertEqual(sum(item.bad_runs > 0 for item in worker.values()), 2)
        self.assertIs(self.sut.state_of("f1", NORMAL), JobState.FAILED)


if __name__ == "__main__":
    unittest.main()
