"""Tests of the HTTP client and server and the message transport."""
