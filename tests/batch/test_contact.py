"""Workers that do not respond: when they are called, and when their runs are released.

Load pattern: cuts of single workers and of half of the fleet, shorter and longer than the leases
of the runs.
"""

from __future__ import annotations

import unittest
from collections import Counter
from typing import TYPE_CHECKING, Any

from eliot import add_destinations, remove_destination

from chivefall.batch import JobState, Resources, StepSpec
from chivefall.controllers.batch._contact import (
    MAX_CONTACT_CALLS_PER_SECOND,
    MAX_RELEASE_DELAY_SECONDS,
    ContactState,
    may_release,
    next_attempt,
    release_due_at,
)
from chivefall.model import JobId, WorkerId
from chivefall.runtime import sleep
from chivefall.telemetry import LogEvent
from chivefall.workers import NoResponse, PollMode, RunReport
from standins.run_workers import make_worker_entry
from tests.batch.deployment import CLOCK_STEP_SECONDS, Deployment

if TYPE_CHECKING:
    from collections.abc import Iterator

NOW = 1_000_000.0
W0 = WorkerId("w0")
RESOURCES = Resources(1000, 1000, 1)
REACHED_AGAIN_SECONDS = 0.3  # after the path is back
CALL_FAILURE_SECONDS = 0.1
FLEET_SIZE = 330
SUSPECTS = FLEET_SIZE // 2
SETTLE_SECONDS = 12.0


def call_times(
    state: ContactState,
    suspects: int,
    seconds: float,
    *,
    is_busy: bool = True,
    leases_expired_at: float | None = None,
) -> Iterator[tuple[float, PollMode]]:
    """Return the calls to a worker that was lost at ``NOW``."""
    now = NOW
    while True:
        attempt = next_attempt(state, suspects, leases_expired_at, now, is_busy=is_busy)
        if attempt.at > NOW + seconds:
            return
        now = max(now, attempt.at)
        state.record_attempt(now)
        yield now, attempt.mode


