"""Core types: ids, states, jobs, the document and outcomes."""

from __future__ import annotations

from chivefall.model._document import Account, Document, Guarantee, Service
from chivefall.model._ids import (
    AccountId,
    AttemptId,
    DomainId,
    EndpointId,
    Epoch,
    IdempotencyKey,
    InstanceId,
    JobId,
    RackId,
    RequestId,
    Revision,
    ServiceId,
    TeamId,
    WorkerId,
)
from chivefall.model._jobs import GangMember, JobRecord, JobSpec, Placement, domain_of_job
from chivefall.model._outcomes import Accepted, Completed, NotRun, Outcome, Unknown
from chivefall.model._states import (
    Adjacency,
    DomainState,
    InstanceKind,
    InstanceStatus,
    JobState,
    NotRunReason,
    TaskState,
    Urgency,
    WorkerState,
)

__all__ = [
    "Accepted",
    "Account",
    "AccountId",
    "Adjacency",
    "AttemptId",
    "Completed",
    "Document",
    "DomainId",
    "DomainState",
    "EndpointId",
    "Epoch",
    "GangMember",
    "Guarantee",
    "IdempotencyKey",
    "InstanceId",
    "InstanceKind",
    "InstanceStatus",
    "JobId",
    "JobRecord",
    "JobSpec",
    "JobState",
    "NotRun",
    "NotRunReason",
    "Outcome",
    "Placement",
    "RackId",
    "RequestId",
    "Revision",
    "Service",
    "ServiceId",
    "TaskState",
    "TeamId",
    "Unknown",
    "Urgency",
    "WorkerId",
    "WorkerState",
    "domain_of_job",
]
