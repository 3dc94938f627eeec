"""Decoder of what operators and workers write to the platform's store."""

from __future__ import annotations

import msgspec

from chivefall.batch import (
    ApiKey,
    Catalog,
    ClientAccount,
    Incarnation,
    LabelId,
    PlatformCodec,
    Queue,
    QueueId,
    Resources,
    Service,
    WorkerEntry,
    WorkerStatus,
)
from chivefall.errors import MessageError
from chivefall.model import AccountId, DomainId, RackId, ServiceId, WorkerId
from chivefall.platform._wire import Capacity, CatalogBody, WorkerBody

__all__ = ["JsonPlatformCodec"]

EVACUATION_PREFIX = "op/evacuate/"


class JsonPlatformCodec(PlatformCodec):
    """Decodes the operators' keys and the workers' entries, whose values are JSON."""

    catalog_key = "op/config"
    operator_prefix = "op/"
    worker_prefix = "servers/"

    def decode_catalog(self, value: bytes) -> Catalog:
        """Return the desired state.

        Raises
        ------
        MessageError
            If it cannot be decoded.
        """
        try:
            body = msgspec.json.decode(value, type=CatalogBody)
        except msgspec.MsgspecError as exc:
            raise MessageError(
                f"the desired state cannot be decoded: {exc}",
                "ask the operators to correct the key op/config",
            ) from exc
        return Catalog(
            body.version,
            tuple(_queue(route) for route in body.routes),
            tuple(
                Service(ServiceId(item.name), item.health_path, item.rejects_overload, item.standby)
                for item in body.services
            ),
            tuple(
                ClientAccount(
                    AccountId(item.name),
                    frozenset(ApiKey(key) for key in item.api_keys),
                    item.guaranteed.gpu if item.guaranteed else 0,
                )
                for item in body.tenants
            ),
        )

    def domain_out_of_service(self, key: str) -> DomainId | None:
        """Return the failure domain that a key takes out of service, or None."""
        if not key.startswith(EVACUATION_PREFIX):
            return None
        return DomainId(key.removeprefix(EVACUATION_PREFIX))

    def worker_id(self, key: str) -> WorkerId:
        """Return the id of the worker that a key belongs to."""
        return WorkerId(key.removeprefix(self.worker_prefix))

    def decode_worker(self, key: str, value: bytes) -> WorkerEntry | None:
        """Return a worker's entry, or None if it does not describe a usable worker.

        Other programs write below the same prefix, so a value may contain anything.
        """
        try:
            body = msgspec.json.decode(value, type=WorkerBody)
            status = WorkerStatus(body.state)
        except (msgspec.MsgspecError, ValueError, UnicodeDecodeError):
            return None
        host, _, port = body.addr.rpartition(":")
        if not host or not port.isdigit():
            return None
        return WorkerEntry(
            self.worker_id(key),
            ServiceId(body.service),
            body.addr,
            DomainId(body.zone),
            Incarnation(body.born),
            status,
            _resources(body.capacity),
            RackId(body.labels[-1] if body.labels else ""),
            frozenset(LabelId(label) for label in body.labels),
            body.remaining_ms / 1000,
        )


def _resources(capacity: Capacity) -> Resources:
    return Resources(capacity.cpu, capacity.mem_mb, capacity.gpu)


def _queue(route) -> Queue:
    return Queue(
        QueueId(route.name),
        route.host,
        route.prefix,
        ServiceId(route.service),
        route.priority,
        route.max_attempts,
        route.stretch,
        route.target_latency_ms / 1000,
        route.public,
        bool(route.advice),
    )
