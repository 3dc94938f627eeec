"""Request filters: each refuses requests that must not reach the filters after it."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

from chivefall.filters import (
    AccountFilter,
    AdmissionFilter,
    DeadlineFilter,
    FeasibilityFilter,
    Filter,
    FilterChain,
    RequestContext,
    RequestKind,
    ServiceCall,
    ShutdownFilter,
)
from chivefall.filters._feasibility import find_invalid_value
from chivefall.model import (
    Account,
    AccountId,
    Completed,
    Document,
    JobSpec,
    NotRun,
    NotRunReason,
    Outcome,
    Revision,
    ServiceId,
    Unknown,
    Urgency,
)
from chivefall.routing import ConcurrencyLimiter
from chivefall.runtime import Future, ManualClock, spawn

NAMES = [AccountId(name) for name in ("a", "b", "c", "d")]


class _PendingFilter(Filter):
    """Keeps every request pending until the test resolves it."""

    def __init__(self) -> None:
        self.futs: list[Future[Outcome]] = []

    async def handle(self, ctx: RequestContext, proceed: Any, now: float) -> Outcome:
        self.futs.append(Future())
        return await self.futs[-1]


class FilterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        limits = Account(requests_per_second=2.0, burst=4, max_accelerators=16)
        self.document = Document(Revision(1), dict.fromkeys(NAMES, limits))
        self.last = _PendingFilter()

    def context(self, account: AccountId = NAMES[0], job: JobSpec | None = None) -> RequestContext:
        """Return a request with 10 s until its deadline."""
        now = self.clock.now()
        kind = RequestKind.JOB if job else RequestKind.SERVICE
        call = None if job else ServiceCall(ServiceId("s"), None)
        return RequestContext(kind, account, now, now + 10, job=job, service=call)

    def run_filter(self, tested: Filter, ctx: RequestContext) -> Outcome | None:
        """Return the outcome of a request, or None if it was passed on."""
        fut = spawn(FilterChain([tested, self.last], self.clock.now).run(ctx))
        return fut.result() if fut.done() else None

    def job(self, **values: Any) -> JobSpec:
        """Return a job of the first client account."""
        return JobSpec(NAMES[0], **{"command": "sort", **values})

    def test_shutdown(self) -> None:
        """Guards against accepting requests while the instance shuts down (G8)."""
        draining = False
        tested = ShutdownFilter(lambda: draining)
        self.assertIsNone(self.run_filter(tested, self.context()))
        draining = True
        outcome = self.run_filter(tested, self.context())
        self.assertEqual(outcome.reason, NotRunReason.SHUTTING_DOWN)
        self.assertIsNotNone(outcome.retry_after)

    def test_account(self) -> None:
        """Guards against accepting requests of unknown client accounts."""
        tested = AccountFilter(lambda: self.document)
        outcome = self.run_filter(tested, self.context(AccountId("x")))
        self.assertEqual(outcome.reason, NotRunReason.UNKNOWN_ACCOUNT)

    def test_bad_values_name_their_key(self) -> None:
        """Guards against accepting invalid job values and messages without the key."""
        cases: dict[str, list[Any]] = {
            "gang_size": [0, -1, 65, 10**30],
            "accelerators": [-1, 65],
            "run_time": [-0.1, float("nan"), float("inf")],
            "command": ["", "x" * 257],
        }
        for key, values in cases.items():
            for value in values:
                with self.subTest(key, value=value):
                    problem = find_invalid_value(self.job(**{key: value}))
                    self.assertTrue(problem.startswith(key), problem)
        for good in ({"gang_size": 64}, {"accelerators": 0}, {"run_time": 0.0}):
            self.assertIsNone(find_invalid_value(self.job(**good)))

    def test_infeasible_jobs(self) -> None:
        """Guards against queueing a job for ever that can never run."""
        tested = FeasibilityFilter(lambda: self.document)
        outcome = self.run_filter(tested, self.context(job=self.job(gang_size=17)))
        self.assertEqual(outcome.reason, NotRunReason.INFEASIBLE)
        self.assertIn("max_accelerators is 16", outcome.detail)
        self.assertIsNone(self.run_filter(tested, self.context(job=self.job(gang_size=16))))
        shapes = FeasibilityFilter(lambda: self.document, lambda _: "no rack is that large")
        outcome = self.run_filter(shapes, self.context(job=self.job()))
        self.assertEqual((outcome.detail), "no rack is that large")
        outcome = self.run_filter(tested, self.context(job=self.job(gang_size=0)))
        self.assertEqual(outcome.reason, NotRunReason.BAD_REQUEST)

    def test_rate_of_each_account_with_exact_retry_after(self) -> None:
        """Guards against one account's requests that use up the rate of another."""
        tested = AdmissionFilter(lambda: self.document)
        outcomes = [self.run_filter(tested, self.context()) for _ in range(5)]
        self.assertEqual(outcomes[:4], [None] * 4)
        self.assertEqual(outcomes[4].reason, NotRunReason.RATE_LIMITED)
        self.assertAlmostEqual(outcomes[4].retry_after, 0.5)
        self.assertIsNone(self.run_filter(tested, self.context(NAMES[1])))
        self.clock.advance(0.5)
        self.assertIsNone(self.run_filter(tested, self.context()))

    def test_limits_follow_the_document(self) -> None:
        """Guards against outdated limits and against keeping state of removed accounts."""
        tested = AdmissionFilter(lambda: self.document)
        for name in NAMES:
            self.run_filter(tested, self.context(name))
        accounts = {NAMES[0]: Account(burst=1)}
        self.document = replace(self.document, revision=Revision(2), accounts=accounts)
        self.assertIsNone(self.run_filter(tested, self.context()))
        self.assertIsInstance(self.run_filter(tested, self.context()), NotRun)
        self.assertEqual(list(tested._buckets), NAMES[:1])

    def test_requests_in_progress(self) -> None:
        """Guards against a burst of one account that starves other accounts or urgent jobs."""
        self.document = replace(self.document, accounts=dict.fromkeys(NAMES, Account(burst=1000)))
        tested = AdmissionFilter(lambda: self.document, ConcurrencyLimiter(limit=16))
        burst = [self.run_filter(tested, self.context()) for _ in range(20)]
        self.assertEqual(burst.count(None), 7)
        self.assertEqual(burst[-1].reason, NotRunReason.OVERLOADED)
        for name in NAMES[1:3]:
            for _ in range(10):
                self.run_filter(tested, self.context(name))
        self.assertIsInstance(self.run_filter(tested, self.context(NAMES[3])), NotRun)
        urgent = self.job(urgency=Urgency.URGENT)
        self.assertIsNone(self.run_filter(tested, self.context(NAMES[3], urgent)))
        for fut in self.last.futs:
            fut.set_result(Completed(1))
        self.assertEqual(tested._limiter.total, 0)
        self.assertIsNone(self.run_filter(tested, self.context(NAMES[3])))

    def test_slot_is_released_after_an_error(self) -> None:
        """Guards against leaking a slot of the concurrency limiter with each error."""
        tested = AdmissionFilter(lambda: self.document)
        self.run_filter(tested, self.context())
        self.last.futs[0].set_exception(ValueError("broken"))
        self.assertEqual(tested._limiter.total, 0)

    def test_deadline(self) -> None:
        """Guards against requests without an outcome and against a wrong ``NotRun``."""
        tested = DeadlineFilter(self.clock)
        ctx = self.context()
        fut = spawn(FilterChain([tested, self.last], self.clock.now).run(ctx))
        self.clock.advance(10)
        self.assertFalse(fut.done(), "controllers may still return their own outcome")
        self.clock.advance(0.5)
        self.assertIsInstance(fut.result(), Unknown)
        late = self.run_filter(tested, ctx)
        self.assertEqual(late.reason, NotRunReason.DEADLINE_EXCEEDED)

    def test_shutdown_ends_all_requests(self) -> None:
        """Guards against requests that get no outcome when the instance shuts down (G8)."""
        tested = DeadlineFilter(self.clock)
        fut = spawn(FilterChain([tested, self.last], self.clock.now).run(self.context()))
        tested.end_requests()
        self.assertIsInstance(fut.result(), Unknown)
        self.last.futs[0].set_result(Completed(1))
        self.assertIsInstance(fut.result(), Unknown)
