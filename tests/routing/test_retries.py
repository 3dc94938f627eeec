"""What follows an attempt: G5 and G6 as a table."""

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
ANSWER = AttemptResult(AttemptEnd.ANSWERED, response="a", status=422)


def step(
    result: AttemptResult, idempotent: bool, attempts: int = 1, may_have_run: bool = False
) -> tuple[type, Outcome]:
    """Return whether a retry follows and the outcome without one."""
    state = RequestState(idempotent, NOW + 10, 3, attempts, may_have_run)
    following = next_step(result, state, NOW, Random(1))
    if isinstance(following, Finish):
        return Finish, following.outcome
    return Retry, following.fallback


class NextStepTest(unittest.TestCase):
    def test_what_may_have_run_is_not_repeated(self) -> None:
        """Guards against a second run of a request that must run once (G6)."""
        self.assertEqual(step(LOST, idempotent=False), (Finish, Unknown()))
        self.assertEqual(step(FAILED, idempotent=False), (Finish, Completed("e", 503, 9.0)))
        self.assertEqual(step(LOST, idempotent=True)[0], Retry)
        self.assertEqual(step(FAILED, idempotent=True)[0], Retry)

    def test_what_did_not_run_is_repeated(self) -> None:
        """Guards against giving up although nothing ran."""
        for result in (REFUSED, UNREACHABLE):
            kind, outcome = step(result, idempotent=False)
            self.assertEqual((kind, type(outcome)), (Retry, NotRun))

    def test_a_refusal_after_a_loss_is_unknown(self) -> None:
        """Guards against "not run" for a request whose first attempt may have run (G5)."""
        self.assertEqual(step(REFUSED, True, 3, may_have_run=True)[1].__class__, Unknown)

    def test_answers_are_passed_on_whole(self) -> None:
        """Guards against retries of answers and against a changed status."""
        self.assertEqual(step(ANSWER, idempotent=True), (Finish, Completed("a", 422)))

    def test_ends_after_the_last_attempt_and_at_the_deadline(self) -> None:
        """Guards against endless retries; the endpoint's Retry-After is passed on."""
        kind, outcome = step(REFUSED, True, attempts=3)
        self.assertEqual((kind, outcome.retry_after), (Finish, 7.5))
        state = RequestState(True, NOW, 3, 1)
        self.assertIsInstance(next_step(REFUSED, state, NOW, Random(1)), Finish)

    def test_delays_are_spread(self) -> None:
        """Guards against retries of many callers at the same time."""
        state = RequestState(True, NOW + 10, 9, 4)
        delays = {next_step(LOST, state, NOW, Random(seed)).delay for seed in range(50)}
        self.assertEqual(len(delays), 50)
        self.assertLess(max(delays), 0.4)


class RetryAfterTest(unittest.TestCase):
    def test_seconds_dates_and_nonsense(self) -> None:
        """Guards against a pause that is shortened, endless or invented."""
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
        nonsense = "Mon, 99 Jan 1970 13:47:10 GMT"
        for text in (None, "", "soon", "-1", "1.5", "NaN", nonsense, "\u0663"):
            with self.subTest(text):
                self.assertIsNone(parse_retry_after(text, NOW))

    @settings(derandomize=True, database=None, max_examples=200)
    @given(st.text(max_size=40))
    def test_any_text(self, text: str) -> None:
        """Guards against an error for a header that an endpoint chooses."""
        seconds = parse_retry_after(text, NOW)
        self.assertTrue(seconds is None or 0 <= seconds <= 86_400)
