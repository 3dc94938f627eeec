"""Requests about batch jobs and their outcomes, independent of any transport."""

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
    """Operation of a request."""

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
        Host and path of the request; they select the queue.
    received_at, deadline : float
        Seconds since the Unix epoch.
    queue, account, job_id : optional
        Set by the filters; the caller chooses the job's id as the rest of the path.
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
    """State of a job; the outcome of a status request or a cancellation."""

    state: JobState


@dataclass(frozen=True)
class JobNotFound:
    """No job with this id was accepted."""


@dataclass(frozen=True)
class PendingJobs:
    """Number of accepted jobs of a queue that have not started."""

    count: int


@dataclass(frozen=True)
class CatalogOutdated:
    """The request was checked against a catalog that is no longer current."""


BatchOutcome = Union[
    Accepted, JobStatus, JobNotFound, PendingJobs, CatalogOutdated, NotRun, Unknown
]
