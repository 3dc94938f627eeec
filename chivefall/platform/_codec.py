"""Decoder of what operators and workers write to the platform's store."""

from __future__ import annotations

import re
import socket

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
from chivefall.config import Address
from chivefall.decoding import decode_json
from chivefall.errors import ConfigError, MessageError
from chivefall.model import AccountId, DomainId, RackId, ServiceId, WorkerId
from chivefall.platform._wire import Capacity, CatalogBody, WorkerBody

__all__ = ["JsonPlatformCodec"]

EVACUATION_PREFIX = "op/evacuate/"
FIRST_OCTETS_OF_HOSTS = range(1, 224)  # 0 is unspecified; multicast and reserved from 224
ENTRY_REMEDY = "ask who wrote the entry; it names no worker to use"
_WORKER_ID = re.compile(r"[!-.0-~]{1,192}")  # printable ASCII without a slash; sent in a header


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
        body: CatalogBody = decode_json(
            value,
            CatalogBody,
            "the desired state",
            "ask the operators to correct the key op/config",
        )
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

    def decode_worker(self, key: str, value: bytes) -> WorkerEntry:
        """Return a worker's entry.

        Other programs write below the same prefix, so a value may contain anything.

        Raises
        ------
        MessageError
            If the entry does not describe a usable worker.
        """
        worker_id = self.worker_id(key)
        if not _WORKER_ID.fullmatch(worker_id):
            raise MessageError("the key does not end with a worker id", ENTRY_REMEDY)
        body: WorkerBody = decode_json(value, WorkerBody, "the entry", ENTRY_REMEDY)
        try:
            status = WorkerStatus(body.state)
        except ValueError:
            raise MessageError(f"the state {body.state!r} is unknown", ENTRY_REMEDY) from None
        return WorkerEntry(
            worker_id,
            ServiceId(body.service),
            str(_worker_address(body.addr)),
            DomainId(body.zone),
            Incarnation(body.born),
            status,
            _resources(body.capacity),
            RackId(body.labels[-1] if body.labels else ""),
            frozenset(LabelId(label) for label in body.labels),
            body.remaining_ms / 1000,
        )


def _worker_address(text: str) -> Address:
    """Return the IPv4 address and port in an entry.

    Raises
    ------
    MessageError
        If a worker cannot be reached at the address.
    """
    try:
        address = Address.parse(text)
        octets = socket.inet_pton(socket.AF_INET, address.host)
    except (ConfigError, OSError, ValueError):
        raise MessageError(f"{text!r} is not an IPv4 address with a port", ENTRY_REMEDY) from None
    if octets[0] not in FIRST_OCTETS_OF_HOSTS:
        raise MessageError(f"{text!r} is not the address of a host", ENTRY_REMEDY)
    return address


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