class NextAttempt(unittest.TestCase):
    def test_calls_to_a_worker_with_runs(self) -> None:
        """Guards against a path that is back and is not used, as no call is under way."""
        for number in range(100):
            calls = [at for at, _ in call_times(ContactState(number), 1, 6.0)]
            gaps = [after - before for before, after in zip([NOW, *calls], calls, strict=False)]
            self.assertLess(max(gaps) + 0.02, REACHED_AGAIN_SECONDS)
            self.assertGreater(len(calls), 20)

    def test_patient_calls(self) -> None:
        """Guards against a slow worker that no call reaches, and cut ones that all wait for."""
        for number in range(8):
            modes = [mode for _, mode in call_times(ContactState(number), 1, 6.0)]
            for first in range(len(modes) - 3):
                self.assertEqual(modes[first : first + 4].count(PollMode.PATIENT), 1)
            self.assertNotIn(PollMode.ROUTINE, modes)
        # Workers that are lost together are not all called patiently at first.
        first = [next(call_times(ContactState(number), 1, 6.0))[1] for number in range(40)]
        self.assertEqual(first.count(PollMode.PATIENT), 10)

    def test_calls_shortly_before_a_release(self) -> None:
        """Guards against a release for which no call was sent that could settle it.

        Calls before it are quick ones, so that the one after the end of the leases is not kept
        back by those under way.
        """
        for suspects in (1, 62, 165, 300):
            for number in range(suspects):
                for expired_at in (NOW + 4.0, NOW + 4.2, NOW + 4.6):
                    state = ContactState(number)
                    calls = call_times(state, suspects, 8.0, leases_expired_at=expired_at)
                    before, after = [], None
                    for at, mode in calls:
                        if at >= expired_at:
                            after = at
                            break
                        before.append((at, mode))
                    self.assertIsNotNone(after)
                    self.assertEqual(mode, PollMode.PATIENT)
                    self.assertLessEqual(after, expired_at + max(0.25, suspects / 250.0))
                    last = [item[1] for item in before if item[0] >= expired_at - 0.8]
                    self.assertNotIn(PollMode.PATIENT, last)
                    state.record_call(expired_at, after)
                    self.assertLessEqual(release_due_at(state, expired_at), after + 0.3)

    def test_idle_workers(self) -> None:
        """Guards against many calls to workers that have nothing to lose."""
        calls = list(call_times(ContactState(3), 1, 10.0, is_busy=False))
        self.assertIn(len(calls), (10, 11))
        # Patient calls to a whole fleet would hold a connection each for most of the time.
        self.assertIn([mode for _, mode in calls].count(PollMode.PATIENT), (2, 3))

    def test_calls_to_half_of_a_fleet(self) -> None:
        """Guards against a leader that is busy with calls to workers that cannot respond."""
        numbers = {
            "first half": range(SUSPECTS),
            "every second": range(0, FLEET_SIZE, 2),
            "every third": range(0, 3 * SUSPECTS, 3),
        }
        for name, chosen in numbers.items():
            with self.subTest(name):
                calls = [
                    at
                    for number in chosen
                    for at, _ in call_times(ContactState(number), SUSPECTS, 6.0)
                ]
                seconds = Counter(int(at - NOW) for at in calls)
                self.assertLessEqual(max(seconds.values()), MAX_CONTACT_CALLS_PER_SECOND * 1.05)
                # Calls of a burst would fall into the same few moments.
                moments = Counter(int((at - NOW) / 0.05) for at in calls)
                average = MAX_CONTACT_CALLS_PER_SECOND * 0.05
                self.assertLess(max(moments.values()), 1.5 * average)

    def test_growing_number_of_suspects(self) -> None:
        """Guards against more calls than the bound while a cut is being noticed."""
        states = [ContactState(number) for number in range(SUSPECTS)]
        calls: list[float] = []
        for step in range(300):
            now, suspects = NOW + step * 0.01, min(SUSPECTS, step + 1)
            for state in states[:suspects]:
                # The call that was due at the last look is sent if its time has come.
                attempt = next_attempt(state, suspects, None, now - 0.01, is_busy=True)
                if attempt.at <= now:
                    state.record_attempt(now)
                    calls.append(now)
        seconds = Counter(int(at - NOW) for at in calls)
        self.assertLessEqual(max(seconds.values()), MAX_CONTACT_CALLS_PER_SECOND * 1.2)


class MayRelease(unittest.TestCase):
    def setUp(self) -> None:
        self.state = ContactState(0)

    def test_leases_that_may_last(self) -> None:
        """Guards against a release while the run may be at work."""
        self.state.record_failure(NOW - 0.1, is_local=False)
        self.assertFalse(may_release(self.state, NOW, NOW))
        self.assertFalse(may_release(self.state, None, NOW + 100.0))

    def test_call_sent_before_the_leases_expired(self) -> None:
        """Guards against a release that a call under way would have made needless."""
        self.state.record_call(NOW, NOW - 0.2)
        self.state.record_failure(NOW - 0.2, is_local=False)
        self.assertFalse(may_release(self.state, NOW, NOW + 1.0))

    def test_response_that_is_waited_for(self) -> None:
        """Guards against a wait for a call that takes until its timeout."""
        self.state.record_call(NOW, NOW + 0.5)
        self.assertFalse(may_release(self.state, NOW, NOW + 0.7))
        self.assertTrue(may_release(self.state, NOW, NOW + 0.81))

    def test_call_that_failed_for_local_reasons(self) -> None:
        """Guards against a release because this instance could not send a call."""
        self.state.record_call(NOW, NOW + 0.1)
        self.state.record_failure(NOW + 0.1, is_local=True)
        self.assertFalse(may_release(self.state, NOW, NOW + 1.0))
        self.assertTrue(may_release(self.state, NOW, NOW + MAX_RELEASE_DELAY_SECONDS))

    def test_call_sent_after_the_leases_expired(self) -> None:
        """Guards against runs that are kept although a call has shown that they are lost."""
        self.state.record_failure(NOW + 0.05, is_local=False)
        self.assertTrue(may_release(self.state, NOW, NOW + 0.15))


class ContactTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[dict[str, Any]] = []
        add_destinations(self.lines.append)
        self.lines.clear()  # eliot passes earlier messages to the first destination
        self.addCleanup(remove_destination, self.lines.append)

    def set_up_run(self, run_seconds: float, workers: int = 2) -> None:
        """Start one run on ``w0``; other workers are idle."""
        self.sut = Deployment(workers=1)
        self.sut.worker("w0").run_seconds = run_seconds
        self.sut.submit("0a", StepSpec(1, RESOURCES, run_seconds))
        self.sut.run(1.0)
        self.assertEqual(len(self.sut.worker("w0").running), 1)
        self.client = self.sut.leader.client
        for number in range(1, workers):
            self.sut.add_worker(make_worker_entry(f"w{number}"))
        self.sut.run(0.3)

    def messages(self, event: LogEvent) -> list[dict[str, Any]]:
        kind = f"chivefall:{event.number}:{event.name.lower()}"
        return [line for line in self.lines if line["message_type"] == kind]

    def starts(self) -> int:
        return sum(len(rows) for rows in self.sut.workers.starts_of(JobId("0a")).values())

    def run_until(self, condition: Any, limit: float) -> float:
        """Advance the clock until a condition holds, and return the seconds that it took."""
        began_at = self.sut.clock.now()
        while not condition() and self.sut.clock.now() - began_at < limit:
            self.sut.run(CLOCK_STEP_SECONDS)
        return self.sut.clock.now() - began_at

    def session(self) -> Any:
        return self.sut.leader.application.fleet._sessions[W0]


