"""Lists of the platform's store that arrive in pages while keys change."""

from __future__ import annotations

import base64
import random
import unittest
from urllib.parse import parse_qs, urlsplit

import msgspec

from chivefall.config import Address
from chivefall.net import HttpResponse
from chivefall.platform import PlatformStore
from chivefall.runtime import ManualClock, spawn
from chivefall.store import Changed, Listed
from standins.store import KeyValueState

PREFIX = "batch/"
PAGE_ITEMS = 2
SEEDS = 200


class PagedHttp:
    """Answers lists in small pages and changes keys at random between them."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.state = KeyValueState(self.clock)
        self.changes_left = 0
        for _ in range(12):
            self.change()

    def change(self) -> None:
        key = f"{PREFIX}{self.random.randrange(20):02}"
        if self.random.random() < 0.3:
            self.state.write_all([], [key])
        else:
            self.state.write_all([(key, self.random.randbytes(2), None)], [])

    async def request(self, _address, _method, path, *_, **__) -> HttpResponse:
        query = {name: values[0] for name, values in parse_qs(urlsplit(path).query).items()}
        if "kv-watch" in path:
            written, deleted = self.state.changes(PREFIX, int(query["after"]))
            events = [_item(*row) for row in written]
            events += [{"key": key, "deleted": True} for key in deleted]
            return _response({"at_rev": self.state.version, "events": events})
        rows = [row for row in self.state.list(PREFIX) if row[0] > query.get("after", "")]
        body = {
            "items": [_item(*row) for row in rows[:PAGE_ITEMS]],
            "has_more": len(rows) > PAGE_ITEMS,
            "at_rev": self.state.version,
        }
        for _ in range(self.changes_left):
            self.change()
        return _response(body)


def _item(key: str, item) -> dict:
    value = base64.b64encode(item.value).decode()
    return {"key": key, "value": value, "revision": item.version}


def _response(body: dict) -> HttpResponse:
    return HttpResponse(200, msgspec.json.encode(body))


class PagedList(unittest.TestCase):
    def test_keys_that_change_between_pages(self) -> None:
        """Guards against a watch that starts after a change which no page contains."""
        late = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                http = PagedHttp(seed)
                store = PlatformStore(http, Address("127.0.0.1", 1), timeout=1.0)
                http.changes_left = 2
                listed = spawn(store.list(PREFIX)).result()
                self.assertIsInstance(listed, Listed)
                copy = {entry.key: entry.value for entry in listed.entries}
                changed = spawn(store.watch(PREFIX, listed.version, 0.0)).result()
                if isinstance(changed, Changed):
                    late += any(entry.key not in copy for entry in changed.entries)
                    copy.update({entry.key: entry.value for entry in changed.entries})
                    for key in changed.deleted:
                        copy.pop(key, None)
                expected = {key: item.value for key, item in http.state.list(PREFIX)}
                self.assertEqual(copy, expected)
        # Some keys were created behind the page that was read last.
        self.assertGreater(late, 0)


if __name__ == "__main__":
    unittest.main()
