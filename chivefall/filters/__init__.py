"""Filter chain of callers' requests."""

from __future__ import annotations

from chivefall.filters._account import AccountFilter
from chivefall.filters._admission import AdmissionFilter
from chivefall.filters._base import (
    Filter,
    FilterChain,
    Proceed,
    RequestContext,
    RequestKind,
    ServiceCall,
)
from chivefall.filters._deadline import DeadlineFilter
from chivefall.filters._dispatch import DispatchFilter
from chivefall.filters._feasibility import FeasibilityFilter
from chivefall.filters._idempotency import IdempotencyFilter
from chivefall.filters._shutdown import ShutdownFilter

__all__ = [
    "AccountFilter",
    "AdmissionFilter",
    "DeadlineFilter",
    "DispatchFilter",
    "FeasibilityFilter",
    "Filter",
    "FilterChain",
    "IdempotencyFilter",
    "Proceed",
    "RequestContext",
    "RequestKind",
    "ServiceCall",
    "ShutdownFilter",
]
