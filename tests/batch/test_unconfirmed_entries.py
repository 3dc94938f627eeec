"""Entries of another incarnation that wait for a report while runs of the former one are held."""

from __future__ import annotations

import unittest
from dataclasses import replace

import msgspec

from chivefall.batch import Incarnation, JobState, Resources, StepSpec
from chivefall.model import WorkerId
from chivefall.workers import IncarnationMismatch
from standins.run_history import repeated_runs, run_spans
from tests.batch.deployment import Deployment

RESOURCES = Resources(4_000, 16_000, 1)
RUN_SECONDS = 2.0
WATCH_SECONDS = 0.6  # within which the leader notices a changed entry
REPLY_SECONDS = 1.5
SETTLE_SECONDS = 25.0  # more than a lease and a run
WORKER = WorkerId("w0")


class UnconfirmedEntries(unittest.TestCase):
    def setUp(self) -> None:
        self.sut = Deployment(workers=1)
        self.client = self.sut.leader.client
        self.sut.worker(WORKER).run_seconds = SETTLE_SECONDS
        self.sut.submit("b1", StepSpec(1, RESOURCES, RUN_SECONDS))
        self.sut.run(2.0)

    def restart(self, incarnation: int) -> None:
        """Restart the worker under its id; its entry does not change yet."""
        entry = self.sut.worker(WORKER).entry
        worker = self.sut.workers.add(replace(entry, incarnation=Incarnation(incarnation)))
        worker.run_seconds = RUN_SECONDS

    def list_worker(self) -> None:
        """Write the entry, which waits for a report as the worker's runs are held."""
        self.sut.list_worker(self.sut.worker(WORKER))
        self.sut.run(WATCH_SECONDS)
        self.assertIsNotNone(self.session().unconfirmed_entry)

    def session(self):
        return self.sut.leader.application.fleet._sessions.get(WORKER)

    def check_completes(self) -> None:
        self.sut.run(SETTLE_SECONDS)
        self.assertIs(self.sut.state_of("b1"), JobState.COMPLETED)
        self.assertEqual(list(repeated_runs(run_spans(self.sut.workers.histories()))), [])

    def test_unlisted_worker_whose_leases_expire(self) -> None:
        """Guards against a worker that is never seen again, as its entry went with its session."""
        self.client.unreachable.add(WORKER)
        self.sut.delete("servers/w0")
        self.sut.run(WATCH_SECONDS)
        self.restart(2)
        self.list_worker()
        self.sut.run(SETTLE_SECONDS)
        self.client.unreachable.clear()
        self.check_completes()

    def test_listed_worker_whose_leases_expire(self) -> None:
        """Guards against calls to a former address although the next entry is known."""
        self.client.unreachable.add(WORKER)
        self.restart(2)
        self.list_worker()
        self.sut.run(SETTLE_SECONDS)
        self.assertEqual(self.session().worker.entry.incarnation, 2)
        self.client.unreachable.clear()
        self.check_completes()

    def test_another_worker_at_the_former_address(self) -> None:
        """Guards against the same when the former address refuses the worker's calls."""
        self.client.unreachable.add(WORKER)
        self.restart(2)
        self.list_worker()
        renew_leases = self.client.renew_leases

        async def renew_at_address(worker, *args):
            if worker.incarnation == 1:
                return IncarnationMismatch()
            return await renew_leases(worker, *args)

        self.client.renew_leases = renew_at_address
        self.client.unreachable.clear()
        self.check_completes()

    def test_report_of_an_incarnation_in_between(self) -> None:
        """Guards against the same when a late report shows an incarnation before the listed one."""
        self.client.unreachable.add(WORKER)
        self.restart(2)
        self.sut.run(3.0)
        self.client.reply_latency = REPLY_SECONDS
        self.client.unreachable.clear()
        while not self.sut.worker(WORKER).highest_epoch:
            self.sut.run(0.01)
        # The response is under way when the wait of the poll has ended.
        self.sut.run(self.sut.leader.application.fleet._timing.poll_wait + 0.02)
        self.restart(3)
        self.list_worker()
        self.client.reply_latency = 0.0
        self.check_completes()

    def test_entry_that_reports_have_refuted(self) -> None:
        """Guards against a worker that is lost to a delayed entry when a later call fails."""
        entry = replace(self.sut.worker(WORKER).entry, incarnation=Incarnation(7))
        self.sut.write("servers/w0", msgspec.json.encode(entry))
        self.sut.run(WATCH_SECONDS)
        self.assertIsNotNone(self.session().unconfirmed_entry)
        self.sut.run(SETTLE_SECONDS)
        self.client.unreachable.add(WORKER)
        self.sut.run(SETTLE_SECONDS)
        self.client.unreachable.clear()
        self.assertEqual(self.session().worker.entry.incarnation, 1)

    def test_worker_that_has_left(self) -> None:
        """Guards against the use of a worker by an entry that was deleted meanwhile."""
        self.client.unreachable.add(WORKER)
        self.sut.delete("servers/w0")
        self.sut.run(WATCH_SECONDS)
        self.restart(2)
        self.list_worker()
        self.sut.delete("servers/w0")
        self.sut.run(SETTLE_SECONDS)
        self.assertIsNone(self.session())


if __name__ == "__main__":
    unittest.main()
