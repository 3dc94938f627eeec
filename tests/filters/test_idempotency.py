"""Requests with idempotency keys during store faults."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chivefall.config import Settings
from chivefall.controllers import ClaimController
from chivefall.filters import IdempotencyFilter, RequestContext, RequestKind, ServiceCall
from chivefall.model import (
    Accepted,
    AccountId,
    Completed,
    DomainId,
    IdempotencyKey,
    InstanceId,
    JobId,
    JobSpec,
    NotRun,
    NotRunReason,
    Outcome,
    ServiceId,
    Unknown,
)
from chivefall.runtime import Future, ManualClock, sleep, spawn
from standins.memory_store import MemoryStore
from standins.pausable_clock import PausableClock
from standins.store import KeyValueState

ACCOUNT = AccountId("farmers")
DISPATCH_BEHAVIOURS = ("complete", "refuse", "lose")


@dataclass
class Attempt:
    """A request, the number of its executions, and its outcome."""

    ctx: RequestContext
    instance: Instance
    executions: int = 0
    fut: Future[Outcome] | None = None

    @property
    def outcome(self) -> Outcome | None:
        return self.fut.result() if self.fut.done() else None


class Instance:
    """An instance with its own store client; pausing its clock pauses it."""

    def __init__(self, state: KeyValueState, executed: dict[str, int], name: str) -> None:
        self.clock = PausableClock(state.clock)
        self.store = MemoryStore(state, self.clock, timeout=2.0)
        self.executed = executed
        addresses = [f"127.0.0.1:{port}" for port in (1, 2, 3)]
        cfg = Settings(InstanceId(name), "region", DomainId("zarcero"), *addresses)
        self.claims = ClaimController(self.clock, cfg, self.store, lambda: (0, 1))
        self.filter = IdempotencyFilter(self.clock, self.claims, self._wait_for_job)
        self.claims.start()

    def send(
        self,
        key: str | None = "k",
        body: Any = 0,
        *,
        idempotent: bool = False,
        behaviour: str = "complete",
        seconds: float = 0.0,
        job: bool = False,
    ) -> Attempt:
        now = self.clock.now()
        ctx = RequestContext(
            RequestKind.JOB if job else RequestKind.SERVICE,
            ACCOUNT,
            now,
            now + 10.0,
            key and IdempotencyKey(key),
            idempotent,
            JobSpec(ACCOUNT, "pay") if job else None,
            ServiceCall(ServiceId("pay"), body),
            wait=job,
        )
        attempt = Attempt(ctx, self)

        async def dispatch(ctx: RequestContext) -> Outcome:
            if behaviour == "refuse":
                return NotRun(NotRunReason.OVERLOADED)
            attempt.executions += 1
            self.executed[key] = self.executed.get(key, 0) + 1
            answer = [key, self.executed[key]]
            await sleep(self.clock, 30.0 if ctx.wait else seconds)
            if ctx.kind is RequestKind.JOB:
                return Accepted(JobId("zarcero.1"))
            return Unknown("the response was lost") if behaviour == "lose" else Completed(answer)

        attempt.fut = spawn(self.filter.handle(ctx, dispatch, now))
        return attempt

    async def _wait_for_job(self, job_id: JobId, deadline: float) -> Outcome:
        del deadline
        return Completed({"job": job_id})


class IdempotencyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.state = KeyValueState(self.clock)
        self.executed: dict[str, int] = {}
        self.one, self.two = (Instance(self.state, self.executed, name) for name in ("a", "b"))

    def send_and_wait(
        self, instance: Instance, seconds: float = 1.0, **request: Any
    ) -> Outcome | None:
        attempt = instance.send(**request)
        self.clock.advance(seconds)
        return attempt.outcome

    def test_repeat_gets_the_stored_outcome_at_any_instance(self) -> None:
        """Guards against executing a repeated request twice, such as a payment."""
        first = self.send_and_wait(self.one)
        self.assertEqual((first, first), (Completed(["k", 1]), self.send_and_wait(self.two)))
        self.assertEqual(self.executed, {"k": 1})
        other = self.send_and_wait(self.two, body=1)
        self.assertEqual(other.reason, NotRunReason.BAD_REQUEST)
        self.assertEqual(self.executed, {"k": 1})

    def test_repeat_waits_for_the_first_until_its_deadline(self) -> None:
        """Guards against ``NotRun`` or a second execution while the first request runs."""
        self.one.send(seconds=3.0)
        self.assertEqual(self.send_and_wait(self.two, 4.0), Completed(["k", 1]))
        self.one.send("slow", seconds=30.0)
        self.assertIsInstance(self.send_and_wait(self.two, 11.0, key="slow"), Unknown)
        self.assertEqual(self.executed, {"k": 1, "slow": 1})

    def test_request_that_was_not_run_may_be_repeated(self) -> None:
        """Guards against a refused request that leaves its key claimed."""
        self.one.store.lose_replies = 2
        self.assertIsInstance(self.send_and_wait(self.one, behaviour="refuse"), NotRun)
        self.assertIsInstance(self.send_and_wait(self.two), Completed)

    def test_lost_outcome_is_final_unless_the_request_may_run_twice(self) -> None:
        """Guards against a second execution and against blocked idempotent requests."""
        self.assertIsInstance(self.send_and_wait(self.one, behaviour="lose"), Unknown)
        self.assertIsInstance(self.send_and_wait(self.two), Unknown)
        self.send_and_wait(self.one, key="i", behaviour="lose", idempotent=True)
        self.assertIsInstance(self.send_and_wait(self.two, key="i", idempotent=True), Completed)

    def test_only_idempotent_requests_pass_while_the_store_is_down(self) -> None:
        """Guards against executing a non-idempotent request without a recorded claim."""
        self.one.store.down = True
        refused = self.send_and_wait(self.one)
        self.assertEqual(refused.reason, NotRunReason.STORE_UNAVAILABLE)
        self.assertIsNotNone(refused.retry_after)
        for request in ({"key": None}, {"key": "i", "idempotent": True}):
            self.assertIsInstance(self.send_and_wait(self.one, **request), Completed)
        self.assertNotIn("k", self.executed)

    def test_claim_written_after_the_timeout_is_released(self) -> None:
        """Guards against a request that never ran and blocks its key for a day."""
        self.one.store.delay = 9.0
        self.assertIsInstance(self.send_and_wait(self.one, 4.5), NotRun)
        self.one.store.delay = 0.0
        self.clock.advance(10.0)
        self.assertEqual(self.send_and_wait(self.two), Completed(["k", 1]))

    def test_outcome_is_recorded_when_the_store_returns(self) -> None:
        """Guards against repeated requests without an outcome after a short outage."""
        attempt = self.one.send(seconds=2.0)
        self.clock.advance(1.0)
        self.one.store.down = True
        self.clock.advance(5.0)
        self.assertIsInstance(attempt.outcome, Completed)
        self.one.store.down = False
        self.assertEqual(self.send_and_wait(self.two, 4.0), Completed(["k", 1]))

    def test_request_is_not_sent_after_a_pause_beyond_its_deadline(self) -> None:
        """Guards against a dispatch after the request's deadline."""
        self.one.store.faults.reply_delay = 1.0
        attempt = self.one.send()
        self.one.clock.pause()
        self.clock.advance(20.0)
        self.one.clock.resume()
        self.clock.advance(5.0)
        self.assertIsInstance(attempt.outcome, NotRun)
        self.assertEqual(self.executed, {})

    def test_repeat_of_a_waiting_job_gets_the_same_job(self) -> None:
        """Guards against submitting a job twice if the client waits for its end."""
        for instance in (self.one, self.two):
            self.assertEqual(
                self.send_and_wait(instance, job=True), Completed({"job": "zarcero.1"})
            )
        self.assertEqual(self.executed, {"k": 1})


