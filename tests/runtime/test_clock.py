"""The clock of the loop."""

from __future__ import annotations

import time
import unittest
from unittest import mock

from chivefall.runtime import LoopClock


class LoopClockTest(unittest.TestCase):
    def test_suspension_of_the_machine_counts(self) -> None:
        """Guards against evidence and leases that seem fresh after a suspension.

        A revoked key would be accepted, since the desired state was confirmed a
        moment ago on a clock that stood still meanwhile.
        """
        clock = LoopClock()
        before = clock.now()
        real = time.clock_gettime

        def after_suspension(which: int) -> float:
            return real(which) + (60.0 if which == time.CLOCK_BOOTTIME else 0.0)

        with mock.patch("time.clock_gettime", after_suspension):
            self.assertGreaterEqual(clock.now() - before, 60.0)

    def test_timer_that_fell_due_meanwhile_runs_once(self) -> None:
        """Guards against timers that are lost or repeated after a suspension."""
        clock, calls = LoopClock(), []
        clock.call_later(5.0, lambda: calls.append(1))
        clock.run_due(clock.now() + 60.0)
        clock.run_due(clock.now() + 120.0)
        self.assertEqual(calls, [1])


if __name__ == "__main__":
    unittest.main()
