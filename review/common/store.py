"""Stand-in of the platform's store; run as a process: store.py PORT.

``PUT /control/key?key=K`` and ``DELETE /control/key?key=K`` write as the operator and the
workers do; the response is the confirmation.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import sys
import time
from typing import Any

from http_server import Request, serve

PAGE_ITEMS = 500
MIN_TTL_MS = 1000


class Store:
    """Keys, leases and the history of changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.leases: dict[int, list[float]] = {}  # time to live and end, in seconds
        self.numbers = itertools.count(1)
        self.changed = asyncio.Event()

    def write(self, puts: list[dict[str, Any]], removes: list[str]) -> int:
        """Write and remove keys under one revision."""
        self.revision += 1
        for put in puts:
            key = put["key"]
            created = self.items[key]["created_rev"] if key in self.items else self.revision
            item = {
                "key": key,
                "value": put["value"],
                "revision": self.revision,
                "created_rev": created,
                "lease_id": put.get("lease_id", 0),
            }
            self.items[key] = item
            self.history.append(item)
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.history.append({"key": key, "revision": self.revision, "deleted": True})
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def expire(self) -> None:
        """End the leases whose time is over, and remove their keys."""
        now = time.monotonic()
        for lease in [name for name, (_, end) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> bool:
        """End a lease; return False if there is none."""
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease_id"] == lease]
        if keys:
            self.write([], keys)
        return True

    async def handle(self, req: Request) -> tuple[int, Any]:
        """Return status and body of the response to a call."""
        self.expire()
        parts = req.path.strip("/").split("/")
        if parts[0] == "control":
            key = req.query["key"]
            if req.method == "PUT":
                value = base64.b64encode(req.content).decode()
                return 200, {"revision": self.write([{"key": key, "value": value}], [])}
            return 200, {"revision": self.write([], [key])}
        call = parts[1]
        if call == "kv-key":
            item = self.items.get(req.query["key"])
            if item is None:
                return 404, {"at_rev": self.revision}
            return 200, {**item, "at_rev": self.revision}
        if call == "kv-range":
            return 200, self.page(req.query["prefix"], req.query.get("after", ""))
        if call == "kv-watch":
            return 200, await self.watch(req.query)
        if call == "kv-txn":
            return self.transact(req.body)
        return self.lease(call, parts[2:], req)

    def page(self, prefix: str, after: str) -> dict[str, Any]:
        """Return one page of a range."""
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "at_rev": self.revision,
        }

    async def watch(self, query: dict[str, str]) -> dict[str, Any]:
        """Return the changes after a revision, as soon as there is one."""
        prefix, after = query["prefix"], int(query["after"])
        limit = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = limit - time.monotonic()
            if events or left <= 0:
                return {"events": events, "at_rev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        """Write if all keys are at the expected revisions."""
        rows = body.get("expected_rev", [])
        current = [(row, self.items.get(row["key"])) for row in rows]
        if any((item["revision"] if item else 0) != row["revision"] for row, item in current):
            found = [item or {"key": row["key"], "revision": 0} for row, item in current]
            return 412, {"items": found}
        puts = body.get("puts", [])
        if any(put.get("lease_id") and put["lease_id"] not in self.leases for put in puts):
            return 404, {}
        return 200, {"revision": self.write(puts, body.get("remove", []))}

    def lease(self, call: str, rest: list[str], req: Request) -> tuple[int, Any]:
        """Grant, renew or end a lease."""
        if call == "kv-lease":
            ttl = max(MIN_TTL_MS, req.body["ttl_ms"]) / 1000
            lease = next(self.numbers)
            self.leases[lease] = [ttl, time.monotonic() + ttl]
            return 200, {"lease_id": lease, "ttl_ms": round(ttl * 1000)}
        lease = int(rest[0])
        if call == "kv-keep" and lease in self.leases:
            ttl = self.leases[lease][0]
            self.leases[lease][1] = time.monotonic() + ttl
            return 200, {"lease_id": lease, "ttl_ms": round(ttl * 1000)}
        if call == "kv-lease-end" and self.end_lease(lease):
            return 200, {}
        return 404, {}


async def main() -> None:
    """Serve until the process is ended."""
    store = Store()
    server = await serve(int(sys.argv[1]), store.handle)

    async def sweep() -> None:
        while True:
            await asyncio.sleep(0.02)
            store.expire()

    await asyncio.gather(server.serve_forever(), sweep())


if __name__ == "__main__":
    asyncio.run(main())
