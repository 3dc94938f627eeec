"""Tests of the catalogue of log events."""

from __future__ import annotations

import unittest

from chivefall.telemetry import LogEvent
from tools.log_catalogue import PAGE, render_catalogue


class LogEventTest(unittest.TestCase):
    def test_numbers_are_unique(self) -> None:
        """Guards against two events with the same number."""
        numbers = [event.number for event in LogEvent]
        self.assertEqual(len(numbers), len(set(numbers)))
        self.assertEqual(len(numbers), len(LogEvent.__members__))

    def test_page_lists_every_event(self) -> None:
        """Guards against a catalogue page that does not match the code."""
        self.assertEqual(PAGE.read_text(encoding="utf-8"), render_catalogue())
