"""Filter chain for client requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall._lazy import lazy_attributes

if TYPE_CHECKING:
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

__getattr__ = lazy_attributes(
    __name__,
    {
        "AccountFilter": "_account",
        "AdmissionFilter": "_admission",
        "DeadlineFilter": "_deadline",
        "DispatchFilter": "_dispatch",
        "FeasibilityFilter": "_feasibility",
        "Filter": "_base",
        "FilterChain": "_base",
        "IdempotencyFilter": "_idempotency",
        "Proceed": "_base",
        "RequestContext": "_base",
        "RequestKind": "_base",
        "ServiceCall": "_base",
        "ShutdownFilter": "_shutdown",
    },
)
