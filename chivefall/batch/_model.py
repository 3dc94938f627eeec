"""Batch jobs as callers submit them, and the operators' catalog."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, NewType

import msgspec

from chivefall.model import AccountId, DomainId, JobId, RackId, ServiceId, WorkerId

__all__ = [
    "ApiKey",
    "BatchSpec",
    "Catalog",
    "Checkpoint",
    "ClientAccount",
    "EndSequence",
    "Incarnation",
    "JobState",
    "LabelId",
    "Queue",
    "QueueId",
    "Resources",
    "RunId",
    "RunNumber",
    "Service",
    "StepSpec",
    "TaskKey",
    "WorkerEntry",
    "WorkerStatus",
]

ApiKey = NewType("ApiKey", str)
Checkpoint = NewType("Checkpoint", str)
EndSequence = NewType("EndSequence", int)
Incarnation = NewType("Incarnation", int)
"""Distinguishes the lives of a worker that starts again under its id."""
LabelId = NewType("LabelId", str)
QueueId = NewType("QueueId", str)
RunNumber = NewType("RunNumber", int)
"""Numbers the starts of a task from 1; the members of a gang share it."""

NO_CHECKPOINT = Checkpoint("")


class JobState(Enum):
    """State of a batch job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return whether the job changes no more."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class WorkerStatus(Enum):
    """What a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


class Resources(msgspec.Struct, frozen=True):
    """Room that a task needs or a worker has.

    A struct and not a dataclass, because rounds compute thousands of them.

    Attributes
    ----------
    cpu : int
        Thousandths of a core.
    memory : int
        Megabytes.
    accelerators : int
        Whole accelerators.
    """

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def __mul__(self, count: int) -> Resources:
        return Resources(self.cpu * count, self.memory * count, self.accelerators * count)

    def count_fitting(self, unit: Resources) -> int:
        """Return how many times ``unit`` fits; negative room holds none."""
        count = UNLIMITED_TASKS
        if unit.cpu > 0:
            count = self.cpu // unit.cpu
        if unit.memory > 0:
            count = min(count, self.memory // unit.memory)
        if unit.accelerators > 0:
            count = min(count, self.accelerators // unit.accelerators)
        return max(0, count)


UNLIMITED_TASKS = 1_000_000  # tasks; more than any step has


class TaskKey(NamedTuple):
    """A task within its job."""

    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.occurrence}.{self.step}.{self.index}"


@dataclass(frozen=True, order=True)
class RunId:
    """One start of one task."""

    job: JobId
    task: TaskKey
    number: RunNumber

    def __str__(self) -> str:
        return f"{self.job}.{self.task}#{self.number}"


class StepSpec(msgspec.Struct, frozen=True):
    """A step: identical tasks that start once all steps in ``after`` are done.

    A struct and not a dataclass, because stored records keep the key ``room`` for ``resources``.

    Attributes
    ----------
    resources : Resources
        Resources that each task needs.
    run_time : float
        Declared run time of a task in seconds; a rough estimate.
    gang : bool
        Whether the tasks run only together and end together.
    same_rack : bool
        Whether the tasks are slow when they run on more than one rack.
    label : LabelId or None
        Label that a worker must have.
    data_rack : RackId or None
        Rack of the data; tasks are slow on any other.
    max_per_worker : int
        Most tasks of the step on one worker; 0 for no limit.
    checkpointed : bool
        Whether tasks resume from their last checkpoint.
    long_running : bool
        Whether tasks run until the job is cancelled and start again however they end.
    fills : bool
        Whether the tasks use processor time that others leave, beyond a worker's room.
    """

    count: int
    resources: Resources = msgspec.field(default_factory=Resources, name="room")
    run_time: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: LabelId | None = None
    data_rack: RackId | None = None
    max_per_worker: int = 0
    checkpointed: bool = False
    long_running: bool = False
    fills: bool = False


@dataclass(frozen=True)
class BatchSpec:
    """A job as its caller describes it.

    Attributes
    ----------
    payload : str
        Text that every task receives unchanged.
    repeat_count : int
        Number of occurrences; 0 for a job without due times.
    first_run, interval : float
        Due time of the first occurrence in seconds since the epoch, and seconds
        between occurrences.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repeat_count: int = 0
    first_run: float = 0.0
    interval: float = 0.0

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.repeat_count)

    def earliest_start(self, occurrence: int) -> float:
        """Return when an occurrence may start, in seconds since the epoch."""
        if not self.repeat_count:
            return 0.0
        return self.first_run + occurrence * self.interval


@dataclass(frozen=True)
class Queue:
    """A queue of the catalog.

    Attributes
    ----------
    priority : int
        0 comes first and may preempt others.
    stretch : float
        Factor of a job's longest chain of work within which it should complete.
    target_latency : float
        Seconds added to that.
    public : bool
        Whether calls need no key.
    """

    name: QueueId
    host: str
    prefix: str
    service: ServiceId
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency: float = 0.0
    public: bool = False
    needs_advice: bool = False


@dataclass(frozen=True)
class Service:
    """A pool of workers."""

    name: ServiceId
    health_path: str = ""
    rejects_overload: bool = False
    standby: bool = False


@dataclass(frozen=True)
class ClientAccount:
    """A client account with its keys and guaranteed accelerators."""

    name: AccountId
    keys: frozenset[ApiKey] = frozenset()
    guaranteed_accelerators: int = 0


class Catalog:
    """One version of the operators' desired state, indexed for lookups."""

    def __init__(
        self,
        version: int = 0,
        queues: tuple[Queue, ...] = (),
        services: tuple[Service, ...] = (),
        accounts: tuple[ClientAccount, ...] = (),
    ) -> None:
        self.version = version
        self.queues = {queue.name: queue for queue in queues}
        self.services = {service.name: service for service in services}
        self.accounts = {account.name: account for account in accounts}
        self._by_host: dict[str, list[Queue]] = {}
        # The longest prefix that a path begins with selects the queue.
        for queue in sorted(queues, key=lambda item: -len(item.prefix)):
            self._by_host.setdefault(queue.host, []).append(queue)
        self._by_key = {key: account.name for account in accounts for key in account.keys}

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a path, or None."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def find_account(self, key: ApiKey) -> AccountId | None:
        """Return the account that a key belongs to, or None."""
        return self._by_key.get(key)


@dataclass(frozen=True)
class WorkerEntry:
    """A worker as the platform lists it.

    Attributes
    ----------
    address : str
        ``host:port`` of the worker's interface.
    remaining : float
        Least seconds that a draining worker goes on.
    """

    worker_id: WorkerId
    service: ServiceId
    address: str
    domain: DomainId
    incarnation: Incarnation
    status: WorkerStatus
    capacity: Resources
    rack: RackId
    labels: frozenset[LabelId] = frozenset()
    remaining: float = 0.0
