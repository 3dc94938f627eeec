"""Tests of the clock of the event loop."""

from __future__ import annotations

import time
import unittest
from unittest import mock

from chivefall.runtime import LoopClock


class LoopClockTest(unittest.TestCase):
    def test_time_includes_suspension_of_the_machine(self) -> None:
        """Guards against confirmations and leases that seem recent after a suspension.

        On a clock that stops during the suspension, the desired state seems recently
        confirmed, so that a key revoked meanwhile is accepted.
        """
        clock = LoopClock()
        before = clock.now()
        real = time.clock_gettime

        def after_suspension(which: int) -> float:
            return real(which) + (60.0 if which == time.CLOCK_BOOTTIME else 0.0)

        with mock.patch("time.clock_gettime", after_suspension):
            self.assertGreaterEqual(clock.now() - before, 60.0)

    def test_error_of_a_timer_is_reported_and_the_others_run(self) -> None:
        """Guards against one unexpected error that holds up all other timers of a process."""
        clock, calls, errors = LoopClock(), [], []
        clock.on_error = errors.append
        clock.call_later(1.0, lambda: calls[0])
        clock.call_later(1.0, lambda: calls.append(1))
        self.assertEqual(clock.run_due(clock.now() + 2.0), 2)
        self.assertEqual((calls, [type(error) for error in errors]), ([1], [IndexError]))

    def test_timer_due_during_suspension_runs_once(self) -> None:
        """Guards against timers that are lost or repeated after a suspension."""
        clock, calls = LoopClock(), []
        clock.call_later(5.0, lambda: calls.append(1))
        clock.run_due(clock.now() + 60.0)
        clock.run_due(clock.now() + 120.0)
        self.assertEqual(calls, [1])


if __name__ == "__main__":
    unittest.main()
