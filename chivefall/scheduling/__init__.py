"""Decisions on what starts where."""

from __future__ import annotations

from chivefall.scheduling._cluster import (
    ClusterView,
    Plan,
    QueuedJob,
    RunningJob,
    SchedulingPolicy,
    WorkerView,
)
from chivefall.scheduling._fifo import FifoPolicy
from chivefall.scheduling._placement import find_placement

__all__ = [
    "ClusterView",
    "FifoPolicy",
    "Plan",
    "QueuedJob",
    "RunningJob",
    "SchedulingPolicy",
    "WorkerView",
    "find_placement",
]
