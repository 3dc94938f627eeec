"""Tests of the log events and metrics."""
