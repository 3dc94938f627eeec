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
from chivefall.workers._runs import (
    HoldOutcome,
    NoAnswer,
    OrderOutcome,
    OtherLife,
    Ran,
    RefusalReason,
    RunClient,
    RunEnd,
    RunOrder,
    RunRefused,
    RunReport,
    RunStatus,
)

__all__ = [
    "Accepted",
    "CommandOutcome",
    "HoldOutcome",
    "HttpWorkerClient",
    "Instance",
    "LeaseReport",
    "LeaseRequest",
    "NoAnswer",
    "OrderOutcome",
    "OtherLife",
    "Ran",
    "Refusal",
    "RefusalReason",
    "Refused",
    "RunClient",
    "RunEnd",
    "RunOrder",
    "RunRefused",
    "RunReport",
    "RunStatus",
    "TaskReport",
    "TaskShare",
    "Unreachable",
    "WorkerClient",
]
