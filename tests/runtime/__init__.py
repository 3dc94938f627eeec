"""Tests of clocks, timers and futures."""
