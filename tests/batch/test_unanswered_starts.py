"""Starts that get no answer and are executed later, beside refused repetitions and stops."""

from __future__ import annotations

import unittest
from dataclasses import replace

from chivefall.batch import (
    START_ATTEMPTS,
    BatchOperation,
    Incarnation,
    JobState,
    JobStatus,
    Resources,
    StepSpec,
)
from chivefall.model import JobId
from chivefall.runtime import sleep
from chivefall.workers import NoResponse, OrderRefusalReason
from standins.run_history import late_starts, repeated_runs, run_spans
from tests.batch.deployment import Deployment

WHOLE_WORKER = Resources(32_000, 131_072, 8)
RUN_SECONDS = 6.0
FIRST_ATTEMPT_SECONDS = 0.4  # within which the first attempt of a start was sent, and no other
FIRST_TWO_ATTEMPTS_SECONDS = 1.4
ALL_ATTEMPTS_SECONDS = 2.3
RESPONSE_TIMEOUT_SECONDS = 0.8
CONFIRMED_STOP_SECONDS = 3.0  # until a stop is confirmed and a report does not list the run
LEASE_END_SECONDS = 7.0  # by which leases that the leader granted have ended
LONGEST_LEASE_SECONDS = 10.0  # that workers grant
SETTLE_SECONDS = 30.0


