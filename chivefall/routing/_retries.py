"""What follows an attempt: an outcome for the caller or a retry."""

from __future__ import annotations

from dataclasses import dataclass
from email.utils import parsedate_to_datetime
from enum import Enum
from typing import TYPE_CHECKING, Any, Union

from chivefall.model import Completed, NotRun, NotRunReason, Outcome, Unknown

if TYPE_CHECKING:
    from random import Random

__all__ = [
    "AttemptEnd",
    "AttemptResult",
    "Finish",
    "RequestState",
    "Retry",
    "next_step",
    "parse_retry_after",
]

MAX_RETRY_AFTER_SECONDS = 86_400.0  # seconds; a day
INITIAL_BACKOFF_SECONDS = 0.05  # seconds
MAX_BACKOFF_SECONDS = 1.0  # seconds
DEFAULT_RETRY_AFTER_SECONDS = 1.0  # seconds, for refusals that name no time
# Answers that say that the endpoint, not the request, was at fault.
RETRYABLE_STATUSES = frozenset({429, 502, 503, 504})


class AttemptEnd(Enum):
    """How an attempt ended.

    NOT_RUN: nothing was sent, or the endpoint proved that it refused.
    LOST: the request may have run, but no answer to it arrived.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    LOST = "lost"


@dataclass(frozen=True)
class AttemptResult:
    """The end of one attempt and what the endpoint said.

    Attributes
    ----------
    overloaded : bool
        Whether the endpoint itself refused, as opposed to being unreachable.
    retry_after : float or None
        Seconds that the endpoint asks to wait.
    """

    end: AttemptEnd
    detail: str = ""
    response: Any = None
    status: int = 200
    retry_after: float | None = None
    leaving: bool = False
    overloaded: bool = False

    @property
    def is_failure(self) -> bool:
        """Return whether the endpoint counts as failed."""
        if self.end is AttemptEnd.ANSWERED:
            return self.status >= 500 and self.retry_after is None  # noqa: PLR2004
        return not self.overloaded


@dataclass(frozen=True)
class RequestState:
    """A request and its attempts so far.

    Attributes
    ----------
    may_have_run : bool
        Whether an earlier attempt may have run.
    """

    idempotent: bool
    deadline: float
    max_attempts: int
    attempts: int = 0
    may_have_run: bool = False


@dataclass(frozen=True)
class Finish:
    """The request ends with this outcome."""

    outcome: Outcome


@dataclass(frozen=True)
class Retry:
    """The request may be sent to another endpoint after ``delay`` seconds.

    Attributes
    ----------
    fallback : Outcome
        Outcome if no endpoint or no retry budget is left.
    """

    delay: float
    fallback: Outcome


Step = Union[Finish, Retry]


def next_step(result: AttemptResult, state: RequestState, now: float, rng: Random) -> Step:
    """Return what follows an attempt.

    Parameters
    ----------
    state : RequestState
        The request with this attempt counted.
    """
    outcome = _outcome(result, state)
    ran = result.end is not AttemptEnd.NOT_RUN
    if ran and not state.idempotent:
        return Finish(outcome)
    if result.end is AttemptEnd.ANSWERED and result.status not in RETRYABLE_STATUSES:
        return Finish(outcome)
    delay = _backoff(state.attempts, rng)
    if state.attempts >= state.max_attempts or now + delay >= state.deadline:
        return Finish(outcome)
    return Retry(delay, outcome)


def _outcome(result: AttemptResult, state: RequestState) -> Outcome:
    if result.end is AttemptEnd.ANSWERED:
        return Completed(result.response, result.status, result.retry_after)
    if result.end is AttemptEnd.LOST or state.may_have_run:
        return Unknown(result.detail)
    reason = NotRunReason.OVERLOADED if result.overloaded else NotRunReason.UNREACHABLE
    retry_after = DEFAULT_RETRY_AFTER_SECONDS if result.retry_after is None else result.retry_after
    return NotRun(reason, result.detail, retry_after)


def _backoff(attempts: int, rng: Random) -> float:
    return rng.uniform(
        0, min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2 ** min(attempts - 1, 10))
    )


def parse_retry_after(text: str | None, now: float) -> float | None:
    """Return the seconds of a Retry-After header, at most a day; None if malformed."""
    if text is None:
        return None
    text = text.strip()
    if text.isascii() and text.isdigit():
        # A long run of digits is capped before the conversion, which refuses huge numbers.
        return min(MAX_RETRY_AFTER_SECONDS, float(text[:20]))
    try:
        at = parsedate_to_datetime(text).timestamp()
    except (ValueError, TypeError, OverflowError):
        return None
    return min(MAX_RETRY_AFTER_SECONDS, max(0.0, at - now))
