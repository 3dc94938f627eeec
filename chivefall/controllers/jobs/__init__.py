"""Jobs of a failure domain: records, scheduling rounds, attempts, takeover and transfers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall._lazy import lazy_attributes

if TYPE_CHECKING:
    from chivefall.controllers.jobs._drain import DrainController
    from chivefall.controllers.jobs._jobs import JobController
    from chivefall.controllers.jobs._router import JobRouter

__all__ = [
    "DrainController",
    "JobController",
    "JobRouter",
]

__getattr__ = lazy_attributes(
    __name__,
    {
        "DrainController": "_drain",
        "JobController": "_jobs",
        "JobRouter": "_router",
    },
)
