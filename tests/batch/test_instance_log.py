"""The instance and the time of log lines when several instances share a process."""

from __future__ import annotations

import unittest

from chivefall.batch import JobState, Resources, StepSpec
from chivefall.runtime import ManualClock
from tests.batch.deployment import Deployment
from tests.batch.instance_log import instance_log

RESOURCES = Resources(4_000, 16_000, 1)
RUN_SECONDS = 8.0
SETTLE_SECONDS = 15.0


class InstanceLog(unittest.TestCase):
    def setUp(self) -> None:
        clock = ManualClock()
        self.messages = []
        self.enterContext(instance_log(self.messages.append, clock))
        self.sut = Deployment(2, 1, clock=clock)
        self.sut.worker("w0").run_seconds = RUN_SECONDS

    def instances_of(self, event: str) -> list[str]:
        return [
            item["instance"]
            for item in self.messages
            if item.get("message_type", "").endswith(f":{event}")
        ]

    def test_run_that_the_next_leader_hears_of(self) -> None:
        """Guards against a line in the name of another instance.

        The timer that ends the run was set while the first leader started it.
        """
        first = self.sut.leader
        (second,) = [item for item in self.sut.instances if item is not first]
        self.sut.submit("b1", StepSpec(1, RESOURCES, RUN_SECONDS), instance=second)
        self.sut.run(2.0)
        first.kill()
        self.sut.run(SETTLE_SECONDS)
        self.assertIs(self.sut.leader, second)
        self.assertIs(self.sut.state_of("b1", instance=second), JobState.COMPLETED)
        self.assertEqual(self.instances_of("leadership_gained"), [first.name, second.name])
        self.assertEqual(self.instances_of("run_started"), [first.name])
        self.assertEqual(self.instances_of("run_ended"), [second.name])

    def test_time(self) -> None:
        """Guards against lines with the wall clock, which can't be put on a timeline."""
        self.sut.submit("b1", StepSpec(1, RESOURCES, RUN_SECONDS))
        self.sut.run(SETTLE_SECONDS)
        times = {
            item["message_type"].rpartition(":")[2]: item["timestamp"] for item in self.messages
        }
        self.assertAlmostEqual(times["run_ended"] - times["run_started"], RUN_SECONDS, delta=0.1)
        self.assertLessEqual(times["run_ended"], self.sut.clock.now())


if __name__ == "__main__":
    unittest.main()
