"""Tests of the log events and the analysis of logs."""
