"""Why runs are stopped."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

__all__ = ["StopCause", "StopReason"]


class StopReason(Enum):
    """Why a run is stopped.

    PREEMPTED: for an urgent job. DISPLACED: to continue on another worker. GANG_MEMBER_LOST:
    another member of its gang cannot run. JOB_ENDED: the job was cancelled or has failed.
    START_UNCERTAIN: the start got no response. DECIDED_EARLIER: the stop was decided before
    the worker reported the run. TASK_DONE: a former run of the task has ended as done.
    UNKNOWN_RUN: there is no record of the run.
    """

    PREEMPTED = "preempted"
    DISPLACED = "displaced"
    GANG_MEMBER_LOST = "gang_member_lost"
    JOB_ENDED = "job_ended"
    START_UNCERTAIN = "start_uncertain"
    DECIDED_EARLIER = "decided_earlier"
    TASK_DONE = "task_done"
    UNKNOWN_RUN = "unknown_run"


@dataclass(frozen=True)
class StopCause:
    """A reason with the inputs of the decision, as they are logged."""

    reason: StopReason
    inputs: Mapping[str, Any] = field(default_factory=dict)
