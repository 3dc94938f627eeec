"""Tests of filters."""
