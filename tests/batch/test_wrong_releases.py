"""Runs that are released although they exist, and acknowledgements that are never sent."""

from __future__ import annotations

import unittest
from dataclasses import replace

import msgspec

from chivefall.batch import (
    NO_CHECKPOINT,
    BatchJob,
    BatchSpec,
    EndKind,
    Incarnation,
    JobState,
    Resources,
    StepSpec,
    Submission,
    TaskKey,
)
from chivefall.model import JobId, WorkerId
from chivefall.runtime import sleep
from standins.run_history import repeated_runs, run_spans
from standins.run_workers import make_worker_entry
from tests.batch.deployment import ACCOUNT, NORMAL, Deployment

RESOURCES = Resources(4_000, 16_000, 1)
WHOLE_WORKER = Resources(32_000, 131_072, 8)
RUN_SECONDS = 8.0
SETTLE_SECONDS = 20.0
UPTIME_SECONDS = 20.0  # by which the clock of a restarted worker is behind
POLLS_UNTIL_OVERFLOW = 1100  # 2 to this power exceeds the range of a float


class EntryOfAnEarlierIncarnation(unittest.TestCase):
    """The clock of a worker's machine steps back before the worker restarts under its id.

    Then the earlier incarnation has the higher number. Its entry appears again after reports
    have shown the later one: by a write that arrives late, or by a new list of all entries.
    """

    def setUp(self) -> None:
        self.sut = Deployment(workers=1)
        self.earlier = replace(self.sut.worker("w0").entry, incarnation=Incarnation(7))
        self.sut.add_worker(self.earlier)
        self.sut.run(3.0)
        self.sut.workers.add(replace(self.earlier, incarnation=Incarnation(3)))
        self.sut.worker("w0").run_seconds = RUN_SECONDS
        self.sut.leader.client.latency = 0.1
        self.sut.submit("b1", StepSpec(1, RESOURCES, RUN_SECONDS))
        self.sut.run(2.0)
        session = self.sut.leader.application.fleet._sessions[WorkerId("w0")]
        self.assertEqual(session.worker.entry.incarnation, 3)
        self.assertEqual(len(session.reported), 1)

    def repeat_earlier_entry(self) -> None:
        self.sut.write("servers/w0", msgspec.json.encode(self.earlier))

    def starts(self) -> int:
        return sum(map(len, self.sut.workers.starts_of(JobId("b1")).values()))

    def check_runs_once(self) -> None:
        self.assertEqual(list(repeated_runs(run_spans(self.sut.workers.histories()))), [])
        self.assertEqual(self.starts(), 1)

    def test_run_in_progress(self) -> None:
        """Guards against releasing a run that the last report has listed as running."""
        self.repeat_earlier_entry()
        self.sut.run(1.0)
        self.sut.list_worker(self.sut.worker("w0"))
        self.sut.run(SETTLE_SECONDS)
        self.check_runs_once()

    def test_run_that_ends_before_the_worker_is_listed(self) -> None:
        """Guards against a second run whose first one is acknowledged as done later."""
        self.sut.run(RUN_SECONDS - 2.5)
        self.repeat_earlier_entry()
        self.sut.run(1.5)
        kinds = [kind for _, kind, _ in self.sut.worker("w0").history]
        self.assertEqual(kinds[:2], ["start", "done"])
        self.sut.add_worker(make_worker_entry("w1"))
        self.sut.run(0.7)
        self.sut.list_worker(self.sut.worker("w0"))
        self.sut.run(SETTLE_SECONDS)
        self.check_runs_once()


