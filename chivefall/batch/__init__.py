"""Batch jobs of steps and tasks: model, state transitions and scheduling decisions."""

from __future__ import annotations

from chivefall.batch._admission import MAX_JOBS_BYTES, find_accounts_to_refuse
from chivefall.batch._codec import (
    decode_ends,
    decode_job_state,
    decode_submission,
    encode_ends,
    encode_progress,
    encode_submission,
    restore_progress,
)
from chivefall.batch._displacement import Displacement, DisplacementReason, find_displacements
from chivefall.batch._fleet import Fleet, Worker
from chivefall.batch._job import BatchJob, EndKind, RecordedEnd, Submission
from chivefall.batch._model import (
    NO_CHECKPOINT,
    ApiKey,
    BatchSpec,
    Catalog,
    Checkpoint,
    ClientAccount,
    EndSequence,
    Incarnation,
    JobState,
    LabelId,
    Queue,
    QueueId,
    Resources,
    RunId,
    RunNumber,
    Service,
    StepSpec,
    TaskKey,
    WorkerEntry,
    WorkerStatus,
)
from chivefall.batch._plan import Candidate, GroupStart, Plan
from chivefall.batch._platform import PlatformCodec
from chivefall.batch._policy import BatchPolicy, DeadlinePolicy
from chivefall.batch._requests import (
    BatchOperation,
    BatchOutcome,
    BatchRequest,
    CatalogOutdated,
    JobNotFound,
    JobStatus,
    PendingJobs,
)
from chivefall.batch._stops import StopCause, StopReason
from chivefall.batch._task import Assignment, Task, TaskState
from chivefall.batch._timing import (
    LEASE_EXTENSION_GRACE_SECONDS,
    MIN_CLOCK_RATE,
    START_ATTEMPTS,
    BatchTiming,
)
from chivefall.batch._validation import find_spec_problem

__all__ = [
    "LEASE_EXTENSION_GRACE_SECONDS",
    "MAX_JOBS_BYTES",
    "MIN_CLOCK_RATE",
    "NO_CHECKPOINT",
    "START_ATTEMPTS",
    "ApiKey",
    "Assignment",
    "BatchJob",
    "BatchOperation",
    "BatchOutcome",
    "BatchPolicy",
    "BatchRequest",
    "BatchSpec",
    "BatchTiming",
    "Candidate",
    "Catalog",
    "CatalogOutdated",
    "Checkpoint",
    "ClientAccount",
    "DeadlinePolicy",
    "Displacement",
    "DisplacementReason",
    "EndKind",
    "EndSequence",
    "Fleet",
    "GroupStart",
    "Incarnation",
    "JobNotFound",
    "JobState",
    "JobStatus",
    "LabelId",
    "PendingJobs",
    "Plan",
    "PlatformCodec",
    "Queue",
    "QueueId",
    "RecordedEnd",
    "Resources",
    "RunId",
    "RunNumber",
    "Service",
    "StepSpec",
    "StopCause",
    "StopReason",
    "Submission",
    "Task",
    "TaskKey",
    "TaskState",
    "Worker",
    "WorkerEntry",
    "WorkerStatus",
    "decode_ends",
    "decode_job_state",
    "decode_submission",
    "encode_ends",
    "encode_progress",
    "encode_submission",
    "find_accounts_to_refuse",
    "find_displacements",
    "find_spec_problem",
    "restore_progress",
]