class UnansweredStart(unittest.TestCase):
    def setUp(self) -> None:
        self.sut = Deployment(workers=3)
        for worker in self.sut.workers.workers.values():
            worker.run_seconds = RUN_SECONDS
        self.client = self.sut.leader.client

    def submit(self, count: int = 2, **fields) -> None:
        self.sut.submit("a1", StepSpec(count, WHOLE_WORKER, RUN_SECONDS, **fields))

    def hold_starts(self, seconds: float, **fields) -> None:
        """Let a worker hold the starts of the next seconds, and execute them later."""
        self.client.delayed.add("w0")
        self.submit(**fields)
        self.sut.run(seconds)
        self.client.delayed.clear()

    def check_settled(self) -> None:
        """Check that the job completes and that no task had two runs at the same time."""
        self.sut.run(SETTLE_SECONDS)
        spans = run_spans(self.sut.workers.histories())
        self.assertEqual(list(repeated_runs(spans)), [])
        self.assertIs(self.sut.state_of("a1"), JobState.COMPLETED)
        for worker in self.sut.workers.workers.values():
            self.assertLessEqual(worker.peak_usage.accelerators, WHOLE_WORKER.accelerators)

    def test_refused_repetition(self) -> None:
        """Guards against a second run after a refusal that concerns only the last attempt."""
        # A worker that calls the run outdated refuses all starts of it, and a fenced leader
        # steps down.
        conclusive = (OrderRefusalReason.OUTDATED, OrderRefusalReason.FENCED)
        for reason in OrderRefusalReason:
            if reason in conclusive:
                continue
            with self.subTest(reason=reason):
                self.setUp()
                self.hold_starts(FIRST_ATTEMPT_SECONDS)
                self.client.refusals["w0"] = reason
                self.sut.run(1.5)
                self.client.refusals.clear()
                self.check_settled()

    def test_refused_repetition_in_a_gang(self) -> None:
        """Guards against a gang that runs elsewhere while a member of its last run begins."""
        self.hold_starts(FIRST_ATTEMPT_SECONDS, gang=True)
        self.client.refusals["w0"] = OrderRefusalReason.UNHEALTHY
        self.sut.run(1.5)
        self.client.refusals.clear()
        self.check_settled()

    def test_refused_stop(self) -> None:
        """Guards against taking a refused stop of an unanswered start for a confirmed one."""
        self.client.unreachable.add("w0")
        self.submit()
        self.sut.run(FIRST_TWO_ATTEMPTS_SECONDS)
        self.client.unreachable.clear()
        self.client.start_delay = 8.0
        self.client.delayed.add("w0")
        self.sut.run(ALL_ATTEMPTS_SECONDS - FIRST_TWO_ATTEMPTS_SECONDS)
        self.client.delayed.clear()
        self.client.refusals["w0"] = OrderRefusalReason.UNHEALTHY
        self.sut.run(2.0)
        self.client.refusals.clear()
        self.check_settled()

    def test_refused_first_attempt(self) -> None:
        """Guards against holding a task back although no start of it can be under way."""
        self.client.refusals["w0"] = OrderRefusalReason.UNHEALTHY
        self.submit()
        self.sut.run(0.5)
        starts = self.sut.workers.starts_of(JobId("a1"))
        self.assertEqual(sorted(len(rows) for rows in starts.values()), [1, 1])
        self.check_settled()

    def test_cancelled_job_whose_worker_refuses_stops(self) -> None:
        """Guards against a task that runs after its job was cancelled and a stop was refused."""
        self.hold_starts(ALL_ATTEMPTS_SECONDS)
        self.client.refusals["w0"] = OrderRefusalReason.UNHEALTHY
        outcome = self.sut.call(BatchOperation.CANCEL, "/normal/a1")
        self.assertEqual(outcome, JobStatus(JobState.CANCELLED))
        self.sut.run(1.0)
        self.client.refusals.clear()
        cancelled_at = self.sut.clock.now()
        self.sut.run(1.5)
        self.assertFalse(any(worker.running for worker in self.sut.workers.workers.values()))
        self.sut.run(SETTLE_SECONDS)
        spans = run_spans(self.sut.workers.histories())
        self.assertEqual(list(late_starts(spans, {JobId("a1"): cancelled_at})), [])

    def test_start_of_a_run_that_is_being_stopped(self) -> None:
        """Guards against repeating a start after the decision to stop its run.

        The repetition may reach the worker after the job is shown as cancelled or completed.
        """
        starts = []
        start = self.client.start

        async def count(worker, *args):
            if worker.worker_id == "w0":
                starts.append(self.sut.clock.now())
            return await start(worker, *args)

        self.client.start = count
        self.client.delayed.add("w0")
        self.submit()
        self.sut.run(FIRST_ATTEMPT_SECONDS)
        self.sut.call(BatchOperation.CANCEL, "/normal/a1")
        self.sut.run(ALL_ATTEMPTS_SECONDS)
        self.assertEqual(len(starts), 1)

    def test_stop_that_is_confirmed_before_a_restart(self) -> None:
        """Guards against a second run beside a start that the next incarnation executes.

        The worker confirms a stop of the unanswered start, restarts and forgets it.
        """
        late, start = [], self.client.start

        async def lose_starts(worker, order, permission):
            if worker.worker_id != "w0":
                return await start(worker, order, permission)
            late.append((order, permission))
            await sleep(self.sut.clock, RESPONSE_TIMEOUT_SECONDS)
            return NoResponse("no response in time")

        self.client.start = lose_starts
        self.submit()
        self.sut.run(ALL_ATTEMPTS_SECONDS)
        self.client.start = start
        self.assertEqual(len(late), START_ATTEMPTS)
        self.sut.leader.application.fleet.fleet.workers["w0"].avoided_until = float("inf")
        self.sut.run(CONFIRMED_STOP_SECONDS)
        entry = self.sut.worker("w0").entry
        self.sut.workers.add(replace(entry, incarnation=Incarnation(entry.incarnation + 1)))
        worker, (order, permission) = self.sut.worker("w0"), late[-1]
        worker.run_seconds = RUN_SECONDS
        worker.start(order, permission.epoch, WHOLE_WORKER)
        self.sut.list_worker(worker)
        self.check_settled()

    def test_worker_that_restarted_unnoticed_and_is_cut_off(self) -> None:
        """Guards against a second run after the lease end by the former incarnation's clock.

        The next incarnation may have executed the unanswered start. For its clock, which starts
        anew, the deadline is far away, so it grants its longest lease.
        """
        self.sut.run(LONGEST_LEASE_SECONDS)
        entry = self.sut.worker("w0").entry
        self.sut.workers.add(replace(entry, incarnation=Incarnation(entry.incarnation + 1)))
        self.sut.worker("w0").run_seconds = LONGEST_LEASE_SECONDS
        self.client.timeout, self.client.reply_latency = 0.8, 2.0
        self.submit()
        self.sut.run(0.1)
        self.client.unreachable.add("w0")
        self.client.reply_latency = 0.0
        self.check_settled()

    def test_start_that_is_not_sent(self) -> None:
        """Guards against holding a task back for the longest lease although no start was sent."""
        self.client.refusing.add("w0")
        self.submit()
        self.sut.run(LEASE_END_SECONDS)
        starts = self.sut.workers.starts_of(JobId("a1"))
        self.assertEqual(sorted(len(rows) for rows in starts.values()), [1, 1])
        self.check_settled()


if __name__ == "__main__":
    unittest.main()
