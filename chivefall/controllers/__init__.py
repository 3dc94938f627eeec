"""Controllers; each owns one kind of state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall._lazy import lazy_attributes

if TYPE_CHECKING:
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

__getattr__ = lazy_attributes(
    __name__,
    {
        "ClaimController": "_claims",
        "ClaimRequest": "_claims",
        "Controller": "_base",
        "DocumentController": "_document",
        "DrainController": "_drain",
        "EndpointController": "_endpoints",
        "Held": "_claims",
        "JobController": "_jobs",
        "JobRouter": "_job_router",
        "LeaderController": "_leader",
        "LeaderState": "_leader",
        "MembershipController": "_membership",
        "ServiceRequest": "_endpoints",
        "Unclaimed": "_claims",
        "WorkerController": "_workers",
    },
)
