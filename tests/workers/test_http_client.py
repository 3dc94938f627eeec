"""Tests of the client of the platform's list of instances."""

from __future__ import annotations

import json
import unittest
from typing import Any

from chivefall.config import Address
from chivefall.net import HttpResponse
from chivefall.runtime import Future, spawn
from chivefall.workers import HttpWorkerClient, Unreachable

LIST = (
    b'[{"instance": "w", "kind": "worker", "failure_domain": "zarcero", "address": "127.0.0.1:1"}]'
)


class FakeHttp:
    """Returns the given responses in turn and records the headers of each request."""

    def __init__(self, *responses: HttpResponse) -> None:
        self.responses = list(responses)
        self.headers: list[dict[str, str]] = []

    def request(self, address: Any, method: str, path: str, body: bytes, headers: dict, *_: Any):
        """Return a future that already has the next response."""
        self.headers.append(headers)
        fut: Future[HttpResponse] = Future()
        fut.set_result(self.responses.pop(0))
        return fut


class ListInstancesTest(unittest.TestCase):
    def list(self, http: FakeHttp, times: int) -> list[Any]:
        client = HttpWorkerClient(http, Address("127.0.0.1", 1), 1.0)
        return [spawn(client.list_instances()).result() for _ in range(times)]

    def test_unchanged_list_is_not_transferred_again(self) -> None:
        """Guards against traffic of 34 KB/s for the list of 920 workers, read every 5 s."""
        changed = HttpResponse(200, b"[]", {"etag": '"2"'})
        http = FakeHttp(
            HttpResponse(200, LIST, {"etag": '"1"'}), HttpResponse(304, b""), changed, changed
        )
        first, same, empty, _ = self.list(http, 4)
        self.assertEqual((len(first), same, empty), (1, first, ()))
        tags = [headers.get("If-None-Match") for headers in http.headers]
        self.assertEqual(tags, [None, '"1"', '"1"', '"2"'])

    def test_odd_instance_beside_others(self) -> None:
        """Guards against following no instance any more because of one malformed entry."""
        instances = json.loads(LIST)
        valid = instances[0]
        for odd in (
            {},
            [],
            None,
            {"id": -1},
            {**valid, "accelerators": 10**40},
            {**valid, "address": "w:99999"},
            {**valid, "address": "w:" + "9" * 5000},
            {**valid, "slots": -1},
        ):
            body = json.dumps([odd, *instances]).encode()
            (outcome,) = self.list(FakeHttp(HttpResponse(200, body)), 1)
            self.assertEqual(len(outcome), len(instances), odd)

    def test_deeply_nested_list_is_an_error(self) -> None:
        """Guards against an exception that ends the reading of the list for good."""
        body = b"[" * 5000 + b"]" * 5000
        (outcome,) = self.list(FakeHttp(HttpResponse(200, body)), 1)
        self.assertIsInstance(outcome, Unreachable)

    def test_malformed_list_is_an_error(self) -> None:
        """Guards against removing all workers because a response cannot be decoded."""
        (outcome,) = self.list(FakeHttp(HttpResponse(200, b"[{}]")), 1)
        self.assertIsInstance(outcome, Unreachable)
