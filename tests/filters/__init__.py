"""Tests of the request filters."""
