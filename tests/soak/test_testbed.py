"""Expected exits of the processes of a soak test."""

from __future__ import annotations

import unittest
from pathlib import Path

from chivefall.config import Address
from chivefall.model import InstanceId
from soak._testbed import STOP_SLACK_SECONDS, TIMING, Instance

LIMIT = TIMING["shutdown_grace"] + STOP_SLACK_SECONDS
ADDRESS = Address("127.0.0.1", 1)


class InstanceTest(unittest.TestCase):
    def stopped_instance(self) -> Instance:
        """Return an instance that received SIGTERM at 100 s."""
        instance = Instance(InstanceId("i"), Path("s"), Path("l"), ADDRESS, ADDRESS)
        instance.stop_requested_at = 100.0
        return instance

    def test_exit_is_overdue_after_the_grace_period(self) -> None:
        """Guards against a process that hangs in its shutdown unnoticed."""
        instance = self.stopped_instance()
        self.assertFalse(instance.is_overdue(100.0 + LIMIT - 0.1))
        self.assertTrue(instance.is_overdue(100.0 + LIMIT + 0.1))

    def test_pause_during_the_shutdown_is_added(self) -> None:
        """Guards against a violation for a process that was paused and could not exit (345)."""
        instance = self.stopped_instance()
        instance.pause(103.0)
        self.assertFalse(instance.is_overdue(100.0 + LIMIT + 1.0))
        instance.resume(107.0)
        self.assertFalse(instance.is_overdue(104.0 + LIMIT - 0.1))
        self.assertTrue(instance.is_overdue(104.0 + LIMIT + 0.1))

    def test_pause_before_the_shutdown_counts_from_the_signal(self) -> None:
        """Guards against a limit that grows by a pause from before SIGTERM."""
        instance = self.stopped_instance()
        instance.pause(90.0)
        instance.resume(101.0)
        self.assertTrue(instance.is_overdue(101.0 + LIMIT + 0.1))


if __name__ == "__main__":
    unittest.main()
