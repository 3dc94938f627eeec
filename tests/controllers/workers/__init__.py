"""Tests of the worker controller."""
