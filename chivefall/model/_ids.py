"""Identifier types shared by every package."""

from __future__ import annotations

from typing import NewType

__all__ = [
    "AccountId",
    "AttemptId",
    "ConnectionId",
    "DomainId",
    "EndpointId",
    "Epoch",
    "IdempotencyKey",
    "InstanceId",
    "JobId",
    "RackId",
    "RequestId",
    "Revision",
    "ServiceId",
    "TeamId",
    "WorkerId",
]

AccountId = NewType("AccountId", str)
AttemptId = NewType("AttemptId", str)
ConnectionId = NewType("ConnectionId", int)
"""Number of a connection that this process has opened or accepted; never used again."""
DomainId = NewType("DomainId", str)
EndpointId = NewType("EndpointId", str)
Epoch = NewType("Epoch", int)
IdempotencyKey = NewType("IdempotencyKey", str)
InstanceId = NewType("InstanceId", str)
JobId = NewType("JobId", str)
RackId = NewType("RackId", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
ServiceId = NewType("ServiceId", str)
TeamId = NewType("TeamId", str)
WorkerId = NewType("WorkerId", str)
