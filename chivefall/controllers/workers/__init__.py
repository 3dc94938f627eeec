"""Workers of a failure domain: leases, reports and quarantine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall._lazy import lazy_attributes

if TYPE_CHECKING:
    from chivefall.controllers.workers._workers import WorkerController

__all__ = [
    "WorkerController",
]

__getattr__ = lazy_attributes(
    __name__,
    {
        "WorkerController": "_workers",
    },
)
