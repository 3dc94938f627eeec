"""Acknowledgements of ends, which make a worker forget that a task is done."""

from __future__ import annotations

import unittest
from dataclasses import replace

from chivefall.batch import Incarnation, JobState, Resources, StepSpec
from chivefall.model import JobId
from standins.run_history import repeated_runs, run_spans
from tests.batch.deployment import Deployment

RESOURCES = Resources(4_000, 16_000, 1)
LONG_RUN_SECONDS = 2.0
SHORT_RUN_SECONDS = 0.2
SETTLE_SECONDS = 20.0
POLL_LATENCY_SECONDS = 0.5  # longer than a short run


class Acknowledgement(unittest.TestCase):
    def setUp(self) -> None:
        self.sut = Deployment(workers=1)
        self.set_run_seconds(LONG_RUN_SECONDS)
        # The leader has acknowledged ends of the first incarnation.
        self.sut.submit("a1", StepSpec(4, RESOURCES, LONG_RUN_SECONDS))
        self.sut.run(4.0)
        self.assertIs(self.sut.state_of("a1"), JobState.COMPLETED)

    def set_run_seconds(self, seconds: float) -> None:
        for worker in self.sut.workers.workers.values():
            worker.run_seconds = seconds

    def restart(self) -> None:
        """Restart the worker under its id; its entry still describes the former incarnation."""
        entry = self.sut.worker("w0").entry
        self.sut.workers.add(replace(entry, incarnation=Incarnation(entry.incarnation + 1)))
        self.set_run_seconds(SHORT_RUN_SECONDS)

    def check_runs_once(self) -> None:
        self.sut.list_worker(self.sut.worker("w0"))
        self.sut.run(SETTLE_SECONDS)
        self.assertEqual(list(repeated_runs(run_spans(self.sut.workers.histories()))), [])
        for task, starts in self.sut.workers.starts_of(JobId("b1")).items():
            self.assertEqual(len(starts), 1, task)
        self.assertIs(self.sut.state_of("b1"), JobState.COMPLETED)

    def test_end_in_the_next_incarnation_before_its_first_report(self) -> None:
        """Guards against an acknowledgement of ends of the incarnation before a restart.

        Sequences start anew, so the poll made the restarted worker forget an end that no
        report had listed, and the task ran again.
        """
        self.restart()
        self.sut.submit("b1", StepSpec(1, RESOURCES, SHORT_RUN_SECONDS))
        self.sut.leader.client.latency = POLL_LATENCY_SECONDS
        self.sut.run(2.0)
        self.sut.leader.client.latency = 0.0
        self.check_runs_once()


if __name__ == "__main__":
    unittest.main()
