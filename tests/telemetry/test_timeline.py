"""Tests of the timeline of a job."""

from __future__ import annotations

import unittest

from chivefall.telemetry import LogEvent, read_timeline
from tests.telemetry.test_log_summary import line

JOB = "9bb50a999f5ce698"


def run_line(at: float, event: LogEvent, index: int, **fields) -> str:
    """Return a log line about one run of the job."""
    return line(at, event, "i0", run=f"{JOB}.0.0.{index}#1", worker=f"w{index}", **fields)


class TimelineTest(unittest.TestCase):
    def shown(self, *lines: str) -> list[str]:
        return list(read_timeline(lines, JOB).format(0.0))

    def test_equal_events_of_many_runs_share_a_line(self) -> None:
        """Guards against a cause that is hidden among hundreds of lines, one for each task."""
        lines = [line(1.0, LogEvent.BATCH_JOB_READ, job=JOB)]
        lines += [run_line(1.0 + n / 1000, LogEvent.RUN_STARTED, n) for n in range(1, 300)]
        lines += [run_line(3.0, LogEvent.RUN_ENDED, 7, kind="failed", sequence=4)]
        lines += [
            run_line(4.0 + n / 1000, LogEvent.RUN_ENDED, n, kind="done", sequence=n)
            for n in range(1, 300)
            if n != 7
        ]
        shown = self.shown(*lines)
        self.assertEqual(len(shown), 4)
        self.assertIn("and 298 more until +1.299 s", shown[1])
        self.assertIn("kind failed", shown[2])
        self.assertIn("and 297 more", shown[3])

    def test_different_reasons_are_not_folded(self) -> None:
        """Guards against a fold that hides for whom a run was stopped."""
        shown = self.shown(
            run_line(1.0, LogEvent.RUN_STOPPED, 1, reason="preempted", beneficiary="00aa"),
            run_line(1.1, LogEvent.RUN_STOPPED, 2, reason="preempted", beneficiary="00aa"),
            run_line(1.2, LogEvent.RUN_STOPPED, 3, reason="preempted", beneficiary="00bb"),
        )
        self.assertEqual(len(shown), 2)
        self.assertIn("beneficiary 00aa", shown[0])
        self.assertIn("beneficiary 00bb", shown[1])

    def test_both_sides_of_a_preemption_show_it(self) -> None:
        """Guards against an urgent job whose timeline does not show what was stopped for it."""
        stop = run_line(1.0, LogEvent.RUN_STOPPED, 1, reason="preempted", beneficiary="00aa11")
        self.assertEqual(len(read_timeline([stop], "00aa11").entries), 1)
        self.assertEqual(len(read_timeline([stop], JOB).entries), 1)


if __name__ == "__main__":
    unittest.main()
