"""Tests of the decision after each attempt of a request (G5, G6)."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from chivefall.model import Completed, NotRun, Outcome, Unknown
from chivefall.routing import (
    AttemptEnd,
    AttemptResult,
    Finish,
    RequestState,
    Retry,
    next_step,
    parse_retry_after,
)

NOW = 1_000_000.0
LOST = AttemptResult(AttemptEnd.LOST)
REFUSED = AttemptResult(AttemptEnd.NOT_RUN, overloaded=True, retry_after=7.5)
UNREACHABLE = AttemptResult(AttemptEnd.NOT_RUN)
FAILED = AttemptResult(AttemptEnd.ANSWERED, response="e", status=503, retry_after=9.0)
CLIENT_ERROR = AttemptResult(AttemptEnd.ANSWERED, response="a", status=422)


def step(
    result: AttemptResult, idempotent: bool, attempts: int = 1, may_have_run: bool = False
) -> tuple[type, Outcome]:
    """Return the class of the decision and the outcome if there is no retry."""
    state = RequestState(idempotent, NOW + 10, 3, attempts, may_have_run)
    decision = next_step(result, state, NOW, Random(1))
    if isinstance(decision, Finish):
        return Finish, decision.outcome
    return Retry, decision.fallback


class NextStepTest(unittest.TestCase):
    def test_request_that_may_have_run_is_not_retried(self) -> None:
        """Guards against running a non-idempotent request twice (G6)."""
        self.assertEqual(step(LOST, idempotent=False), (Finish, Unknown()))
        self.assertEqual(step(FAILED, idempotent=False), (Finish, Completed("e", 503, 9.0)))
        self.assertEqual(step(LOST, idempotent=True)[0], Retry)
        self.assertEqual(step(FAILED, idempotent=True)[0], Retry)

    def test_request_that_did_not_run_is_retried(self) -> None:
        """Guards against a missing retry although the request did not run."""
        for result in (REFUSED, UNREACHABLE):
            kind, outcome = step(result, idempotent=False)
            self.assertEqual((kind, type(outcome)), (Retry, NotRun))

    def test_refusal_after_a_lost_attempt_is_unknown(self) -> None:
        """Guards against the outcome "not run" if an earlier attempt may have run (G5)."""
        self.assertEqual(step(REFUSED, True, 3, may_have_run=True)[1].__class__, Unknown)

    def test_responses_are_returned_unchanged(self) -> None:
        """Guards against retries after client errors and against a changed status."""
        self.assertEqual(step(CLIENT_ERROR, idempotent=True), (Finish, Completed("a", 422)))

    def test_ends_after_the_last_attempt_and_at_the_deadline(self) -> None:
        """Guards against endless retries and against a lost Retry-After of the endpoint."""
        kind, outcome = step(REFUSED, True, attempts=3)
        self.assertEqual((kind, outcome.retry_after), (Finish, 7.5))
        state = RequestState(True, NOW, 3, 1)
        self.assertIsInstance(next_step(REFUSED, state, NOW, Random(1)), Finish)

    def test_backoff_is_randomized(self) -> None:
        """Guards against simultaneous retries of many callers."""
        state = RequestState(True, NOW + 10, 9, 4)
        delays = {next_step(LOST, state, NOW, Random(seed)).delay for seed in range(50)}
        self.assertEqual(len(delays), 50)
        self.assertLess(max(delays), 0.4)


class RetryAfterTest(unittest.TestCase):
    def test_seconds_dates_and_malformed_values(self) -> None:
        """Guards against too short or unlimited pauses, and pauses from malformed values."""
        cases = {
            "12": 12.0,
            " 0 ": 0.0,
            "9" * 5000: 86_400.0,
            "Mon, 12 Jan 1970 13:47:10 GMT": 30.0,
            "Mon, 12 Jan 1970 13:46:10 GMT": 0.0,
            "Mon, 12 Jan 2170 13:46:10 GMT": 86_400.0,
        }
        for text, seconds in cases.items():
            with self.subTest(text[:40]):
                self.assertEqual(parse_retry_after(text, NOW), seconds)
        invalid_date = "Mon, 99 Jan 1970 13:47:10 GMT"
        for text in (None, "", "soon", "-1", "1.5", "NaN", invalid_date, "\u0663"):
            with self.subTest(text):
                self.assertIsNone(parse_retry_after(text, NOW))

    @settings(derandomize=True, database=None, max_examples=200)
    @given(st.text(max_size=40))
    def test_any_text(self, text: str) -> None:
        """Guards against an exception on any header value that an endpoint sends."""
        seconds = parse_retry_after(text, NOW)
        self.assertTrue(seconds is None or 0 <= seconds <= 86_400)
