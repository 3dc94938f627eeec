"""HTTP client of the key-value service of the users' platform, which stores batch jobs."""

from __future__ import annotations

import base64
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import urlencode

import msgspec

from chivefall.decoding import decode_json
from chivefall.errors import MessageError
from chivefall.net import AdaptiveTimeout, HttpClient, HttpFailure, HttpResponse
from chivefall.platform._wire import Item, LeaseBody, RangeBody, WatchBody
from chivefall.store import (
    ABSENT,
    Changed,
    Conflict,
    Entry,
    Found,
    Granted,
    HistoryLost,
    LeaseExpired,
    LeaseId,
    LeaseOutcome,
    Listed,
    Mismatch,
    Missing,
    Put,
    ReadOutcome,
    Stored,
    TransactionalStore,
    TransactOutcome,
    Unavailable,
    Unchanged,
    Unmodified,
    Version,
    WatchOutcome,
    WriteOutcome,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from chivefall.config import Address

__all__ = ["PlatformStore"]

T = TypeVar("T")

WATCH_TIMEOUT_MARGIN_SECONDS = 1.0  # added to the wait of a watch to get its timeout
MIN_TIMEOUT_SECONDS = 0.35  # above the slowest known response time of a healthy store
LEASE_TIMEOUT_FRACTION = 0.4  # of the maximum timeout


class _StoredBody(msgspec.Struct):
    revision: int


class _ConflictBody(msgspec.Struct):
    items: list[Item] = []


class PlatformStore(TransactionalStore):
    """Client of the calls ``/chivefall/kv-*`` of the users' platform.

    Attributes
    ----------
    calls : int
        Number of calls sent. The platform charges for each; a watch is one call, however
        long it waits.
    observe : callable
        Called with the name and the duration in seconds of each call except watches,
        which wait.
    """

    def __init__(self, http: HttpClient, address: Address, timeout: float) -> None:
        self._http = http
        self._address = address
        self._adaptive_timeout = AdaptiveTimeout(MIN_TIMEOUT_SECONDS, timeout)
        self.calls = 0
        self.observe: Callable[[str, float], None] = lambda _call, _seconds: None

    @property
    def timeout(self) -> float:
        """Maximum timeout of a call in seconds."""
        return self._adaptive_timeout.max_seconds

    @timeout.setter
    def timeout(self, seconds: float) -> None:
        self._adaptive_timeout.max_seconds = seconds

    @property
    def _lease_timeout(self) -> float:
        """Timeout of lease calls in seconds, which leaves time to repeat them within the lease."""
        return self.timeout * LEASE_TIMEOUT_FRACTION

    async def get(self, key: str, known: Version | None = None) -> ReadOutcome:
        """Read one key; return Unmodified if it is still at version ``known``."""
        response = await self._call("GET", "kv-key", query={"key": key})
        if isinstance(response, Unavailable):
            return response
        if response.status == HTTPStatus.NOT_FOUND:
            return Missing()
        item = _decode(response, Item)
        if item is None:
            return _unexpected(response)
        if item.revision == known:
            return Unmodified()
        return Found(_entry(item))

    async def list(self, prefix: str) -> Listed | Unavailable:
        """Read all keys below a prefix.

        The pages are not a snapshot. The returned version is that of the first page,
        so a watch from there may repeat changes that later pages already contain.
        """
        entries: list[Entry] = []
        version: Version | None = None
        query = {"prefix": prefix}
        while True:
            response = await self._call("GET", "kv-range", query=query)
            if isinstance(response, Unavailable):
                return response
            page = _decode(response, RangeBody)
            if page is None:
                return _unexpected(response)
            version = Version(page.at_rev) if version is None else version
            entries += [_entry(item) for item in page.items]
            if not page.has_more or not page.items:
                return Listed(tuple(entries), version)
            query = {"prefix": prefix, "after": page.items[-1].key}

    async def put(
        self, key: str, value: bytes, expected: Version, lease: LeaseId | None = None
    ) -> WriteOutcome:
        """Write a key if it is at the expected version."""
        outcome = await self.transact({key: expected}, [Put(key, value, lease)])
        return _single_outcome(key, outcome)

    async def delete(self, key: str, expected: Version) -> WriteOutcome:
        """Delete a key if it is at the expected version."""
        return _single_outcome(key, await self.transact({key: expected}, (), [key]))

    async def transact(
        self,
        conditions: Mapping[str, Version],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> TransactOutcome:
        """Write and delete keys atomically if all keys are at the versions in ``conditions``."""
        body = {
            "expected_rev": [
                {"key": key, "revision": version} for key, version in conditions.items()
            ],
            "puts": [_put_body(put) for put in puts],
            "remove": list(deletes),
        }
        response = await self._call("POST", "kv-txn", body)
        if isinstance(response, Unavailable):
            return response
        if response.status == HTTPStatus.NOT_FOUND:
            return LeaseExpired()
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            conflict = _decode(response, _ConflictBody, HTTPStatus.PRECONDITION_FAILED)
            return _unexpected(response) if conflict is None else _mismatch(conditions, conflict)
        stored = _decode(response, _StoredBody)
        return _unexpected(response) if stored is None else Stored(Version(stored.revision))

    async def grant_lease(self, ttl: float) -> LeaseOutcome:
        """Create a lease of ``ttl`` seconds."""
        response = await self._call(
            "POST", "kv-lease", {"ttl_ms": round(ttl * 1000)}, timeout=self._lease_timeout
        )
        body = None if isinstance(response, Unavailable) else _decode(response, LeaseBody)
        if isinstance(response, Unavailable):
            return response
        if body is None:
            return _unexpected(response)
        return Granted(LeaseId(str(body.lease_id)), body.ttl_ms / 1000)

    async def renew_lease(self, lease: LeaseId) -> LeaseOutcome:
        """Restart the time to live of a lease."""
        response = await self._call("POST", f"kv-keep/{lease}", timeout=self._lease_timeout)
        return _renewal_outcome(lease, response)

    async def revoke_lease(self, lease: LeaseId) -> LeaseOutcome:
        """End a lease and delete its keys."""
        response = await self._call("DELETE", f"kv-lease-end/{lease}")
        if isinstance(response, Unavailable):
            return response
        return LeaseExpired() if response.status == HTTPStatus.NOT_FOUND else Granted(lease, 0.0)

    async def watch(self, prefix: str, after: Version, wait: float) -> WatchOutcome:
        """Wait up to ``wait`` seconds for a change below a prefix since version ``after``."""
        query = {"prefix": prefix, "after": after, "wait_ms": round(wait * 1000)}
        response = await self._call(
            "GET", "kv-watch", query=query, timeout=wait + WATCH_TIMEOUT_MARGIN_SECONDS
        )
        if isinstance(response, Unavailable):
            return response
        if response.status == HTTPStatus.GONE:
            return HistoryLost()
        body = _decode(response, WatchBody)
        if body is None:
            return _unexpected(response)
        version = Version(body.at_rev)
        # Only the last event of a key carries its current state.
        latest = {item.key: item for item in body.events}
        if not latest:
            return Unchanged(version)
        return Changed(
            tuple(_entry(item) for item in latest.values() if not item.deleted),
            tuple(item.key for item in latest.values() if item.deleted),
            version,
        )

    async def _call(
        self,
        method: str,
        call: str,
        body: dict[str, Any] | None = None,
        *,
        query: dict[str, Any] | None = None,
        timeout: float | None = None,
    ) -> HttpResponse | Unavailable:
        self.calls += 1
        path = f"/chivefall/{call}" + (f"?{urlencode(query)}" if query else "")
        data = b"" if body is None else msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"} if body is not None else {}
        started_at = self._http.clock.now()
        limit = timeout or self._adaptive_timeout.next_timeout()
        response = await self._http.request(
            self._address, method, path, data, headers, limit, restart_timeout_on_data=True
        )
        if call != "kv-watch":
            self._record_call(call, self._http.clock.now() - started_at, response)
        if isinstance(response, HttpFailure):
            return Unavailable(response.reason, applied_unknown=response.sent)
        if response.status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
            return Unavailable(f"the store rejected the call with status {response.status}")
        return response

    def _record_call(self, call: str, seconds: float, response: HttpResponse | HttpFailure) -> None:
        """Record the duration of a call that does not wait."""
        self.observe(call.partition("/")[0], seconds)
        if isinstance(response, HttpFailure):
            self._adaptive_timeout.record_timeout()
        elif not response.is_late:
            self._adaptive_timeout.record_response(seconds)


def _put_body(put: Put) -> dict[str, Any]:
    body: dict[str, Any] = {"key": put.key, "value": base64.b64encode(put.value).decode()}
    if put.lease is not None:
        body["lease_id"] = int(put.lease)
    return body


def _entry(item: Item) -> Entry:
    return Entry(item.key, item.value, Version(item.revision))


def _mismatch(conditions: Mapping[str, Version], conflict: _ConflictBody) -> Mismatch:
    current: dict[str, Entry | None] = dict.fromkeys(conditions)
    for item in conflict.items:
        if item.revision != ABSENT and not item.deleted:
            current[item.key] = _entry(item)
    return Mismatch(current)


def _single_outcome(key: str, outcome: TransactOutcome) -> WriteOutcome:
    if isinstance(outcome, Mismatch):
        return Conflict(outcome.current.get(key))
    if isinstance(outcome, LeaseExpired):
        return Unavailable("the lease of the key has expired")
    return outcome


def _renewal_outcome(lease: LeaseId, response: HttpResponse | Unavailable) -> LeaseOutcome:
    if isinstance(response, Unavailable):
        return response
    if response.status == HTTPStatus.NOT_FOUND:
        return LeaseExpired()
    body = _decode(response, LeaseBody)
    return _unexpected(response) if body is None else Granted(lease, body.ttl_ms / 1000)


def _decode(response: HttpResponse, kind: type[T], status: int = HTTPStatus.OK) -> T | None:
    """Return the decoded body, or None if the status differs or the body is invalid.

    The caller reports None as an unexpected response.
    """
    if response.status != status:
        return None
    try:
        return decode_json(response.body, kind, "the response", "check the store's address")
    except MessageError:
        return None


def _unexpected(response: HttpResponse) -> Unavailable:
    return Unavailable(
        f"unexpected response from the store, status {response.status}", applied_unknown=True
    )
