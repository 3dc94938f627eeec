"""Tests of the HTTP interface."""
