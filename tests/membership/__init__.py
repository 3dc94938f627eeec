"""Tests of chivefall.membership."""
