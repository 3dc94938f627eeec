"""Scheduling policies: which jobs start on which workers, and which are preempted."""

from __future__ import annotations

from chivefall.scheduling._cluster import (
    ClusterView,
    Plan,
    QueuedJob,
    RunningJob,
    SchedulingPolicy,
    WorkerView,
)
from chivefall.scheduling._drain import drain_order
from chivefall.scheduling._estimator import RunTimeEstimator
from chivefall.scheduling._fifo import FifoPolicy
from chivefall.scheduling._free_capacity import FreeCapacity
from chivefall.scheduling._guarantee_policy import GuaranteePolicy
from chivefall.scheduling._infeasibility import infeasibility_reason
from chivefall.scheduling._placement import find_placement

__all__ = [
    "ClusterView",
    "FifoPolicy",
    "FreeCapacity",
    "GuaranteePolicy",
    "Plan",
    "QueuedJob",
    "RunTimeEstimator",
    "RunningJob",
    "SchedulingPolicy",
    "WorkerView",
    "drain_order",
    "find_placement",
    "infeasibility_reason",
]
