"""Enumerations of states, kinds and reasons."""

from __future__ import annotations

from enum import Enum

__all__ = [
    "Adjacency",
    "DomainState",
    "InstanceKind",
    "InstanceStatus",
    "JobState",
    "NotRunReason",
    "TaskState",
    "Urgency",
    "WorkerState",
]


class Adjacency(Enum):
    """The topology level within which a whole gang must be placed."""

    WORKER = "worker"
    RACK = "rack"
    DOMAIN = "domain"


class DomainState(Enum):
    """Whether operators allow new work in a failure domain."""

    IN_SERVICE = "in_service"
    OUT_OF_SERVICE = "out_of_service"


class InstanceKind(Enum):
    """The role of an instance in the platform's list."""

    ENTRY = "entry"
    WORKER = "worker"
    ENDPOINT = "endpoint"


class InstanceStatus(Enum):
    """The status of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class JobState(Enum):
    """The life cycle of a job."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    TRANSFERRING = "transferring"
    MOVED = "moved"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return whether the job can no longer change state in this failure domain."""
        return self in _FINAL_JOB_STATES


_FINAL_JOB_STATES = frozenset(
    {JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED, JobState.MOVED}
)


class NotRunReason(Enum):
    """Why a request was refused before it ran."""

    SHUTTING_DOWN = "shutting_down"
    UNKNOWN_ACCOUNT = "unknown_account"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_QUEUE = "unknown_queue"
    UNKNOWN_KEY = "unknown_key"  # API key
    BAD_REQUEST = "bad_request"
    INFEASIBLE = "infeasible"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    NO_CAPACITY = "no_capacity"
    NO_LEADER = "no_leader"
    STORE_UNAVAILABLE = "store_unavailable"
    DUPLICATE = "duplicate"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


class TaskState(Enum):
    """The state of the part of a gang on one worker, as the worker reports it."""

    RESERVED = "reserved"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"

    @property
    def is_final(self) -> bool:
        """Return whether the task has released its accelerators."""
        return self not in (TaskState.RESERVED, TaskState.RUNNING)


class Urgency(Enum):
    """How soon a job has to start."""

    NORMAL = "normal"
    URGENT = "urgent"


class WorkerState(Enum):
    """Whether a worker may receive tasks."""

    HEALTHY = "healthy"
    PROBATION = "probation"
    QUARANTINED = "quarantined"
    LEAVING = "leaving"
    LOST = "lost"
