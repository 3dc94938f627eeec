"""Stand-in for the key-value store and the instance list of the platform."""

from __future__ import annotations

import argparse
import base64
import itertools
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, unquote

import msgspec

from chivefall.config import Address
from chivefall.errors import MessageError
from chivefall.net import HttpReply, HttpRequest, json_reply
from chivefall.runtime import Clock, Future, sleep, wait_for
from standins._service import Service
from standins.store_faults import CallCounter, CallKind, StoreFaults, decode_faults

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = ["KeyValueState", "StoreService"]

MAX_VALUE_BYTES = 1_000_000


@dataclass
class _Item:
    value: bytes
    version: int
    lease: str | None


class KeyValueState:
    """Keys, leases and watches of the stand-in store, independent of the transport."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._items: dict[str, _Item] = {}
        self._deleted: dict[str, int] = {}
        self._leases: dict[str, tuple[float, float]] = {}
        self._lease_numbers = itertools.count(1)
        self._watches: list[tuple[str, Future[None]]] = []
        self.version = 0

    def get(self, key: str) -> _Item | None:
        """Return the item of a key."""
        return self._items.get(key)

    def list(self, prefix: str) -> list[tuple[str, _Item]]:
        """Return keys and items with a prefix, in order of the keys."""
        return sorted(item for item in self._items.items() if item[0].startswith(prefix))

    def put(self, key: str, value: bytes, expected: int, lease: str | None) -> bool:
        """Write a key if it is at the expected version and the lease, if any, is valid."""
        if self._version_of(key) != expected or (lease is not None and lease not in self._leases):
            return False
        self.version += 1
        self._items[key] = _Item(value, self.version, lease)
        self._deleted.pop(key, None)
        self._notify(key)
        return True

    def delete(self, key: str, expected: int) -> bool:
        """Delete a key if it is at the expected version."""
        if key not in self._items or self._version_of(key) != expected:
            return False
        self._remove(key)
        return True

    def versions_match(self, conditions: Mapping[str, int]) -> bool:
        """Return whether all keys are at their expected versions; 0 means absent."""
        return all(self._version_of(key) == expected for key, expected in conditions.items())

    def write_all(
        self, puts: Sequence[tuple[str, bytes, str | None]], deletes: Sequence[str]
    ) -> int | None:
        """Write and delete keys atomically and return the new version; None if a lease expired."""
        if any(lease is not None and lease not in self._leases for _, _, lease in puts):
            return None
        self.version += 1
        for key, value, lease in puts:
            self._items[key] = _Item(value, self.version, lease)
            self._deleted.pop(key, None)
        for key in deletes:
            if self._items.pop(key, None) is not None:
                self._deleted[key] = self.version
        for key in [*(item[0] for item in puts), *deletes]:
            self._notify(key)
        return self.version

    def grant(self, ttl: float) -> str:
        """Create a lease of ``ttl`` seconds and return its id."""
        lease = f"lease-{next(self._lease_numbers)}"
        self._leases[lease] = (self.clock.now() + ttl, ttl)
        self.clock.call_later(ttl, lambda: self._expire(lease))
        return lease

    def renew(self, lease: str) -> float | None:
        """Renew a lease and return its time to live in seconds, or None if it expired."""
        if lease not in self._leases:
            return None
        ttl = self._leases[lease][1]
        self._leases[lease] = (self.clock.now() + ttl, ttl)
        return ttl

    def revoke(self, lease: str) -> float | None:
        """End a lease, delete its keys and return its time to live; None if it expired."""
        if lease not in self._leases:
            return None
        ttl = self._leases.pop(lease)[1]
        for key in [key for key, item in self._items.items() if item.lease == lease]:
            self._remove(key)
        return ttl

    def changes(self, prefix: str, after: int) -> tuple[list[tuple[str, _Item]], list[str]]:
        """Return the items written and the keys deleted with a prefix after a version."""
        written = [item for item in self.list(prefix) if item[1].version > after]
        deleted = [
            key
            for key, version in self._deleted.items()
            if key.startswith(prefix) and version > after
        ]
        return written, sorted(deleted)

    def watch(self, prefix: str) -> Future[None]:
        """Return a future that is done at the next change of a key with a prefix."""
        fut: Future[None] = Future()
        self._watches.append((prefix, fut))
        return fut

    def _version_of(self, key: str) -> int:
        item = self._items.get(key)
        return item.version if item else 0

    def _remove(self, key: str) -> None:
        self.version += 1
        del self._items[key]
        self._deleted[key] = self.version
        self._notify(key)

    def _expire(self, lease: str) -> None:
        if lease not in self._leases:
            return
        remaining = self._leases[lease][0] - self.clock.now()
        if remaining > 0:
            self.clock.call_later(remaining, lambda: self._expire(lease))
        else:
            self.revoke(lease)

    def _notify(self, key: str) -> None:
        matching = [item for item in self._watches if key.startswith(item[0])]
        self._watches = [item for item in self._watches if item not in matching]
        for _, fut in matching:
            fut.set_result(None)


class StoreService(Service):
    """HTTP server of the stand-in store.

    ``PUT /control/faults`` sets the faults (see :class:`StoreFaults`) and
    ``GET /control/calls`` returns the calls by kind and second. While the store
    is down, calls get status 503; a lost reply is never sent, so that the call
    times out at the caller.
    """

    def __init__(self, address: Address, instances: list[dict[str, Any]]) -> None:
        super().__init__(address)
        self._state = KeyValueState(self.clock)
        self._instances = instances
        self._instances_version = 1
        self._faults = StoreFaults()
        self._calls = CallCounter()

    async def handle(self, req: HttpRequest) -> HttpReply:
        """Return the reply to a request."""
        match (req.method, *req.path.strip("/").split("/")):
            case ("PUT", "control", "faults"):
                return self._set_faults(req.body)
            case ("GET", "control", "calls"):
                return json_reply(200, self._calls.counts)
        kind = _kind_of(req)
        self._calls.count(kind, self.clock.now())
        if delay := self._faults.delay_of(kind):
            await sleep(self.clock, delay)
        if self._faults.refuses(kind):
            return json_reply(503, {"error": "the stand-in store is set to be down"})
        is_lost = self._faults.loses_reply(kind)
        if delay := self._faults.effect_delay(kind, is_lost=is_lost):
            await sleep(self.clock, delay)
        reply = await self._handle_call(req)
        if self._faults.reply_delay:
            await sleep(self.clock, self._faults.reply_delay)
        if is_lost:
            await Future()
        return reply

    def _set_faults(self, body: bytes) -> HttpReply:
        try:
            self._faults = decode_faults(body)
        except MessageError as exc:
            return json_reply(400, {"error": str(exc)})
        return json_reply(200, self._faults)

    async def _handle_call(self, req: HttpRequest) -> HttpReply:
        query = {key: values[0] for key, values in parse_qs(req.query).items()}
        match (req.method, *req.path.strip("/").split("/", 2)):
            case ("GET", "v1", "instances"):
                return self._instances_reply(req)
            case ("PUT", "v1", "instances"):
                self._instances = msgspec.json.decode(req.body)
                self._instances_version += 1
                return json_reply(200, {})
            case (method, "v1", "kv", key):
                return self._handle_key(method, unquote(key), query, req)
            case (method, "v1", "leases", *rest):
                return self._handle_lease(method, rest, req)
            case ("GET", "v1", "watch", prefix):
                return await self._watch(unquote(prefix), query)
        return json_reply(404, {"error": "no such resource"})

    def _instances_reply(self, req: HttpRequest) -> HttpReply:
        tag = f'"{self._instances_version}"'
        if req.headers.get("if-none-match") == tag:
            return HttpReply(304, b"", {"ETag": tag})
        return json_reply(200, self._instances, {"ETag": tag})

    def _handle_key(
        self, method: str, key: str, query: dict[str, str], req: HttpRequest
    ) -> HttpReply:
        if method == "GET" and "list" in query:
            return self._entries_reply(self._state.list(key), [])
        known = req.headers.get("if-none-match")
        if method == "GET" and (item := self._state.get(key)) and str(item.version) == known:
            return HttpReply(304, b"", {"X-Version": known})
        if method == "GET":
            return self._item_reply(200, key) if self._state.get(key) else _missing()
        expected = int(req.headers.get("if-match", "0"))
        if len(req.body) > MAX_VALUE_BYTES:
            return json_reply(413, {"error": "the value is larger than 1 MB"})
        if method == "PUT":
            done = self._state.put(key, req.body, expected, req.headers.get("x-lease"))
        else:
            done = self._state.delete(key, expected)
        if done:
            return json_reply(200, {}, {"X-Version": str(self._state.version)})
        return self._item_reply(409, key)

    def _item_reply(self, status: int, key: str) -> HttpReply:
        item = self._state.get(key)
        if item is None:
            return HttpReply(status, b"", {"X-Version": "0"})
        return HttpReply(
            status, item.value, {"X-Version": str(item.version)}, "application/octet-stream"
        )

    def _handle_lease(self, method: str, rest: list[str], req: HttpRequest) -> HttpReply:
        if not rest:
            ttl = msgspec.json.decode(req.body)["ttl"]
            return json_reply(200, {"lease": self._state.grant(ttl), "ttl": ttl})
        lease = rest[0]
        ttl = self._state.renew(lease) if method == "POST" else self._state.revoke(lease)
        return _missing() if ttl is None else json_reply(200, {"lease": lease, "ttl": ttl})

    async def _watch(self, prefix: str, query: dict[str, str]) -> HttpReply:
        after, wait = int(query.get("after", "0")), float(query.get("wait", "0"))
        if not any(self._state.changes(prefix, after)) and wait > 0:
            await wait_for(self.clock, self._state.watch(prefix), wait, None)
        return self._entries_reply(*self._state.changes(prefix, after))

    def _entries_reply(self, items: list[tuple[str, _Item]], deleted: list[str]) -> HttpReply:
        entries = [
            {
                "key": key,
                "value": base64.b64encode(item.value).decode(),
                "version": item.version,
            }
            for key, item in items
        ]
        return json_reply(
            200, {"entries": entries, "deleted": deleted, "version": self._state.version}
        )


def _kind_of(req: HttpRequest) -> CallKind:
    if req.path.startswith("/v1/watch"):
        return CallKind.WATCH
    if req.path.startswith("/v1/leases"):
        return CallKind.LEASE
    return CallKind.READ if req.method == "GET" else CallKind.WRITE


def _missing() -> HttpReply:
    return json_reply(404, {"error": "not found"}, {"X-Version": "0"})


def main() -> None:
    """Run the stand-in store."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--instances", type=Path, required=True)
    args = parser.parse_args()
    instances = msgspec.json.decode(args.instances.read_bytes())
    StoreService(Address.parse(args.listen), instances).run()


if __name__ == "__main__":
    main()
