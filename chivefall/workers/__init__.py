"""Clients of the platform's workers and of its list of instances.

A ``WorkerClient`` sends commands for jobs, a ``RunClient`` orders for batch jobs.
"""

from __future__ import annotations

from chivefall.workers._client import (
    CommandAccepted,
    CommandOutcome,
    CommandRefusalReason,
    CommandRefused,
    Instance,
    LeaseReport,
    LeaseRequest,
    TaskReport,
    TaskShare,
    Unreachable,
    WorkerClient,
)
from chivefall.workers._http_client import HttpWorkerClient
from chivefall.workers._runs import (
    Acknowledgement,
    IncarnationMismatch,
    NoResponse,
    NotSent,
    OrderAccepted,
    OrderOutcome,
    OrderPermission,
    OrderRefusalReason,
    OrderRefused,
    PollMode,
    RenewalOutcome,
    RunClient,
    RunEnd,
    RunOrder,
    RunReport,
    RunStatus,
)

__all__ = [
    "Acknowledgement",
    "CommandAccepted",
    "CommandOutcome",
    "CommandRefusalReason",
    "CommandRefused",
    "HttpWorkerClient",
    "IncarnationMismatch",
    "Instance",
    "LeaseReport",
    "LeaseRequest",
    "NoResponse",
    "NotSent",
    "OrderAccepted",
    "OrderOutcome",
    "OrderPermission",
    "OrderRefusalReason",
    "OrderRefused",
    "PollMode",
    "RenewalOutcome",
    "RunClient",
    "RunEnd",
    "RunOrder",
    "RunReport",
    "RunStatus",
    "TaskReport",
    "TaskShare",
    "Unreachable",
    "WorkerClient",
]
