"""Decisions on calls to workers that do not respond, and on the release of their runs."""

from __future__ import annotations

import math
from dataclasses import dataclass

from chivefall.workers import PollMode

__all__ = [
    "ContactAttempt",
    "ContactState",
    "may_release",
    "next_attempt",
    "release_due_at",
]

# Together with a round trip, a path that is back is used within 0.3 s.
BUSY_INTERVAL_SECONDS = 0.25  # between calls to a worker with runs
IDLE_INTERVAL_SECONDS = 1.0  # between calls to a worker without runs
MAX_CONTACT_CALLS_PER_SECOND = 250.0  # to all workers; each call takes the leader 0.5 ms
MAX_CALLS_UNDER_WAY = 2  # to one worker: a patient one and a quick one
PATIENT_CALL_PERIOD = 4  # calls, of which one reaches a worker that has become slow
PATIENT_CALL_LEAD_SECONDS = 1.0  # before a release; patient calls end within it
RELEASE_DELAY_SECONDS = 0.3  # from the first call after the end of the leases, for its response
# Calls of this instance may fail for reasons of its own, and runs are not held for ever.
MAX_RELEASE_DELAY_SECONDS = 3.0  # from the end of the leases
# Multiples of it modulo 1 are spread evenly, also those of every second or third number.
PHASE_STEP = (math.sqrt(5.0) - 1.0) / 2.0


@dataclass
class ContactState:
    """Calls to a worker that does not respond.

    Attributes
    ----------
    number : int
        Number of the session, which decides the phase of the calls.
    attempts : int
        Calls that were due since the last response.
    last_attempt_at : float
        Time at which the last one was due, in seconds since the Unix epoch.
    calls_under_way : int
        Calls that have not ended yet.
    last_failed_call_sent_at : float
        Time at which the latest poll that failed was sent, in seconds since the Unix epoch.
    settling_call_sent_at : float
        Time at which the first poll after the end of the leases was sent, in seconds since the
        Unix epoch; before that end if there was none.
    """

    number: int
    attempts: int = 0
    last_attempt_at: float = float("-inf")
    calls_under_way: int = 0
    last_failed_call_sent_at: float = float("-inf")
    settling_call_sent_at: float = float("-inf")

    def record_attempt(self, now: float) -> None:
        """Record that a call was due."""
        self.attempts += 1
        self.last_attempt_at = now

    def record_call(self, leases_expired_at: float | None, now: float) -> None:
        """Record that a poll is sent."""
        if leases_expired_at is not None and self.settling_call_sent_at < leases_expired_at <= now:
            self.settling_call_sent_at = now

    def record_response(self) -> None:
        """Record that the worker has responded."""
        self.attempts = 0
        self.settling_call_sent_at = float("-inf")

    def record_failure(self, sent_at: float, *, is_local: bool) -> None:
        """Record that a poll sent at ``sent_at`` has failed.

        If that was for reasons of this instance, another one has to settle what became of runs.
        """
        if not is_local:
            self.last_failed_call_sent_at = max(self.last_failed_call_sent_at, sent_at)
        elif sent_at <= self.settling_call_sent_at:
            self.settling_call_sent_at = float("-inf")

    @property
    def may_call(self) -> bool:
        """Return whether few enough calls are under way for another one."""
        return self.calls_under_way < MAX_CALLS_UNDER_WAY


@dataclass(frozen=True)
class ContactAttempt:
    """A call to a worker that does not respond.

    Attributes
    ----------
    at : float
        Time of the call, in seconds since the Unix epoch.
    mode : PollMode
        Connection and timeout of the call.
    """

    at: float
    mode: PollMode


def next_attempt(
    state: ContactState,
    suspects: int,
    leases_expired_at: float | None,
    now: float,
    *,
    is_busy: bool,
) -> ContactAttempt:
    """Return the next call to a worker that does not respond.

    The calls to one worker follow at a fixed interval and a phase of its own, so that workers
    that were lost together are not called together.

    Parameters
    ----------
    suspects : int
        Number of workers that do not respond.
    leases_expired_at : float or None
        Time by which all leases of the worker have expired, in seconds since the Unix epoch;
        None if it is unknown.
    is_busy : bool
        Whether the worker may have runs or ends that matter; others are called less often.
    """
    interval = BUSY_INTERVAL_SECONDS if is_busy else IDLE_INTERVAL_SECONDS
    interval = max(interval, suspects / MAX_CONTACT_CALLS_PER_SECOND)
    # The times of the calls shift while the number of suspects changes.
    earliest = max(now, state.last_attempt_at + interval / 2)
    phase = state.number * PHASE_STEP % 1.0
    at = (math.ceil(earliest / interval - phase) + phase) * interval
    # Every fourth number has a patient call in the same turn.
    is_patient = (state.number + state.attempts) % PATIENT_CALL_PERIOD == 0
    if is_busy and leases_expired_at is not None:
        if state.last_attempt_at < leases_expired_at <= at:
            spread = phase * suspects / MAX_CONTACT_CALLS_PER_SECOND
            at, is_patient = min(at, max(now, leases_expired_at + spread)), True
        elif 0.0 <= leases_expired_at - at < PATIENT_CALL_LEAD_SECONDS:
            is_patient = False  # The call that settles what became of runs is next.
    return ContactAttempt(at, PollMode.PATIENT if is_patient else PollMode.QUICK)


def release_due_at(state: ContactState, leases_expired_at: float) -> float:
    """Return the time until which calls that are under way may delay a release."""
    limit = leases_expired_at + MAX_RELEASE_DELAY_SECONDS
    if state.settling_call_sent_at < leases_expired_at:
        return limit
    return min(limit, state.settling_call_sent_at + RELEASE_DELAY_SECONDS)


def may_release(state: ContactState, leases_expired_at: float | None, now: float) -> bool:
    """Return whether the leases have certainly expired and no call can settle what became of runs.

    A call that was sent after the leases expired has to fail first, but its response is waited
    for until ``release_due_at`` only. None means that the end of the leases is unknown.
    """
    if leases_expired_at is None or now <= leases_expired_at:
        return False
    has_failed_since = state.last_failed_call_sent_at >= leases_expired_at
    return has_failed_since or now >= release_due_at(state, leases_expired_at)