class UnsentAcknowledgements(unittest.TestCase):
    def setUp(self) -> None:
        self.sut = Deployment(workers=1)
        self.sut.worker("w0").run_seconds = 0.2

    def close_connections(self) -> None:
        """Let the worker close each connection after its response."""
        client = self.sut.leader.client
        renew_leases = client.renew_leases

        async def renew_and_close(worker, *args):
            client.connections.clear()
            outcome = await renew_leases(worker, *args)
            client.connections.clear()
            return outcome

        client.renew_leases = renew_and_close

    def test_worker_that_closes_each_connection(self) -> None:
        """Guards against ends that are never acknowledged to a worker without keep-alive."""
        self.close_connections()
        self.sut.submit("b1", StepSpec(2, RESOURCES, 0.2))
        self.sut.run(SETTLE_SECONDS)
        kinds = [kind for _, kind, _ in self.sut.worker("w0").history]
        self.assertEqual(kinds.count("noted"), 2)

    def test_tasks_of_a_worker_that_closes_each_connection(self) -> None:
        """Guards against jobs that never complete once a report has no room for more ends."""
        self.close_connections()
        self.sut.worker("w0").max_listed_ends = 2
        self.sut.submit("b1", StepSpec(6, RESOURCES, 0.2))
        self.sut.run(SETTLE_SECONDS)
        self.assertIs(self.sut.state_of("b1"), JobState.COMPLETED)

    def test_many_unsent_acknowledgements(self) -> None:
        """Guards against a delay whose exponent grows without a limit."""
        self.close_connections()
        self.sut.submit("b1", StepSpec(2, RESOURCES, 0.2))
        self.sut.run(2.0)
        fleet = self.sut.leader.application.fleet
        session = fleet._sessions[WorkerId("w0")]
        session.unsent_acknowledgements = POLLS_UNTIL_OVERFLOW
        self.sut.submit("b2", StepSpec(2, RESOURCES, 0.2))
        calls = []
        renew_leases = self.sut.leader.client.renew_leases

        async def count(worker, *args):
            calls.append(self.sut.clock.now())
            return await renew_leases(worker, *args)

        self.sut.leader.client.renew_leases = count
        self.sut.run(4.0)
        self.assertIn(len(calls), range(1, 30))


class PendingWrite(unittest.TestCase):
    def test_end_that_changes_nothing_while_the_last_write_is_sent(self) -> None:
        """Guards against an acknowledgement that waits for a write which never comes.

        The end of a released run arrives while the final state of its job is being written.
        """
        sut = Deployment(workers=2)
        for name in ("w0", "w1"):
            sut.worker(name).run_seconds = 2.0
        sut.submit("b1", StepSpec(2, WHOLE_WORKER, 2.0))
        sut.run(0.5)
        sut.leader.client.misdirected.add("w0")
        sut.delete("servers/w0")
        sut.run(2.5)
        sut.leader.client.misdirected.clear()
        store = sut.leader.store
        transact = store.transact

        async def respond_late(*args):
            outcome = await transact(*args)
            await sleep(sut.clock, 1.5)
            return outcome

        store.transact = respond_late
        job = sut.leader.application.scheduler.jobs[JobId("b1")].job
        while job.state is not JobState.COMPLETED:
            sut.run(0.01)
        self.assertEqual(len(sut.worker("w0").ends), 1)
        sut.list_worker(sut.worker("w0"))
        sut.run(SETTLE_SECONDS)
        self.assertIs(sut.state_of("b1"), JobState.COMPLETED)
        self.assertEqual(sut.worker("w0").ends, [])

    def test_acknowledgement_after_the_write_in_progress(self) -> None:
        """Guards against the same for one end, without workers."""
        sut = Deployment(workers=1)
        sut.worker("w0").run_seconds = 1.0
        sut.submit("b1", StepSpec(1, RESOURCES, 1.0))
        sut.run(0.5)
        scheduler = sut.leader.application.scheduler
        tracked = scheduler.jobs[JobId("b1")]
        sut.leader.store.faults.reply_delay = 0.5
        while tracked.job.state is not JobState.COMPLETED:
            sut.run(0.01)
        while tracked.dirty or not tracked.unacknowledged_writes:
            sut.run(0.01)
        ((_, run),) = sut.workers.starts_of(JobId("b1"))[TaskKey(0, 0, 0)]
        calls = []
        scheduler.run_ended(run, EndKind.DONE, NO_CHECKPOINT, lambda: calls.append(1))
        sut.run(SETTLE_SECONDS)
        self.assertFalse(tracked.has_pending_write)
        self.assertEqual(calls, [1])


