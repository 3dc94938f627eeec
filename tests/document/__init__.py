"""Tests of chivefall.document."""
