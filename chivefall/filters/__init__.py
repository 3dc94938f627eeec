"""Filter chain of callers' requests."""

from __future__ import annotations

from chivefall.filters._account import AccountFilter
from chivefall.filters._base import (
    Filter,
    FilterChain,
    Proceed,
    RequestContext,
    RequestKind,
    ServiceCall,
)
from chivefall.filters._dispatch import DispatchFilter
from chivefall.filters._idempotency import IdempotencyFilter

__all__ = [
    "AccountFilter",
    "DispatchFilter",
    "Filter",
    "FilterChain",
    "IdempotencyFilter",
    "Proceed",
    "RequestContext",
    "RequestKind",
    "ServiceCall",
]
