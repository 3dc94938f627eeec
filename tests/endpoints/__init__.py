"""Tests of the client of service endpoints."""
