"""HTTP client of the platform's key-value service, which stores jobs and the document."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import msgspec

from chivefall.decoding import decode_json
from chivefall.errors import MessageError
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

MAX_VERSION_DIGITS = 18  # of a version in a header; longer numbers are not converted
WATCH_TIMEOUT_MARGIN_SECONDS = 2.0  # added to the wait of a watch to get its timeout


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
    """Client of the calls ``/v1/kv``, ``/v1/leases`` and ``/v1/watch`` of the platform.

    Lists and watches carry values as base64 in JSON; calls for a single key carry
    the plain bytes.

    Attributes
    ----------
    calls : int
        Number of calls sent.
    """

    def __init__(self, http: HttpClient, address: Address, timeout: float) -> None:
        self._http = http
        self._address = address
        self._timeout = timeout
        self.calls = 0

    async def get(self, key: str, known: Version | None = None) -> ReadOutcome:
        """Read one key; return Unmodified if it is still at version ``known``."""
        headers = {} if known is None else {"If-None-Match": str(known)}
        response = await self._call("GET", _key_path(key), b"", headers)
        if isinstance(response, Unavailable):
            return response
        if response.status == HTTPStatus.NOT_FOUND:
            return Missing()
        if response.status == HTTPStatus.NOT_MODIFIED:
            return Unmodified()
        version = _version(response)
        if response.status != HTTPStatus.OK or version is None:
            return _unexpected(response)
        return Found(Entry(key, response.body, version))

    async def list(self, prefix: str) -> Listed | Unavailable:
        """Read all keys below a prefix."""
        response = await self._call("GET", f"{_key_path(prefix)}?list=1")
        if isinstance(response, Unavailable):
            return response
        body = _decode(response, _Entries)
        if body is None:
            return _unexpected(response)
        return Listed(_entries(body), Version(body.version))

    async def put(
        self, key: str, value: bytes, expected: Version, lease: LeaseId | None = None
    ) -> WriteOutcome:
        """Write a key if it is at the expected version."""
        headers = {"If-Match": str(expected)}
        if lease is not None:
            headers["X-Lease"] = lease
        response = await self._call("PUT", _key_path(key), value, headers)
        return _write_outcome(key, response)

    async def delete(self, key: str, expected: Version) -> WriteOutcome:
        """Delete a key if it is at the expected version."""
        response = await self._call("DELETE", _key_path(key), b"", {"If-Match": str(expected)})
        return _write_outcome(key, response)

    async def grant_lease(self, ttl: float) -> LeaseOutcome:
        """Create a lease of ``ttl`` seconds."""
        response = await self._call("POST", "/v1/leases", msgspec.json.encode({"ttl": ttl}))
        return _lease_outcome(response)

    async def renew_lease(self, lease: LeaseId) -> LeaseOutcome:
        """Restart the time to live of a lease."""
        return _lease_outcome(await self._call("POST", f"/v1/leases/{lease}"))

    async def revoke_lease(self, lease: LeaseId) -> LeaseOutcome:
        """End a lease and delete its keys."""
        return _lease_outcome(await self._call("DELETE", f"/v1/leases/{lease}"))

    async def watch(self, prefix: str, after: Version, wait: float) -> WatchOutcome:
        """Wait up to ``wait`` seconds for a change below a prefix since version ``after``."""
        path = f"/v1/watch/{quote(prefix)}?after={after}&wait={wait}"
        response = await self._call("GET", path, timeout=wait + WATCH_TIMEOUT_MARGIN_SECONDS)
        if isinstance(response, Unavailable):
            return response
        body = _decode(response, _Entries)
        if body is None:
            return _unexpected(response)
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
        response = await self._http.request(
            self._address, method, path, body, headers, timeout or self._timeout
        )
        if isinstance(response, HttpFailure):
            return Unavailable(response.reason, applied_unknown=response.sent)
        if response.status == HTTPStatus.TOO_MANY_REQUESTS:
            return Unavailable("the store rejected the call: rate limit exceeded")
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return _unexpected(response)
        return response


def _key_path(key: str) -> str:
    return f"/v1/kv/{quote(key)}"


def _decode(response: HttpResponse, kind: type[T]) -> T | None:
    """Return the decoded body, or None if the call failed or the body is invalid."""
    if response.status != HTTPStatus.OK:
        return None
    try:
        return decode_json(response.body, kind, "the response", "check the store's address")
    except MessageError:
        return None


def _version(response: HttpResponse) -> Version | None:
    text = response.headers.get("x-version", "")
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_VERSION_DIGITS
    return Version(int(text)) if is_number else None


def _unexpected(response: HttpResponse) -> Unavailable:
    """Return the outcome for a response that leaves open whether the call took effect."""
    return Unavailable(
        f"unexpected response from the store, status {response.status}", applied_unknown=True
    )


def _entries(body: _Entries) -> tuple[Entry, ...]:
    return tuple(Entry(item.key, item.value, Version(item.version)) for item in body.entries)


def _write_outcome(key: str, response: HttpResponse | Unavailable) -> WriteOutcome:
    if isinstance(response, Unavailable):
        return response
    version = _version(response)
    if response.status == HTTPStatus.OK and version is not None:
        return Stored(version)
    if response.status == HTTPStatus.CONFLICT and version is not None:
        return Conflict(Entry(key, response.body, version) if version else None)
    if response.status >= HTTPStatus.BAD_REQUEST:
        return Unavailable(f"the store rejected the write with status {response.status}")
    return _unexpected(response)


def _lease_outcome(response: HttpResponse | Unavailable) -> LeaseOutcome:
    if isinstance(response, Unavailable):
        return response
    if response.status == HTTPStatus.NOT_FOUND:
        return LeaseExpired()
    body = _decode(response, _Lease)
    return _unexpected(response) if body is None else Granted(LeaseId(body.lease), body.ttl)