class EndOfReleasedRun(unittest.TestCase):
    def test_failure_counts_as_an_attempt(self) -> None:
        """Guards against more failed runs of a task than its queue allows."""
        spec = BatchSpec("payload", (StepSpec(1, RESOURCES, 1.0),))
        job = BatchJob(Submission(JobId("b1"), NORMAL, ACCOUNT.name, 0.0, spec), max_attempts=2)
        key = TaskKey(0, 0, 0)
        (first,) = job.assign([(key, WorkerId("w0"), Incarnation(1))], 0.0)
        job.release(key, first.number)
        (second,) = job.assign([(key, WorkerId("w1"), Incarnation(1))], 1.0)
        job.end_run(first, EndKind.FAILED, NO_CHECKPOINT, 2.0)
        job.end_run(second, EndKind.FAILED, NO_CHECKPOINT, 3.0)
        self.assertIs(job.state, JobState.FAILED)


class LeaseOfTheNextIncarnation(unittest.TestCase):
    """A start reaches an incarnation that the leader does not know, and gets no response.

    The end of its lease is a time on the clock of the former incarnation, which the next one
    reaches much later.
    """

    def setUp(self) -> None:
        self.sut = Deployment(workers=1)
        self.sut.run(UPTIME_SECONDS)
        entry = self.sut.worker("w0").entry
        self.sut.workers.add(replace(entry, incarnation=Incarnation(2)))
        self.client = self.sut.leader.client
        self.client.delayed.add(WorkerId("w0"))
        self.client.start_delay = 0.2

    def start_without_response(self, run_seconds: float) -> None:
        self.sut.worker("w0").run_seconds = run_seconds
        self.sut.submit("b1", StepSpec(1, WHOLE_WORKER, run_seconds))
        self.sut.run(0.05)
        session = self.sut.leader.application.fleet._sessions[WorkerId("w0")]
        self.assertEqual(session.worker.entry.incarnation, 1)
        self.assertEqual(len(session.unanswered_starts), 1)
        self.client.unreachable.add(WorkerId("w0"))
        self.sut.run(1.0)
        self.sut.add_worker(make_worker_entry("w1"))

    def check_runs_once(self) -> None:
        self.sut.run(SETTLE_SECONDS)
        self.assertEqual(list(repeated_runs(run_spans(self.sut.workers.histories()))), [])
        self.assertIs(self.sut.state_of("b1"), JobState.COMPLETED)

    def test_run_that_is_done_before_its_release(self) -> None:
        """Guards against starting a task again whose success is acknowledged later."""
        self.start_without_response(2.0)
        self.sut.run(7.0)
        self.client.unreachable.clear()
        self.client.delayed.clear()
        self.sut.list_worker(self.sut.worker("w0"))
        self.check_runs_once()

    def test_run_in_progress(self) -> None:
        """Guards against a second run while the first one is at work."""
        self.start_without_response(8.0)
        self.check_runs_once()


class GangMembers(unittest.TestCase):
    def test_member_that_is_done_a_moment_later(self) -> None:
        """Guards against stopping a gang's member because another one has ended as done."""
        sut = Deployment(workers=2)
        sut.worker("w0").run_seconds = 2.0
        sut.worker("w1").run_seconds = 2.5
        gang = StepSpec(2, WHOLE_WORKER, 2.0, gang=True)
        sut.submit("b1", gang, StepSpec(1, RESOURCES, 1.0, after=(0,)))
        sut.run(4.0)
        kinds = [kind for _, kind, run in sut.worker("w1").history if run.task.step == 0]
        self.assertEqual(kinds, ["start", "done", "noted"])


if __name__ == "__main__":
    unittest.main()
