"""Controllers, each of which owns one kind of state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall._lazy import lazy_attributes

if TYPE_CHECKING:
    from chivefall.controllers._base import Controller
    from chivefall.controllers._claims import (
        ClaimAcquired,
        ClaimController,
        ClaimRequest,
        ClaimUnavailable,
    )
    from chivefall.controllers._leader import LeaderController, LeaderState
    from chivefall.controllers._membership import MembershipController
    from chivefall.controllers.document import DocumentController
    from chivefall.controllers.endpoints import EndpointController, ServiceRequest
    from chivefall.controllers.jobs import DrainController, JobController, JobRouter
    from chivefall.controllers.workers import WorkerController

__all__ = [
    "ClaimAcquired",
    "ClaimController",
    "ClaimRequest",
    "ClaimUnavailable",
    "Controller",
    "DocumentController",
    "DrainController",
    "EndpointController",
    "JobController",
    "JobRouter",
    "LeaderController",
    "LeaderState",
    "MembershipController",
    "ServiceRequest",
    "WorkerController",
]

__getattr__ = lazy_attributes(
    __name__,
    {
        "ClaimController": "_claims",
        "ClaimRequest": "_claims",
        "Controller": "_base",
        "DocumentController": "document",
        "DrainController": "jobs",
        "EndpointController": "endpoints",
        "ClaimAcquired": "_claims",
        "JobController": "jobs",
        "JobRouter": "jobs",
        "LeaderController": "_leader",
        "LeaderState": "_leader",
        "MembershipController": "_membership",
        "ServiceRequest": "endpoints",
        "ClaimUnavailable": "_claims",
        "WorkerController": "workers",
    },
)