class ClaimMachine(RuleBasedStateMachine):
    """Checks outcomes during faults against the number of executions of each key."""

    members = st.integers(0, 2)

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.state = KeyValueState(self.clock)
        self.executed: dict[str, int] = {}
        self.attempts: list[Attempt] = []
        self.instances = [Instance(self.state, self.executed, str(i)) for i in range(3)]

    @rule(
        member=members,
        key=st.sampled_from(["n1", "n2", "i1"]),
        body=st.sampled_from([0, 0, 0, 1]),
        behaviour=st.sampled_from(DISPATCH_BEHAVIOURS),
        seconds=st.sampled_from([0.0, 1.0, 15.0]),
    )
    def send(self, member: int, key: str, body: int, behaviour: str, seconds: float) -> None:
        idempotent = key.startswith("i")
        instance = self.instances[member]
        self.attempts.append(
            instance.send(key, body, idempotent=idempotent, behaviour=behaviour, seconds=seconds)
        )

    @rule(member=members, down=st.booleans(), refuse=st.booleans())
    def set_outage(self, member: int, down: bool, refuse: bool) -> None:
        faults = self.instances[member].store.faults
        faults.down, faults.refuse_writes = down, refuse

    @rule(member=members, delay=st.sampled_from([0, 1, 3]), reply=st.sampled_from([0, 1, 3]))
    def slow_down(self, member: int, delay: float, reply: float) -> None:
        faults = self.instances[member].store.faults
        faults.delay, faults.reply_delay = delay, reply

    @rule(member=members, count=st.integers(1, 3))
    def lose_replies(self, member: int, count: int) -> None:
        self.instances[member].store.lose_replies = count

    @rule(member=members)
    def kill_and_replace(self, member: int) -> None:
        self.instances[member].clock.pause()
        name = f"{member}-{len(self.attempts)}"
        self.instances[member] = Instance(self.state, self.executed, name)

    @rule(seconds=st.sampled_from([0.5, 2.0, 12.0]))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @invariant()
    def outcomes_match_executions(self) -> None:
        for key, count in self.executed.items():
            assert count == 1 or key.startswith("i"), self.executed
        for attempt in self.attempts:
            key, outcome = attempt.ctx.idempotency_key, attempt.outcome
            if isinstance(outcome, NotRun):
                assert attempt.executions == 0
                if outcome.reason is NotRunReason.BAD_REQUEST:
                    assert (
                        len({a.ctx.service.body for a in self.attempts if self.has_key(a, key)}) > 1
                    )
            elif isinstance(outcome, Completed):
                assert outcome.answer[0] == key
                assert outcome.answer[1] <= self.executed[key]

    def has_key(self, attempt: Attempt, key: str) -> bool:
        return attempt.ctx.idempotency_key == key

    def teardown(self) -> None:
        """Check that a key can be used if none of its requests may have run."""
        for instance in self.instances:
            instance.store.faults.__init__()
        self.clock.advance(120.0)
        for key in ("n1", "n2"):
            before = [attempt for attempt in self.attempts if self.has_key(attempt, key)]
            if any(attempt.instance.clock.paused for attempt in before):
                continue
            blocked = any(not isinstance(attempt.outcome, NotRun) for attempt in before)
            repeat = self.instances[0].send(key)
            self.clock.advance(15.0)
            self.attempts.append(repeat)
            assert isinstance(repeat.outcome, Completed) or blocked, repeat.outcome
        self.outcomes_match_executions()


ClaimMachine.TestCase.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)


class ClaimMachineTest(ClaimMachine.TestCase):
    """Guards against a second execution and against a wrong ``NotRun``."""
