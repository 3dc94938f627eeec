"""Specifications of batch jobs, the operators' catalog, and entries of workers."""

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
"""Distinguishes successive processes of a worker that restarts under the same id."""
LabelId = NewType("LabelId", str)
QueueId = NewType("QueueId", str)
RunNumber = NewType("RunNumber", int)
"""Number of a run of a task, from 1; members of a gang run under the same number."""

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
        """Return whether the state can no longer change."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class WorkerStatus(Enum):
    """State that a worker reports in its entry."""

    READY = "ready"
    DRAINING = "draining"


class Resources(msgspec.Struct, frozen=True):
    """Resources that a task needs or a worker has.

    A struct and not a dataclass, because each round creates thousands of them.

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
        """Return how many times ``unit`` fits; 0 if any resource it needs is negative."""
        count = UNLIMITED_TASKS
        if unit.cpu > 0:
            count = self.cpu // unit.cpu
        if unit.memory > 0:
            count = min(count, self.memory // unit.memory)
        if unit.accelerators > 0:
            count = min(count, self.accelerators // unit.accelerators)
        return max(0, count)


UNLIMITED_TASKS = 1_000_000  # more than any step has


class TaskKey(NamedTuple):
    """Identifies a task within its job."""

    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.occurrence}.{self.step}.{self.index}"


class RunId(NamedTuple):
    """Identifies one run of a task.

    A tuple and not a dataclass, because a round hashes and compares thousands of them.
    """

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
        Whether the tasks start and end together.
    same_rack : bool
        Whether the tasks are slow if they do not all run on one rack.
    label : LabelId or None
        Label that workers must have.
    data_rack : RackId or None
        Rack that holds the data; tasks are slow on other racks.
    max_per_worker : int
        Limit of tasks of the step on one worker; 0 for no limit.
    checkpointed : bool
        Whether tasks resume from their last checkpoint.
    long_running : bool
        Whether tasks are restarted whenever they end, until the job is cancelled.
    fills : bool
        Whether the tasks use idle processor time beyond the capacity of the worker.
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
    """Specification of a job, as submitted.

    Attributes
    ----------
    payload : str
        Text that is passed unchanged to every task.
    repeat_count : int
        Number of occurrences; 0 for a job that runs once, as soon as possible.
    first_run, interval : float
        Earliest start of the first occurrence in seconds since the Unix epoch, and seconds
        between the occurrences.
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
        """Return the earliest start of an occurrence, in seconds since the Unix epoch."""
        if not self.repeat_count:
            return 0.0
        return self.first_run + occurrence * self.interval


@dataclass(frozen=True)
class Queue:
    """A queue of the catalog.

    Attributes
    ----------
    priority : int
        0 is the highest priority and may preempt others.
    max_attempts : int
        Number of failed runs of a task or gang at which the job fails.
    stretch : float
        A job should complete within its critical path times this factor, plus
        ``target_latency``.
    target_latency : float
        Seconds.
    public : bool
        Whether requests need no API key.
    needs_advice : bool
        Whether the queue needs placement advice, which is not implemented.
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
    """A service of the catalog: a pool of workers."""

    name: ServiceId
    health_path: str = ""
    rejects_overload: bool = False
    standby: bool = False


@dataclass(frozen=True)
class ClientAccount:
    """A client account with its API keys and guaranteed accelerators."""

    name: AccountId
    keys: frozenset[ApiKey] = frozenset()
    guaranteed_accelerators: int = 0


class Catalog:
    """One version of the operators' desired state, with indexes for lookups."""

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
        # Sorted so that the longest matching prefix selects the queue.
        for queue in sorted(queues, key=lambda item: -len(item.prefix)):
            self._by_host.setdefault(queue.host, []).append(queue)
        self._by_key = {key: account.name for account in accounts for key in account.keys}

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue that serves a path, or None."""
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
        ``host:port`` at which the worker accepts calls.
    remaining : float
        Minimum time for which a draining worker keeps running, in seconds.
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
