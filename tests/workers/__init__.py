"""Tests of the worker client and of the stand-in worker."""
