"""Client of the platform's workers and of its list of instances."""

from __future__ import annotations

from chivefall.workers._client import (
    Accepted,
    CommandOutcome,
    Instance,
    LeaseReport,
    LeaseRequest,
    Refusal,
    Refused,
    TaskReport,
    TaskShare,
    Unreachable,
    WorkerClient,
)
from chivefall.workers._http_client import HttpWorkerClient

__all__ = [
    "Accepted",
    "CommandOutcome",
    "HttpWorkerClient",
    "Instance",
    "LeaseReport",
    "LeaseRequest",
    "Refusal",
    "Refused",
    "TaskReport",
    "TaskShare",
    "Unreachable",
    "WorkerClient",
]
