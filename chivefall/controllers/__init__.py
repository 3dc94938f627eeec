"""Controllers; each owns one kind of state."""

from __future__ import annotations

from chivefall.controllers._base import Controller
from chivefall.controllers._claims import ClaimController, ClaimRequest, Held, Unclaimed
from chivefall.controllers._document import DocumentController
from chivefall.controllers._drain import DrainController
from chivefall.controllers._endpoints import EndpointController, ServiceRequest
from chivefall.controllers._job_router import JobRouter
from chivefall.controllers._jobs import JobController
from chivefall.controllers._leader import LeaderController, LeaderState
from chivefall.controllers._membership import MembershipController
from chivefall.controllers._workers import WorkerController

__all__ = [
    "ClaimController",
    "ClaimRequest",
    "Controller",
    "DocumentController",
    "DrainController",
    "EndpointController",
    "Held",
    "JobController",
    "JobRouter",
    "LeaderController",
    "LeaderState",
    "MembershipController",
    "ServiceRequest",
    "Unclaimed",
    "WorkerController",
]
