"""Benchmarks, most in counts and virtual time, with bounds from the stated targets."""
