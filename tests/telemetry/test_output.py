"""Tests of the log writer and the timeline of a job."""

from __future__ import annotations

import json
import os
import unittest

from chivefall.telemetry import LineBuffer, LogEvent, LogWriter, RateLimit, read_timeline


class LogWriterTest(unittest.TestCase):
    def test_full_pipe_does_not_block_the_process(self) -> None:
        """Guards against an event loop that blocks while nothing reads the log."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        log = LogWriter(writer, "i1")
        for number in range(20_000):
            log(
                {"message_type": f"chivefall:{number % 500}:x", "timestamp": 1.0, "text": "x" * 200}
            )
        received = os.read(reader, 1 << 20)
        while True:
            log.flush()
            os.set_blocking(reader, False)
            try:
                received += os.read(reader, 1 << 20)
            except BlockingIOError:
                break
        lines = [json.loads(line) for line in received.splitlines()]
        dropped = [line for line in lines if ":1008:" in line["message_type"]]
        self.assertTrue(dropped, "dropped lines are not reported")
        self.assertEqual(lines[0]["instance"], "i1")

    def test_buffer_is_bounded(self) -> None:
        """Guards against memory that grows while nothing reads the log."""
        buffer = LineBuffer(max_bytes=100)
        for _ in range(20):
            buffer.add(b"x" * 10)
        self.assertEqual(buffer.dropped, 10)

    def test_suppressed_lines_are_counted(self) -> None:
        """Guards against one frequent event that crowds out the others."""
        limit = RateLimit(per_second=3)
        self.assertEqual([limit.allows("a", 1.0) for _ in range(5)], [True] * 3 + [False] * 2)
        self.assertTrue(limit.allows("b", 1.0))
        self.assertEqual(limit.take_suppressed(2.0), {"a": 2})
        self.assertTrue(limit.allows("a", 2.0))


def line(event: LogEvent, at: float, instance: str, **fields: object) -> str:
    """Return a log line with a prefix as a log collector may add it."""
    kind = f"chivefall:{event.number}:{event.name.lower()}"
    body = {"message_type": kind, "timestamp": at, "instance": instance, **fields}
    return f"  12.5 {instance} {json.dumps(body)}\n"


class TimelineTest(unittest.TestCase):
    def test_first_cause_and_order(self) -> None:
        """Guards against a wrong order or first cause across the logs of several instances."""
        lines = [
            line(LogEvent.RUN_ENDED, 5.0, "b", run="aa01.0.0.0#1", kind="failed"),
            line(LogEvent.BATCH_ANSWERED, 1.0, "a", job="aa01", status=200),
            line(LogEvent.BATCH_JOB_READ, 1.1, "b", job="aa01"),
            line(LogEvent.STORE_UNREACHABLE, 90.0, "a", reason="much later"),
            line(LogEvent.BATCH_ANSWERED, 2.0, "a", job="bb02", status=503),
            "not a line of the log\n",
            "{broken\n",
        ]
        timeline = read_timeline(lines, "aa01")
        self.assertEqual([item.at for item in timeline.entries], [1.0, 1.1, 5.0])
        self.assertIs(timeline.first_cause().event, LogEvent.RUN_ENDED)
        self.assertEqual(timeline.find_gaps(), [])

    def test_missing_logs_are_reported(self) -> None:
        """Guards against a timeline that looks complete without the leader's log."""
        timeline = read_timeline(
            [line(LogEvent.BATCH_ANSWERED, 1.0, "a", job="aa01", status=503)], "aa01"
        )
        self.assertEqual(len(timeline.find_gaps()), 1)
        self.assertIs(timeline.first_cause().event, LogEvent.BATCH_ANSWERED)


if __name__ == "__main__":
    unittest.main()
