"""Tests of the endpoint controller."""
