"""Tests that the stand-in worker conforms to the platform's worker interface."""

from __future__ import annotations

import unittest

from chivefall.model import AccountId, AttemptId, DomainId, Epoch, JobId, TaskState, WorkerId
from chivefall.runtime import ManualClock, spawn
from chivefall.workers import CommandRefusalReason, LeaseRequest, TaskShare
from standins.worker import MAX_FINISHED_TASKS, CommandRefusedError, Faults, WorkerState

DOMAIN = DomainId("zarcero")


def share(attempt: str, accelerators: int = 1) -> TaskShare:
    """Return a share that runs for 10 s."""
    job, account = JobId("zarcero.1"), AccountId("farmers")
    return TaskShare(
        AttemptId(attempt), job, account, "sort", None, (0,), 1, accelerators, None, 10.0
    )


class WorkerStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.worker = WorkerState(WorkerId("w"), 8, self.clock)

    def run_task(self, attempt: str) -> None:
        """Reserve, commit and confirm a share."""
        self.worker.reserve(share(attempt), 5.0)
        self.worker.commit(attempt, 5.0)
        self.worker.confirm(attempt)

    def renew(self, seen: int = 0, ttl: float = 60.0, wait: float = 0.0, epoch: int = 1):
        return spawn(self.worker.renew(LeaseRequest(DOMAIN, Epoch(epoch), ttl, seen, wait)))

    def assert_refused(self, reason: CommandRefusalReason, command, *args: object) -> None:
        with self.assertRaises(CommandRefusedError) as caught:
            command(*args)
        self.assertIs(caught.exception.reason, reason)

    def test_refuses_duplicates_stale_epochs_and_oversized_shares(self) -> None:
        """Guards against running an attempt twice or for a superseded leader (G6)."""
        self.run_task("1")
        self.assert_refused(CommandRefusalReason.DUPLICATE, self.worker.reserve, share("1"), 5.0)
        self.clock.advance(20)
        self.assert_refused(CommandRefusalReason.DUPLICATE, self.worker.reserve, share("1"), 5.0)
        self.assert_refused(CommandRefusalReason.NO_ROOM, self.worker.reserve, share("2", 9), 5.0)
        self.worker.check_epoch(Epoch(7))
        self.assert_refused(CommandRefusalReason.STALE_EPOCH, self.worker.check_epoch, Epoch(6))

    def test_shares_end_with_their_leases(self) -> None:
        """Guards against shares that outlive their reservation, gang or worker lease."""
        self.worker.reserve(share("reserved"), 5.0)
        self.worker.reserve(share("unconfirmed"), 5.0)
        self.worker.commit("unconfirmed", 5.0)
        self.clock.advance(5)
        self.assertEqual(self.worker.free_accelerators, 8)
        self.renew(ttl=3.0)
        self.run_task("confirmed")
        self.renew(ttl=0.0)  # report without renewal
        self.clock.advance(2.5)
        self.assertEqual(self.worker.free_accelerators, 7)
        self.clock.advance(0.5)
        states = {report.attempt: report for report in self.worker.reports()}
        self.assertIs(states["confirmed"].state, TaskState.STOPPED)
        self.assertTrue(states["confirmed"].ran)
        self.assertFalse(states["reserved"].ran)

    def test_long_poll_reports_each_change_once(self) -> None:
        """Guards against lost or repeated reports."""
        seen = self.renew().result().sequence
        poll = self.renew(seen, wait=20.0)
        self.assertFalse(poll.done())
        self.run_task("1")
        self.assertEqual([task.attempt for task in poll.result().tasks], ["1"])
        latest = self.renew(poll.result().sequence).result()
        self.assertEqual(len(latest.tasks), 1)  # it changed again after the poll's response
        self.assertEqual(self.renew(latest.sequence).result().tasks, ())

    def test_finished_tasks_are_bounded(self) -> None:
        """Guards against a worker whose memory grows with every task."""
        for number in range(MAX_FINISHED_TASKS + 50):
            self.run_task(str(number))
            self.worker.stop(str(number))
        self.assertEqual(len(self.worker.reports()), MAX_FINISHED_TASKS)

    def test_failing_worker_reports_the_failure(self) -> None:
        """Guards against an injected fault that has no effect."""
        self.worker.faults = Faults(fail_tasks=True)
        self.run_task("1")
        self.clock.advance(0.1)
        self.assertIs(self.worker.reports()[0].state, TaskState.FAILED)
