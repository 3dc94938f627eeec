"""HTTP client of the platform's workers and of its list of instances."""

from __future__ import annotations

from dataclasses import replace
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from chivefall.config import Address
from chivefall.decoding import decode_json
from chivefall.errors import ConfigError, MessageError
from chivefall.net import HttpClient, HttpFailure
from chivefall.telemetry import LogEvent, log_event
from chivefall.workers._client import (
    CommandAccepted,
    CommandOutcome,
    CommandRefused,
    Instance,
    LeaseReport,
    LeaseRequest,
    TaskReport,
    TaskShare,
    Unreachable,
    WorkerClient,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from chivefall.model import AttemptId, ConnectionId, Epoch

__all__ = ["HttpWorkerClient"]

T = TypeVar("T")

MAX_AMOUNT = 1_000_000  # accelerators or slots of one instance
MAX_QUOTED_LENGTH = 100  # characters of an instance's name that a log line quotes

RENEWAL_TIMEOUT_MARGIN_SECONDS = 2.0  # added to the wait of a renewal to get its timeout


class HttpWorkerClient(WorkerClient):
    """Client of workers and of the platform's list of instances."""

    def __init__(self, http: HttpClient, platform: Address, timeout: float) -> None:
        self._http = http
        self._platform = platform
        self._timeout = timeout
        self._list_etag = ""
        self._instances: tuple[Instance, ...] = ()

    async def list_instances(self) -> tuple[Instance, ...] | Unreachable:
        """Read the platform's list of instances, which lags behind the actual state.

        The list of 920 workers has 170 KB, so it is transferred only if its ETag changed.
        """
        headers = {"If-None-Match": self._list_etag} if self._list_etag else {}
        response = await self._http.request(
            self._platform, "GET", "/v1/instances", b"", headers, self._timeout
        )
        if isinstance(response, HttpFailure):
            return Unreachable(response.reason, response.sent)
        if response.status == HTTPStatus.NOT_MODIFIED:
            return self._instances
        if response.status >= HTTPStatus.MULTIPLE_CHOICES:
            return Unreachable(
                f"the platform sent status {response.status}, not the list of instances", sent=True
            )
        try:
            self._instances = _decode_instances(response.body)
        except MessageError as exc:
            return Unreachable(str(exc), sent=True)
        self._list_etag = response.headers.get("etag", "")
        return self._instances

    async def renew(
        self,
        address: Address,
        request: LeaseRequest,
        connections: Collection[ConnectionId] | None = None,
    ) -> LeaseReport | CommandRefused | Unreachable:
        """Renew a worker's leases and wait for changes of its tasks."""
        body = msgspec.json.encode(request)
        response = await self._http.request(
            address,
            "POST",
            "/v1/lease",
            body,
            timeout=request.wait + RENEWAL_TIMEOUT_MARGIN_SECONDS,
            connections=connections,
        )
        if isinstance(response, HttpFailure):
            return Unreachable(response.reason, response.sent)
        if response.status >= HTTPStatus.MULTIPLE_CHOICES:
            return _refused(response.status, response.body)
        try:
            report = _decode(response.body, LeaseReport)
        except MessageError as exc:
            return Unreachable(str(exc), sent=True)
        return replace(report, connection=response.connection)

    async def reserve(
        self, address: Address, epoch: Epoch, share: TaskShare, ttl: float
    ) -> CommandOutcome:
        """Reserve accelerators for ``ttl`` seconds without running anything."""
        return await self._command(
            address, "/v1/reservations", {"epoch": epoch, "share": share, "ttl": ttl}
        )

    async def commit(
        self, address: Address, epoch: Epoch, attempt: AttemptId, gang_lease: float
    ) -> CommandOutcome:
        """Start a reserved share; it ends after ``gang_lease`` seconds unless confirmed."""
        return await self._command(
            address,
            f"/v1/reservations/{attempt}/commit",
            {"epoch": epoch, "gang_lease": gang_lease},
        )

    async def confirm(self, address: Address, epoch: Epoch, attempt: AttemptId) -> CommandOutcome:
        """Confirm to a running share that its whole gang runs."""
        return await self._command(address, f"/v1/tasks/{attempt}/confirm", {"epoch": epoch})

    async def checkpoint(
        self, address: Address, epoch: Epoch, attempt: AttemptId
    ) -> CommandOutcome:
        """Checkpoint a share and end it."""
        return await self._command(address, f"/v1/tasks/{attempt}/checkpoint", {"epoch": epoch})

    async def stop(self, address: Address, epoch: Epoch, attempt: AttemptId) -> CommandOutcome:
        """End a share or release its reservation."""
        return await self._command(address, f"/v1/tasks/{attempt}/stop", {"epoch": epoch})

    async def _command(self, address: Address, path: str, body: dict[str, Any]) -> CommandOutcome:
        response = await self._http.request(
            address, "POST", path, msgspec.json.encode(body), timeout=self._timeout
        )
        if isinstance(response, HttpFailure):
            return Unreachable(response.reason, response.sent)
        if response.status >= HTTPStatus.MULTIPLE_CHOICES:
            return _refused(response.status, response.body)
        try:
            return CommandAccepted(_decode(response.body, TaskReport))
        except MessageError as exc:
            return Unreachable(str(exc), sent=True)


def _decode_instances(data: bytes) -> tuple[Instance, ...]:
    """Return the instances in the platform's list, without entries that name no instance.

    Raises
    ------
    MessageError
        If the data is not a list, or no entry can be decoded.
    """
    instances: list[Instance] = []
    entries = _decode(data, list[msgspec.Raw])
    for raw in entries:
        try:
            instances.append(_decode_instance(raw))
        except MessageError as exc:
            log_event(LogEvent.WORKER_ENTRY_INVALID, key="", version=0, reason=str(exc))
    if entries and not instances:
        raise MessageError(
            "no entry of the list of instances can be decoded", "check the address of the platform"
        )
    return tuple(instances)


def _decode_instance(data: bytes) -> Instance:
    instance = _decode(data, Instance)
    amounts = (instance.accelerators, instance.slots)
    if not all(0 <= amount <= MAX_AMOUNT for amount in amounts):
        raise MessageError(
            f"instance {instance.instance[:MAX_QUOTED_LENGTH]!r} has an invalid capacity",
            f"use numbers from 0 to {MAX_AMOUNT}",
        )
    try:
        Address.parse(instance.address)
    except ConfigError as exc:
        raise MessageError(exc.problem, exc.remedy) from exc
    return instance


def _decode(data: bytes, kind: type[T]) -> T:
    return decode_json(data, kind, "the response", "check which program listens at the address")


def _refused(status: int, body: bytes) -> CommandRefused | Unreachable:
    try:
        return _decode(body, CommandRefused)
    except MessageError:
        return Unreachable(
            f"the worker sent status {status} without a refusal that can be decoded", sent=True
        )
