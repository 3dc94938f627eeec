"""Tests of runtime."""
