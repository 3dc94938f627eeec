"""Workers that crash and start again under their id, with other runs and another clock."""

from __future__ import annotations

import unittest
from dataclasses import replace

from chivefall.batch import EndKind, Incarnation, JobState, Resources, StepSpec
from chivefall.model import JobId
from standins.run_history import repeated_runs, run_spans
from tests.batch.deployment import Deployment

WHOLE_WORKER = Resources(32_000, 131_072, 8)
RUN_SECONDS = 4.0
UPTIME_SECONDS = 20.0  # by which the clock of a restarted worker is behind
UNLISTED_SECONDS = 0.3  # from the restart until the worker's entry shows it
WATCH_SECONDS = 0.6  # within which the leader notices a changed entry
LATE_CALL_SECONDS = 3.0  # until a call is executed
SETTLE_SECONDS = 25.0


class WorkerRestart(unittest.TestCase):
    def setUp(self) -> None:
        self.sut = Deployment(workers=2)
        self.sut.run(UPTIME_SECONDS)
        self.set_run_seconds()

    def set_run_seconds(self) -> None:
        for worker in self.sut.workers.workers.values():
            worker.run_seconds = RUN_SECONDS

    def restart(self, name: str) -> None:
        """Restart a worker under its id; its entry still describes the previous incarnation."""
        entry = self.sut.worker(name).entry
        self.sut.workers.add(replace(entry, incarnation=Incarnation(entry.incarnation + 1)))
        self.set_run_seconds()

    def list_workers(self) -> None:
        for worker in self.sut.workers.workers.values():
            self.sut.list_worker(worker)

    def submit(self, count: int = 2, **fields) -> None:
        self.sut.submit("a1", StepSpec(count, WHOLE_WORKER, RUN_SECONDS, **fields))

    def starts(self) -> int:
        return sum(map(len, self.sut.workers.starts_of(JobId("a1")).values()))

    def check_settled(self) -> None:
        """Check that the job completes and that no task had two runs at the same time."""
        self.sut.run(SETTLE_SECONDS)
        spans = run_spans(self.sut.workers.histories())
        self.assertEqual(list(repeated_runs(spans)), [])
        self.assertIs(self.sut.state_of("a1", instance=self.sut.leader), JobState.COMPLETED)
        for worker in self.sut.workers.workers.values():
            self.assertLessEqual(worker.peak_usage.accelerators, WHOLE_WORKER.accelerators)

    def test_start_accepted_by_the_next_incarnation(self) -> None:
        """Guards against a second run while one that began after the restart is at work."""
        self.restart("w0")
        self.submit()
        self.sut.run(UNLISTED_SECONDS)
        self.list_workers()
        self.check_settled()
        self.assertEqual(self.starts(), 2)

    def test_gang_that_starts_between_the_restart_and_its_entry(self) -> None:
        """Guards against breaking a gang up because one of its workers had just restarted."""
        self.restart("w0")
        self.submit(gang=True)
        self.sut.run(UNLISTED_SECONDS)
        self.list_workers()
        self.check_settled()
        self.assertEqual(self.starts(), 2)

    def test_report_that_precedes_the_entry(self) -> None:
        """Guards against releasing runs by a report whose incarnation is not listed yet."""
        self.restart("w0")
        self.submit()
        self.sut.run(3.0)
        self.list_workers()
        self.check_settled()
        self.assertEqual(self.starts(), 2)

    def test_nothing_is_placed_by_the_entry_of_the_previous_incarnation(self) -> None:
        """Guards against tasks on a restarted worker whose capacity is not known yet."""
        self.submit()
        self.sut.run(1.0)
        self.restart("w0")
        self.sut.run(3.0)
        self.assertEqual(self.sut.worker("w0").history, [])

    def test_run_that_ended_with_its_incarnation_starts_again_soon(self) -> None:
        """Guards against waiting for runs that the previous incarnation had reported."""
        self.submit()
        self.sut.run(2.0)
        self.restart("w0")
        self.list_workers()
        self.sut.run(1.0)
        self.assertEqual(self.starts(), 3)
        self.check_settled()

    def test_start_in_flight_during_the_restart(self) -> None:
        """Guards against releasing a run whose start reaches the next incarnation."""
        self.sut.leader.client.latency = 0.5
        self.submit()
        self.sut.run(0.3)
        self.restart("w0")
        self.list_workers()
        self.check_settled()

    def test_unanswered_start_that_the_next_incarnation_executes(self) -> None:
        """Guards against a start that the next incarnation holds and executes seconds later."""
        self.restart("w0")
        self.sut.leader.client.delayed.add("w0")
        self.submit()
        self.sut.run(UNLISTED_SECONDS)
        self.list_workers()
        self.sut.run(1.0)
        self.sut.leader.client.delayed.clear()
        self.check_settled()

    def test_restart_before_a_takeover(self) -> None:
        """Guards against a next leader that takes a run of the new incarnation for ended."""
        self.sut.add_instance("i1")
        self.sut.run(2.0)
        leader = self.sut.leader
        self.restart("w0")
        self.submit()
        self.sut.run(0.1)
        self.assertEqual(self.starts(), 2)
        leader.kill()
        self.list_workers()
        self.check_settled()
        self.assertEqual(self.starts(), 2)

    def test_restarted_worker_that_is_lost_before_its_first_report(self) -> None:
        """Guards against runs that are never released as no lease of the worker is known."""
        self.restart("w0")
        self.submit()
        self.sut.run(0.05)
        self.sut.leader.client.unreachable.add("w0")
        self.list_workers()
        self.sut.run(0.5)
        self.sut.worker("w0").crash()
        self.sut.delete("servers/w0")
        self.check_settled()

    def test_leases_granted_by_the_clock_of_the_previous_incarnation(self) -> None:
        """Guards against restarting runs before a lease that was computed by the old clock."""
        self.restart("w0")
        self.sut.worker("w0").run_seconds = 30.0
        self.submit()
        self.sut.run(0.05)
        self.list_workers()
        self.sut.run(0.6)
        self.sut.leader.client.unreachable.add("w0")
        self.check_settled()

    def test_lease_by_the_previous_clock_that_is_granted_late(self) -> None:
        """Guards against a lease extension to the previous incarnation that arrives later."""
        for is_relisted in (False, True):
            with self.subTest(is_relisted=is_relisted):
                self.setUp()
                self.check_late_lease(is_relisted=is_relisted)

    def check_late_lease(self, *, is_relisted: bool) -> None:
        client = self.sut.leader.client
        self.restart("w0")
        client.timeout, client.latency = 0.8, LATE_CALL_SECONDS
        self.sut.run(1.2)
        client.latency = 0.0
        self.list_workers()
        self.sut.run(0.2)
        if is_relisted:
            self.sut.delete("servers/w0")
            self.sut.run(WATCH_SECONDS)
            self.list_workers()
        self.sut.run(WATCH_SECONDS)
        self.sut.worker("w0").run_seconds = UPTIME_SECONDS
        self.sut.submit("a1", StepSpec(1, WHOLE_WORKER, UPTIME_SECONDS))
        self.sut.run(LATE_CALL_SECONDS - 0.3)
        self.assertEqual(len(self.sut.worker("w0").running), 1)
        client.unreachable.add("w0")
        self.check_settled()

    def test_end_kinds_after_a_restart(self) -> None:
        """Guards against counting a run that its worker's crash ended as a failed attempt."""
        self.submit()
        self.sut.run(2.0)
        for _ in range(3):
            self.restart("w0")
            self.list_workers()
            self.sut.run(1.0)
        self.check_settled()
        kinds = {span.kind for span in run_spans(self.sut.workers.histories())}
        self.assertNotIn(EndKind.FAILED.value, kinds)


if __name__ == "__main__":
    unittest.main()
