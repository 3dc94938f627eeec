"""Tests of api."""
