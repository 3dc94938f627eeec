"""Bodies of the platform's messages, with the platform's own field names."""

from __future__ import annotations

from typing import Any

import msgspec

__all__ = [
    "Capacity",
    "CatalogBody",
    "FinishedRow",
    "HoldBody",
    "Item",
    "JobBody",
    "LeaseBody",
    "RangeBody",
    "RunningRow",
    "StepBody",
    "WatchBody",
    "WorkerBody",
]


class Capacity(msgspec.Struct):
    """Capacity of a worker, or guaranteed capacity of a client account."""

    cpu: int = 0  # millicores
    mem_mb: int = 0
    gpu: int = 0


class StepBody(msgspec.Struct):
    """A step of a submitted job; callers omit fields that are 0, false or empty."""

    count: int = 1
    cpu: int = 0  # millicores for each task
    mem_mb: int = 0
    gpu: int = 0
    est_runtime_ms: float = 0
    after: list[int] = []  # indices of the steps that must be done first
    gang: bool = False
    same_rack: bool = False
    constraints: str = ""  # a single label that workers must have, despite the plural
    affinity: str = ""  # the rack with the data; a preference, not a requirement
    anti_affinity: int = 0  # maximum tasks of the step on one worker
    checkpointing: bool = False
    speculative: bool = False  # not used
    long_running: bool = False
    image: str = ""  # not used
    target_ms: float = 0  # not used
    fills: bool = False  # use idle processor time beyond the worker's capacity
    may_miss: int = 0  # not used


class JobBody(msgspec.Struct):
    """A submitted job."""

    task_spec: str = ""  # opaque payload of the tasks, not a description of them
    steps: list[StepBody] = []
    repeat_count: int = 0
    first_run_ms: float = 0  # Unix time in milliseconds
    interval_ms: float = 0


class _Route(msgspec.Struct):
    """A queue of jobs, which the platform calls a route."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0  # 0 is the highest
    max_attempts: int = 1
    stretch: float = 1.0  # factor on a job's critical path that gives its target time
    target_latency_ms: float = 0
    public: bool = False  # requests need no API key
    advice: Any = None  # set if the queue needs placement advice, which is not implemented


class _Service(msgspec.Struct):
    name: str
    health_path: str = ""
    rejects_overload: bool = False
    standby: bool = False


class _Tenant(msgspec.Struct):
    """A client account, which the platform calls a tenant."""

    name: str
    api_keys: list[str] = []
    guaranteed: Capacity | None = None


class CatalogBody(msgspec.Struct):
    """The operators' desired state: queues, services and client accounts."""

    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []


class WorkerBody(msgspec.Struct):
    """The entry that a worker writes about itself."""

    service: str
    addr: str
    zone: str  # the failure domain
    state: str
    capacity: Capacity
    labels: list[str]  # kind and rack; the last one is the rack
    born: int  # Unix time in milliseconds; identifies the incarnation
    remaining_ms: float = 0  # minimum time for which a draining worker keeps running


class RunningRow(msgspec.Struct, array_like=True):
    """A run that has not ended; further elements of the array are ignored."""

    task: str
    run_id: int  # number of the run, unique only within its task
    checkpoint: str
    percent: float


class FinishedRow(msgspec.Struct, array_like=True):
    """The end of a run."""

    number: int  # sequence number of the end
    task: str
    run_id: int
    how: str  # kind of the end
    checkpoint: str


class HoldBody(msgspec.Struct):
    """The response to ``hold``, which renews the leases of a worker."""

    clock_ms: float  # the worker's clock
    running: list[RunningRow] = []
    finished: list[FinishedRow] = []
    born: int = 0  # as in WorkerBody


class Item(msgspec.Struct):
    """A stored key with its value, or its deletion."""

    key: str
    revision: int = 0
    value: bytes = b""  # base64 on the wire
    deleted: bool = False


class RangeBody(msgspec.Struct):
    """A page of a list of keys."""

    at_rev: int  # revision of the store, not of an item
    items: list[Item] = []
    has_more: bool = False


class WatchBody(msgspec.Struct):
    """Changes after a revision."""

    at_rev: int
    events: list[Item] = []


class LeaseBody(msgspec.Struct):
    """A lease of the store."""

    ttl_ms: float
    lease_id: int = 0
