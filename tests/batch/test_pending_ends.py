"""Ends of runs that an instance was told of and could not write while it led."""

from __future__ import annotations

import unittest

from chivefall.batch import JobState, Resources, StepSpec
from chivefall.controllers.batch._fleet import MAX_PENDING_END_AGE_SECONDS
from chivefall.model import JobId, WorkerId
from tests.batch.deployment import Deployment

RUN_SECONDS = 2.0
LEASES_EXPIRE_SECONDS = 14.0  # also those of a worker that a new leader never reaches


class PendingEnds(unittest.TestCase):
    def setUp(self) -> None:
        self.sut = Deployment(workers=2)
        for name in ("w0", "w1"):
            self.sut.worker(name).run_seconds = RUN_SECONDS
        self.sut.submit("0a", StepSpec(1, Resources(1000, 1000, 1), RUN_SECONDS))
        self.sut.run(0.5)

    def lose_the_leadership_after_the_end(self, seconds: float) -> None:
        """Let the run end while the store is away, then lead again without its worker."""
        leader = self.sut.leader
        starts = self.sut.workers.starts_of(JobId("0a"))
        self.assertEqual([len(runs) for runs in starts.values()], [1])
        name = next(name for name in ("w0", "w1") if self.sut.worker(name).running)
        leader.store.down = True
        self.sut.run(RUN_SECONDS)
        leader.client.unreachable.add(WorkerId(name))
        leader.application.leader.step_down("the test ends the leadership")
        self.sut.run(seconds)
        leader.store.down = False
        self.sut.run(LEASES_EXPIRE_SECONDS)

    def runs(self) -> int:
        return sum(len(runs) for runs in self.sut.workers.starts_of(JobId("0a")).values())

    def test_end_reported_before_the_leadership_was_lost(self) -> None:
        """Guards against a task that runs again although its leader was told of its success."""
        self.lose_the_leadership_after_the_end(1.0)
        self.assertEqual(self.runs(), 1)
        self.assertEqual(self.sut.state_of("0a"), JobState.COMPLETED)

    def test_old_end(self) -> None:
        """Guards against an end that is applied to a later job with the same id."""
        self.lose_the_leadership_after_the_end(MAX_PENDING_END_AGE_SECONDS + 1.0)
        self.assertEqual(self.runs(), 2)


if __name__ == "__main__":
    unittest.main()
