"""Tests of the document's controller."""
