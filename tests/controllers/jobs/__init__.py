"""Tests of the job controllers."""
