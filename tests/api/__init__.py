"""Tests of chivefall.api."""
