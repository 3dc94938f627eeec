"""Outcomes of requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Union

from chivefall.model._ids import JobId
from chivefall.model._states import NotRunReason

__all__ = ["Accepted", "Completed", "NotRun", "Outcome", "Unknown"]


@dataclass(frozen=True)
class Completed:
    """The request ran, and its complete response is available.

    Attributes
    ----------
    answer : Any
        JSON value that the endpoint or the gang returned.
    status : int
        HTTP status of an endpoint's response; 200 for jobs.
    retry_after : float or None
        Seconds that the endpoint requests to wait before a retry; never shortened.
    """

    answer: Any
    status: int = 200
    retry_after: float | None = None


@dataclass(frozen=True)
class Accepted:
    """The job is recorded and continues without the caller; its state can be queried."""

    job_id: JobId


@dataclass(frozen=True)
class NotRun:
    """The request did not run, and will not run.

    Attributes
    ----------
    reason : NotRunReason
        Why it was refused.
    detail : str
        What the caller can do about it.
    retry_after : float or None
        Seconds after which a retry may succeed; None if a retry cannot succeed.
    """

    reason: NotRunReason
    detail: str = ""
    retry_after: float | None = None


@dataclass(frozen=True)
class Unknown:
    """The request may or may not have run."""

    detail: str = ""
    evidence: tuple[str, ...] = field(default=())


Outcome = Union[Completed, Accepted, NotRun, Unknown]