class Contact(ContactTest):
    def test_path_that_is_back(self) -> None:
        """Guards against a path that is back and is not used for more than a second."""
        for cut_seconds in (1.7, 2.05, 2.4, 2.75, 3.1, 3.45):
            with self.subTest(cut_seconds=cut_seconds):
                self.set_up_run(30.0)
                self.client.unreachable.add(W0)
                self.sut.run(cut_seconds)
                self.assertGreater(self.session().failures, 0)
                self.client.unreachable.clear()
                seconds = self.run_until(lambda: self.session().failures == 0, 5.0)
                self.assertLessEqual(seconds, REACHED_AGAIN_SECONDS)

    def test_silenced_connection(self) -> None:
        """Guards against polls over a connection that a cut has silenced."""
        self.set_up_run(30.0)
        self.client.silenced.add(W0)
        self.run_until(lambda: self.session().failures, 3.0)
        seconds = self.run_until(lambda: self.session().failures == 0, 5.0)
        self.assertLessEqual(seconds, REACHED_AGAIN_SECONDS)

    def test_connection_that_was_reset(self) -> None:
        """Guards against a pause after a poll that failed at once."""
        self.set_up_run(30.0)
        self.client.refusing.add(W0)
        self.run_until(lambda: self.session().failures, 3.0)
        self.client.refusing.clear()
        seconds = self.run_until(lambda: self.session().failures == 0, 5.0)
        self.assertLessEqual(seconds, REACHED_AGAIN_SECONDS)

    def test_worker_that_has_become_slow(self) -> None:
        """Guards against a worker that no call reaches, as the timeouts are too short."""
        self.set_up_run(30.0)
        self.client.unreachable.add(W0)
        self.sut.run(2.0)
        self.client.unreachable.clear()
        self.client.reply_latency = 0.5
        seconds = self.run_until(lambda: self.session().failures == 0, 5.0)
        self.assertLess(seconds, 2.0)
        self.sut.run(6.0)
        self.assertEqual(self.starts(), 1)
        self.assertEqual(self.messages(LogEvent.RUN_RELEASED), [])

    def test_cut_shorter_than_the_lease(self) -> None:
        """Guards against runs that end although the worker could be reached in time."""
        for phase in range(8):
            with self.subTest(phase=phase):
                self.set_up_run(12.0)
                self.sut.run(phase * 0.1)
                self.client.unreachable.add(W0)
                self.sut.run(4.3)
                self.client.unreachable.clear()
                self.sut.run(SETTLE_SECONDS)
                self.assertEqual(self.sut.worker("w0").lapses, [])
                self.assertEqual(self.starts(), 1)
                self.assertIs(self.sut.state_of("0a"), JobState.COMPLETED)

    def test_end_whose_response_was_lost(self) -> None:
        """Guards against a task that runs again although its worker could report its end.

        The response that lists the end is lost, and so are all calls until shortly before the
        leases have expired.
        """
        for margin in (0.25, 0.4, 0.55, 0.7):
            with self.subTest(margin=margin):
                self.set_up_run(2.0)
                (run,) = self.sut.worker("w0").running.values()
                self.sut.run(run.started_at + 1.98 - self.sut.clock.now())
                self.client.unreachable.add(W0)
                self.run_until(lambda: self.session().failures, 3.0)
                self.assertEqual(len(self.sut.worker("w0").ends), 1)
                expired_at = self.session().leases_expired_at()
                self.sut.run(expired_at - margin - self.sut.clock.now())
                self.client.unreachable.clear()
                self.sut.run(SETTLE_SECONDS)
                self.assertEqual(self.starts(), 1)
                self.assertIs(self.sut.state_of("0a"), JobState.COMPLETED)

    def test_call_under_way_when_the_leases_expire(self) -> None:
        """Guards against a release while a response is on its way."""
        self.set_up_run(30.0)
        self.client.unreachable.add(W0)
        self.run_until(lambda: self.session().failures, 3.0)
        expired_at = self.session().leases_expired_at()
        self.sut.run(expired_at - 0.15 - self.sut.clock.now())
        self.client.unreachable.clear()
        # Responses take longer than the calls that are sent after the leases expired may.
        self.client.reply_latency = 0.06
        self.sut.run(1.0)
        self.assertEqual(self.messages(LogEvent.RUN_RELEASED), [])

    def test_release_of_a_worker_that_is_gone(self) -> None:
        """Guards against runs that are kept long after their leases have expired."""
        self.set_up_run(30.0)
        self.client.unreachable.add(W0)
        self.run_until(lambda: self.session().failures, 3.0)
        expired_at = self.session().leases_expired_at()
        self.run_until(lambda: self.messages(LogEvent.RUN_RELEASED), 10.0)
        late = self.sut.clock.now() - expired_at
        self.assertGreater(late, 0.0)
        self.assertLessEqual(late, 0.3 + 2 * CLOCK_STEP_SECONDS)
        last_call_at = self.session().contact.last_failed_call_sent_at
        self.assertGreaterEqual(last_call_at, self.sut.clock.now() - 0.4)

    def test_lease_of_an_unresponsive_worker(self) -> None:
        """Guards against calls that move the time from which a run may start elsewhere."""
        self.set_up_run(30.0)
        self.client.unreachable.add(W0)
        self.run_until(lambda: self.session().failures, 3.0)
        expired_at = self.session().leases_expired_at()
        self.sut.run(3.0)
        self.assertEqual(self.session().leases_expired_at(), expired_at)

    def test_extension_after_the_first_response(self) -> None:
        """Guards against leases that end while the ends in a first report are being written."""
        self.set_up_run(30.0)
        self.client.unreachable.add(W0)
        self.sut.run(3.0)
        reached: list[tuple[float, float | None]] = []
        renew = self.client.renew_leases

        async def record(worker, permission, deadline, *args):
            sent_at = self.sut.clock.now()
            outcome = await renew(worker, permission, deadline, *args)
            if worker.worker_id == W0 and isinstance(outcome, RunReport):
                reached.append((sent_at, deadline))
            return outcome

        self.client.renew_leases = record
        self.sut.leader.store.faults.delay = 0.5
        self.client.unreachable.clear()
        self.sut.run(1.5)
        (first_at, first_end), (second_at, second_end) = reached[:2]
        self.assertGreater(second_end, first_end + 1.0)
        self.assertLessEqual(second_at - first_at, 0.05)

    def test_late_failure_of_an_earlier_call(self) -> None:
        """Guards against a worker that is suspected for a call that was lost before it answered."""
        self.set_up_run(30.0)
        self.client.unreachable.add(W0)
        self.sut.run(2.2)
        self.client.unreachable.clear()
        self.run_until(lambda: self.session().failures == 0, 2.0)
        suspected = len(self.messages(LogEvent.WORKER_SUSPECTED))
        self.sut.run(2.0)
        self.assertEqual(len(self.messages(LogEvent.WORKER_SUSPECTED)), suspected)
        self.assertEqual(self.session().failures, 0)

    def test_reports_that_overtake_each_other(self) -> None:
        """Guards against stops of runs because an old report still lists them."""
        self.set_up_run(3.0)
        fleet, session = self.sut.leader.application.fleet, self.session()
        old = self.sut.worker("w0").renew_leases(self.sut.leader.application.leader.epoch, None, 0)
        sent_at = self.sut.clock.now() - 0.01
        self.sut.run(4.0)
        self.assertIs(self.sut.state_of("0a"), JobState.COMPLETED)
        self.assertTrue(fleet._is_outdated(session, old, sent_at))
        self.assertTrue(fleet._is_outdated(session, NoResponse("lost"), sent_at))

    def test_mass_cut(self) -> None:
        """Guards against calls to many lost workers that come all at once."""
        self.sut = Deployment(workers=40)
        self.sut.submit("0a", StepSpec(40, Resources(32_000, 1000, 8), 30.0))
        for worker in self.sut.workers.workers.values():
            worker.run_seconds = 30.0
        self.sut.run(1.0)
        client = self.sut.leader.client
        times: list[float] = []
        renew = client.renew_leases

        async def count(worker, *args):
            if args[-1] in (PollMode.QUICK, PollMode.PATIENT):
                times.append(self.sut.clock.now())
            return await renew(worker, *args)

        client.renew_leases = count
        client.unreachable.update(self.sut.workers.workers)
        self.sut.run(4.0)
        steps = Counter(round(at / 0.02) for at in times)
        self.assertGreater(len(times), 40 * 8)
        self.assertLess(max(steps.values()), 10)


class StartOfTheNextRun(ContactTest):
    def test_end_reported_while_the_next_run_is_recorded(self) -> None:
        """Guards against starting a task whose success arrives before its next start is sent."""
        self.set_up_run(2.0)
        self.client.unreachable.add(W0)
        scheduler = self.sut.leader.application.scheduler
        task = next(iter(scheduler.jobs[JobId("0a")].job.active_tasks()))
        self.run_until(lambda: self.messages(LogEvent.RUN_RELEASED), 10.0)
        store = self.sut.leader.store
        transact = store.transact

        async def respond_late(*args):
            outcome = await transact(*args)
            await sleep(self.sut.clock, 1.5)
            return outcome

        store.transact = respond_late
        self.run_until(lambda: task.assignment is not None and task.assignment.number == 2, 2.0)
        self.assertEqual(task.assignment.number, 2)
        self.client.unreachable.clear()
        self.run_until(lambda: self.session().failures == 0, 2.0)
        self.assertEqual(self.starts(), 1)
        self.sut.run(SETTLE_SECONDS)
        self.assertEqual(self.starts(), 1)
        self.assertIs(self.sut.state_of("0a"), JobState.COMPLETED)


if __name__ == "__main__":
    unittest.main()
