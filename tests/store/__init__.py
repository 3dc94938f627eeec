"""Tests of the store clients and of the stand-in store."""
