"""The platform's key-value service over HTTP."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import msgspec

from chivefall.net import HttpClient, HttpFailure, HttpResponse
from chivefall.store._store import (
    Changed,
    Conflict,
    Entry,
    Found,
    Granted,
    LeaseExpired,
    LeaseId,
    LeaseOutcome,
    Listed,
    Missing,
    ReadOutcome,
    Store,
    Stored,
    Unavailable,
    Unchanged,
    Unmodified,
    Version,
    WatchOutcome,
    WriteOutcome,
)

if TYPE_CHECKING:
    from chivefall.config import Address

__all__ = ["HttpStore"]

T = TypeVar("T")

WATCH_TIMEOUT_MARGIN_SECONDS = 2.0  # seconds beyond the wait before a watch counts as lost


class _RawEntry(msgspec.Struct):
    key: str
    value: bytes
    version: int


class _Entries(msgspec.Struct):
    entries: tuple[_RawEntry, ...]
    version: int
    deleted: tuple[str, ...] = ()


class _Lease(msgspec.Struct):
    lease: str
    ttl: float


class HttpStore(Store):
    """Client of the platform's key-value service.

    Values travel as base64 in JSON bodies of lists and watches, and as plain
    bytes in bodies of single keys.
    """

    def __init__(self, http: HttpClient, address: Address, timeout: float) -> None:
        self._http = http
        self._address = address
        self._timeout = timeout
        self.calls = 0

    async def get(self, key: str, known: Version | None = None) -> ReadOutcome:
        """Read one key; the answer has no value if it is at the known version."""
        headers = {} if known is None else {"If-None-Match": str(known)}
        reply = await self._call("GET", _key_path(key), b"", headers)
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == HTTPStatus.NOT_FOUND:
            return Missing()
        if reply.status == HTTPStatus.NOT_MODIFIED:
            return Unmodified()
        version = _version(reply)
        if reply.status != HTTPStatus.OK or version is None:
            return _unexpected(reply)
        return Found(Entry(key, reply.body, version))

    async def list(self, prefix: str) -> Listed | Unavailable:
        """Read all keys below a prefix."""
        reply = await self._call("GET", f"{_key_path(prefix)}?list=1")
        if isinstance(reply, Unavailable):
            return reply
        body = _decode(reply, _Entries)
        if body is None:
            return _unexpected(reply)
        return Listed(_entries(body), Version(body.version))

    async def put(
        self, key: str, value: bytes, expected: Version, lease: LeaseId | None = None
    ) -> WriteOutcome:
        """Write a key if it is at the expected version."""
        headers = {"If-Match": str(expected)}
        if lease is not None:
            headers["X-Lease"] = lease
        reply = await self._call("PUT", _key_path(key), value, headers)
        return _write_outcome(key, reply)

    async def delete(self, key: str, expected: Version) -> WriteOutcome:
        """Delete a key if it is at the expected version."""
        reply = await self._call("DELETE", _key_path(key), b"", {"If-Match": str(expected)})
        return _write_outcome(key, reply)

    async def grant_lease(self, ttl: float) -> LeaseOutcome:
        """Create a lease of ``ttl`` seconds."""
        reply = await self._call("POST", "/v1/leases", msgspec.json.encode({"ttl": ttl}))
        return _lease_outcome(reply)

    async def renew_lease(self, lease: LeaseId) -> LeaseOutcome:
        """Restart a lease's period."""
        return _lease_outcome(await self._call("POST", f"/v1/leases/{lease}"))

    async def revoke_lease(self, lease: LeaseId) -> LeaseOutcome:
        """End a lease and delete its keys."""
        return _lease_outcome(await self._call("DELETE", f"/v1/leases/{lease}"))

    async def watch(self, prefix: str, after: Version, wait: float) -> WatchOutcome:
        """Wait up to ``wait`` seconds for a change below a prefix after a version."""
        path = f"/v1/watch/{quote(prefix)}?after={after}&wait={wait}"
        reply = await self._call("GET", path, timeout=wait + WATCH_TIMEOUT_MARGIN_SECONDS)
        if isinstance(reply, Unavailable):
            return reply
        body = _decode(reply, _Entries)
        if body is None:
            return _unexpected(reply)
        version = Version(body.version)
        if not body.entries and not body.deleted:
            return Unchanged(version)
        return Changed(_entries(body), body.deleted, version)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float | None = None,
    ) -> HttpResponse | Unavailable:
        self.calls += 1
        reply = await self._http.request(
            self._address, method, path, body, headers, timeout or self._timeout
        )
        if isinstance(reply, HttpFailure):
            return Unavailable(reply.reason, applied_unknown=reply.sent)
        if reply.status == HTTPStatus.TOO_MANY_REQUESTS:
            return Unavailable("the store refused the call because of its rate")
        if reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return _unexpected(reply)
        return reply


def _key_path(key: str) -> str:
    return f"/v1/kv/{quote(key)}"


def _decode(reply: HttpResponse, kind: type[T]) -> T | None:
    """Return the body of a successful reply, or None if the reply is not one."""
    if reply.status != HTTPStatus.OK:
        return None
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.DecodeError:
        return None


def _version(reply: HttpResponse) -> Version | None:
    text = reply.headers.get("x-version", "")
    return Version(int(text)) if text.isdigit() else None


def _unexpected(reply: HttpResponse) -> Unavailable:
    """Return the outcome of a reply that does not say whether the call took effect."""
    return Unavailable(
        f"unexpected reply of the store, status {reply.status}", applied_unknown=True
    )


def _entries(body: _Entries) -> tuple[Entry, ...]:
    return tuple(Entry(item.key, item.value, Version(item.version)) for item in body.entries)


def _write_outcome(key: str, reply: HttpResponse | Unavailable) -> WriteOutcome:
    if isinstance(reply, Unavailable):
        return reply
    version = _version(reply)
    if reply.status == HTTPStatus.OK and version is not None:
        return Stored(version)
    if reply.status == HTTPStatus.CONFLICT and version is not None:
        return Conflict(Entry(key, reply.body, version) if version else None)
    if reply.status >= HTTPStatus.BAD_REQUEST:
        return Unavailable(f"the store answered {reply.status}")
    return _unexpected(reply)


def _lease_outcome(reply: HttpResponse | Unavailable) -> LeaseOutcome:
    if isinstance(reply, Unavailable):
        return reply
    if reply.status == HTTPStatus.NOT_FOUND:
        return LeaseExpired()
    body = _decode(reply, _Lease)
    return _unexpected(reply) if body is None else Granted(LeaseId(body.lease), body.ttl)
