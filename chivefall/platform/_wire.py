"""Bodies of the platform's messages, with the platform's own field names."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

__all__ = [
    "Capacity",
    "CatalogBody",
    "FinishedRow",
    "HoldBody",
    "Item",
    "JobBody",
    "LeaseBody",
    "Milliseconds",
    "RangeBody",
    "RunningRow",
    "StepBody",
    "WatchBody",
    "WorkerBody",
]


MAX_INTEGER = 2**53 - 1  # the largest integer that all JSON implementations represent exactly
MAX_RESOURCE = 1_000_000_000  # a million cores in millicores, or a petabyte in megabytes
MAX_NAME_LENGTH = 200  # characters; the store limits keys to as many bytes
MAX_LABELS = 100
MAX_PAYLOAD_LENGTH = 4000  # characters of a task's payload

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_RESOURCE)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


class Capacity(msgspec.Struct):
    """Capacity of a worker, or guaranteed capacity of a client account."""

    cpu: Amount = 0  # millicores
    mem_mb: Amount = 0
    gpu: Amount = 0


class StepBody(msgspec.Struct):
    """A step of a submitted job; callers omit fields that are 0, false or empty."""

    count: int = 1
    cpu: Amount = 0  # millicores for each task
    mem_mb: Amount = 0
    gpu: Amount = 0
    est_runtime_ms: Milliseconds = 0
    after: list[int] = []  # indices of the steps that must be done first
    gang: bool = False
    same_rack: bool = False
    constraints: Name = ""  # a single label that workers must have, despite the plural
    affinity: Name = ""  # the rack with the data; a preference, not a requirement
    anti_affinity: Count = 0  # maximum tasks of the step on one worker
    checkpointing: bool = False
    speculative: bool = False  # not used
    long_running: bool = False
    image: str = ""  # not used
    target_ms: float = 0  # not used
    fills: bool = False  # use idle processor time beyond the worker's capacity
    may_miss: int = 0  # not used


class JobBody(msgspec.Struct):
    """A submitted job."""

    # Opaque payload of the tasks, not a description of them.
    task_spec: Annotated[str, msgspec.Meta(max_length=MAX_PAYLOAD_LENGTH)] = ""
    steps: list[StepBody] = []
    repeat_count: Count = 0
    first_run_ms: Milliseconds = 0  # Unix time
    interval_ms: Milliseconds = 0


class _Route(msgspec.Struct):
    """A queue of jobs, which the platform calls a route."""

    name: str
    host: str
    prefix: str
    service: str
    priority: Count = 0  # 0 is the highest
    max_attempts: Count = 1
    # Factor on a job's critical path that gives its target time.
    stretch: Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)] = 1.0
    target_latency_ms: Milliseconds = 0
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

    version: Count
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []


class WorkerBody(msgspec.Struct):
    """The entry that a worker writes about itself."""

    service: Name
    addr: Name
    zone: Name  # the failure domain
    state: Name
    capacity: Capacity
    # Kind and rack; the last one is the rack.
    labels: Annotated[list[Name], msgspec.Meta(max_length=MAX_LABELS)]
    # Unix time in milliseconds; identifies the incarnation.
    born: Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
    remaining_ms: Milliseconds = 0  # minimum time for which a draining worker keeps running


class RunningRow(msgspec.Struct, array_like=True):
    """A run that has not ended; further elements of the array are ignored."""

    task: str
    run_id: Count  # number of the run, unique only within its task
    checkpoint: str
    percent: float


class FinishedRow(msgspec.Struct, array_like=True):
    """The end of a run."""

    number: Count  # sequence number of the end
    task: str
    run_id: Count
    how: str  # kind of the end
    checkpoint: str


class HoldBody(msgspec.Struct):
    """The response to ``hold``, which renews the leases of a worker."""

    clock_ms: Milliseconds  # the worker's clock
    running: list[RunningRow] = []
    finished: list[FinishedRow] = []
    born: Count = 0  # as in WorkerBody


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
