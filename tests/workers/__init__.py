"""Tests of the worker interface."""
