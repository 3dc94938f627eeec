"""Tests of the time series extracted from logs."""

from __future__ import annotations

import json
import unittest

from chivefall.telemetry import LogEvent, LogSummary, Point, summarize


def line(at: float, event: LogEvent, instance: str = "i0", **fields) -> str:
    """Return a log line in the format that an instance writes."""
    kind = f"chivefall:{event.number}:{event.name.lower()}"
    return json.dumps({"timestamp": at, "message_type": kind, "instance": instance, **fields})


def answered(at: float, status: int, detail: str = "") -> str:
    """Return the log line of an answered request."""
    return line(at, LogEvent.BATCH_ANSWERED, status=status, detail=detail, catalog_age=1.5)


class LogSummaryTest(unittest.TestCase):
    def summarize(self, *lines: str) -> LogSummary:
        return summarize(lines)

    def test_waits_refusals_catalog_ages_and_leaderships(self) -> None:
        """Guards against a summary without waiting times, refusals or catalog ages."""
        found = self.summarize(
            line(5.0, LogEvent.BATCH_JOB_STATE, state="running", queue="q", seconds=0.3),
            line(9.0, LogEvent.BATCH_JOB_STATE, state="completed", queue="q", seconds=4.3),
            answered(1.0, 200),
            answered(2.0, 503, "the store does not respond"),
            line(3.0, LogEvent.LEADERSHIP_GAINED, "i1"),
        )
        self.assertEqual(found.waits, {"q": [Point(5.0, 0.3)]})
        self.assertEqual(found.refusals, {"503 the store does not respond": [2.0]})
        self.assertEqual(found.catalog_ages, {"i0": [Point(1.0, 1.5), Point(2.0, 1.5)]})
        self.assertEqual(found.leaderships, [(3.0, "i1")])
        self.assertEqual((found.begin, found.end, found.instances), (1.0, 9.0, {"i0", "i1"}))

    def test_run_end_logged_by_two_leaders_counts_once(self) -> None:
        """Guards against too low a number of runs after a change of leader."""
        found = self.summarize(
            line(1.0, LogEvent.RUN_STARTED, run="a.0.0.0#1"),
            line(4.0, LogEvent.RUN_ENDED, "i1", run="a.0.0.0#1"),
            line(3.0, LogEvent.RUN_ENDED, run="a.0.0.0#1"),
            line(2.0, LogEvent.RUN_STARTED, run="a.0.0.1#1"),
        )
        self.assertEqual([point.value for point in found.runs], [1, 2, 1, 1])

    def test_missing_data_is_reported(self) -> None:
        """Guards against a report that looks complete although logs are missing."""
        found = self.summarize("not an event", line(1.0, LogEvent.LOG_DROPPED), answered(2.0, 200))
        gaps = " ".join(found.find_gaps())
        for text in ("1 lines hold no event", "log_dropped", "started jobs", "no runs"):
            self.assertIn(text, gaps)
        self.assertNotIn("no answered requests", gaps)
        self.assertIn("no line holds an event", " ".join(self.summarize().find_gaps()))


if __name__ == "__main__":
    unittest.main()
