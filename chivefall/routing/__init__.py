"""Decisions about requests: failure domain, endpoint, limits and retries."""

from __future__ import annotations

from chivefall.routing._buckets import RetryBudget, TokenBucket
from chivefall.routing._choice import RoutingContext, choose_endpoint, next_available
from chivefall.routing._domains import DomainOffer, choose_domain, covers
from chivefall.routing._endpoint import Endpoint
from chivefall.routing._retries import (
    AttemptEnd,
    AttemptResult,
    Finish,
    RequestState,
    Retry,
    next_step,
    parse_retry_after,
)
from chivefall.routing._share import AdmissionShare
from chivefall.routing._transfers import Transferable, choose_targets

__all__ = [
    "AdmissionShare",
    "AttemptEnd",
    "AttemptResult",
    "DomainOffer",
    "Endpoint",
    "Finish",
    "RequestState",
    "Retry",
    "RetryBudget",
    "RoutingContext",
    "TokenBucket",
    "Transferable",
    "choose_domain",
    "choose_endpoint",
    "choose_targets",
    "covers",
    "next_available",
    "next_step",
    "parse_retry_after",
]
