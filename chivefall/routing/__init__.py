"""Routing of requests and jobs: failure domains, endpoints, limits and retries."""

from __future__ import annotations

from chivefall.routing._buckets import RetryBudget, TokenBucket
from chivefall.routing._choice import RoutingContext, choose_endpoint, next_available
from chivefall.routing._concurrency import ConcurrencyLimiter
from chivefall.routing._domains import DomainCandidate, choose_domain, guarantees_cover
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
from chivefall.routing._transfers import TransferableJob, choose_transfer_targets

__all__ = [
    "AttemptEnd",
    "AttemptResult",
    "ConcurrencyLimiter",
    "DomainCandidate",
    "Endpoint",
    "Finish",
    "RequestState",
    "Retry",
    "RetryBudget",
    "RoutingContext",
    "TokenBucket",
    "TransferableJob",
    "choose_domain",
    "choose_endpoint",
    "choose_transfer_targets",
    "guarantees_cover",
    "next_available",
    "next_step",
    "parse_retry_after",
]
