"""Requests about batch jobs and their tagged outcomes, independent of any transport."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Union

from chivefall.batch._model import ApiKey, BatchSpec, JobState, Queue
from chivefall.model import Accepted, AccountId, JobId, NotRun, Unknown

__all__ = [
    "BatchOperation",
    "BatchOutcome",
    "BatchRequest",
    "CatalogOutdated",
    "JobNotFound",
    "JobStatus",
    "PendingJobs",
]


class BatchOperation(Enum):
    """What the caller asks for."""

    SUBMIT = "submit"
    STATUS = "status"
    CANCEL = "cancel"
    PENDING = "pending"


@dataclass(frozen=True)
class BatchRequest:
    """A request about batch jobs.

    Attributes
    ----------
    host, path : str
        Select the queue.
    job_id : JobId or None
        The job, chosen by the caller; filled in with the queue.
    received_at, deadline : float
        Seconds since the epoch.
    """

    operation: BatchOperation
    host: str
    path: str
    received_at: float
    deadline: float
    key: ApiKey | None = None
    spec: BatchSpec | None = None
    queue: Queue | None = None
    account: AccountId | None = None
    job_id: JobId | None = None


@dataclass(frozen=True)
class JobStatus:
    """The state of a job, also the answer to its cancellation."""

    state: JobState


@dataclass(frozen=True)
class JobNotFound:
    """No such job was accepted."""


@dataclass(frozen=True)
class PendingJobs:
    """Accepted jobs of a queue that have not started."""

    count: int


@dataclass(frozen=True)
class CatalogOutdated:
    """The request was checked against a catalog that is not in force any more."""


BatchOutcome = Union[
    Accepted, JobStatus, JobNotFound, PendingJobs, CatalogOutdated, NotRun, Unknown
]
