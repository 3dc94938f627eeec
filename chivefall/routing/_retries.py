"""Decision after each attempt of a request: return an outcome or retry."""

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

MAX_RETRY_AFTER_SECONDS = 86_400.0  # a day
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
DEFAULT_RETRY_AFTER_SECONDS = 1.0  # for refusals without a Retry-After
# Status codes that indicate a fault of the endpoint, not of the request.
RETRYABLE_STATUSES = frozenset({429, 502, 503, 504})


class AttemptEnd(Enum):
    """How an attempt ended.

    ANSWERED: a response was received.
    NOT_RUN: no request was sent, or the endpoint refused it without running it.
    LOST: the request may have run, but no response was received.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    LOST = "lost"


@dataclass(frozen=True)
class AttemptResult:
    """How one attempt ended, with the content of the response.

    Attributes
    ----------
    detail : str
        Reason if there is no response.
    status : int
        HTTP status code of the response.
    retry_after : float or None
        Seconds to wait, as requested by the endpoint.
    leaving : bool
        Whether the endpoint announced that it is leaving.
    overloaded : bool
        Whether the endpoint refused the request, as opposed to being unreachable.
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
        """Return whether the attempt counts as a failure of the endpoint."""
        if self.end is AttemptEnd.ANSWERED:
            return self.status >= 500 and self.retry_after is None  # noqa: PLR2004
        return not self.overloaded


@dataclass(frozen=True)
class RequestState:
    """A request and its attempts so far.

    Attributes
    ----------
    deadline : float
        Seconds since the Unix epoch.
    attempts : int
        Number of attempts made.
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
    """No further attempt; the request ends with this outcome."""

    outcome: Outcome


@dataclass(frozen=True)
class Retry:
    """The request may be retried at another endpoint after ``delay`` seconds.

    Attributes
    ----------
    fallback : Outcome
        Outcome if no other endpoint is available or the retry budget is used up.
    """

    delay: float
    fallback: Outcome


Step = Union[Finish, Retry]


def next_step(result: AttemptResult, state: RequestState, now: float, rng: Random) -> Step:
    """Return whether to retry a request after an attempt, or its outcome.

    Parameters
    ----------
    state : RequestState
        State of the request; its number of attempts includes this one.
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
    """Return the seconds of a Retry-After header, at most a day; None if absent or malformed."""
    if text is None:
        return None
    text = text.strip()
    if text.isascii() and text.isdigit():
        # 20 digits suffice to exceed the maximum and bound the cost of the conversion.
        return min(MAX_RETRY_AFTER_SECONDS, float(text[:20]))
    try:
        at = parsedate_to_datetime(text).timestamp()
    except (ValueError, TypeError, OverflowError):
        return None
    return min(MAX_RETRY_AFTER_SECONDS, max(0.0, at - now))
