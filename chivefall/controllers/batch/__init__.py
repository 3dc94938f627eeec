"""Controllers for batch jobs: catalog, submissions, fleet and scheduler."""

from __future__ import annotations

from chivefall.controllers.batch._catalog import CatalogController
from chivefall.controllers.batch._fleet import FleetController
from chivefall.controllers.batch._run_listener import RunListener
from chivefall.controllers.batch._scheduler import BatchScheduler
from chivefall.controllers.batch._submissions import SubmissionController

__all__ = [
    "BatchScheduler",
    "CatalogController",
    "FleetController",
    "RunListener",
    "SubmissionController",
]
