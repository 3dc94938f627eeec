"""Tests of the store client and its stand-in."""
