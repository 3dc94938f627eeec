"""Entries of workers that other programs might write, each odd in one way."""

from __future__ import annotations

import json

from standins.platform import worker_body
from standins.run_workers import make_worker_entry

__all__ = ["DEEP", "LONG_NUMBER", "ODD_ENTRIES", "entry_with", "entry_with_raw"]

DEEP = b"[" * 5000 + b"]" * 5000
LONG_NUMBER = b"9" * 5000


def entry_with(**fields: object) -> bytes:
    """Return an entry of a usable worker with some fields replaced."""
    body = worker_body(make_worker_entry("odd"))
    return json.dumps({**body, **fields}).encode()


def entry_with_raw(field: str, value: bytes) -> bytes:
    """Return an entry of a usable worker with one more field, given as JSON text."""
    return entry_with()[:-1] + b', "' + field.encode() + b'": ' + value + b"}"


ODD_ENTRIES = {
    "deep unknown field": entry_with_raw("unknown", DEEP),
    "deep labels": entry_with_raw("labels", DEEP),
    "long number": entry_with_raw("born", LONG_NUMBER),
    "number beyond 64 bits": entry_with_raw("born", b"9" * 30),
    "infinite number": entry_with_raw("remaining_ms", b"1e999"),
    "negative start time": entry_with(born=-5),
    "huge capacity": entry_with_raw("capacity", b'{"cpu": ' + b"9" * 40 + b"}"),
    "negative capacity": entry_with(capacity={"cpu": 4000, "mem_mb": 100, "gpu": -8}),
    "port 0": entry_with(addr="10.0.0.9:0"),
    "port out of range": entry_with(addr="10.0.0.9:99999"),
    "long port": entry_with(addr="10.0.0.9:" + "9" * 5000),
    "port of other digits": entry_with(addr="10.0.0.9:٨٠٨٠"),
    "superscript port": entry_with(addr="10.0.0.9:8²"),
    "address out of range": entry_with(addr="999.1.1.1:80"),
    "host name": entry_with(addr="worker.example:80"),
    "unspecified address": entry_with(addr="0.0.0.0:80"),
    "multicast address": entry_with(addr="239.0.0.1:80"),
    "long label": entry_with(labels=["x" * 100_000]),
    "many labels": entry_with(labels=["x"] * 10_000),
    "unknown state": entry_with(state="asleep"),
    "wrong type": entry_with(capacity=[1, 2, 3]),
    "no object": b"[]",
    "invalid UTF-8": b'{"service": "\xff\xfe"}',
    "truncated": b'{"service": "po',
    "empty": b"",
}
