"""Reports that arrive after the session of their worker has ended."""

from __future__ import annotations

import unittest

from chivefall.batch import JobState, Resources, StepSpec
from chivefall.model import JobId
from standins.run_workers import make_worker_entry
from tests.batch.deployment import Deployment

RESOURCES = Resources(4_000, 16_000, 1)
RUN_SECONDS = 2.0
REPLY_SECONDS = 0.5
SETTLE_SECONDS = 15.0


class LateReport(unittest.TestCase):
    def test_report_of_a_replaced_worker(self) -> None:
        """Guards against a second run of a task whose success a report on its way lists."""
        sut = Deployment(workers=1)
        worker, client = sut.worker("w0"), sut.leader.client
        worker.run_seconds = RUN_SECONDS
        sut.submit("b1", StepSpec(1, RESOURCES, RUN_SECONDS))
        sut.run(1.0)
        client.reply_latency = REPLY_SECONDS
        while not worker.ends:
            sut.run(0.01)
        worker.crash()
        client.misdirected.add("w0")
        sut.submit("b2", StepSpec(1, RESOURCES, RUN_SECONDS))
        sut.run(REPLY_SECONDS)
        client.reply_latency = 0.0
        sut.delete("servers/w0")
        sut.add_worker(make_worker_entry("w1"))
        sut.run(SETTLE_SECONDS)
        self.assertIs(sut.state_of("b1"), JobState.COMPLETED)
        self.assertEqual(sum(map(len, sut.workers.starts_of(JobId("b1")).values())), 1)


if __name__ == "__main__":
    unittest.main()
