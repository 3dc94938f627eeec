"""Workers: quarantine, leaving and removed workers, cost of renewals."""

from __future__ import annotations

import unittest
from dataclasses import replace

import msgspec

from chivefall.controllers.workers._quarantine import FIRST_PROBE_DELAY_SECONDS, Quarantine
from chivefall.model import (
    Completed,
    DomainId,
    Epoch,
    InstanceStatus,
    JobId,
    JobState,
    WorkerId,
    WorkerState,
)
from chivefall.workers import LeaseReport, LeaseRequest
from standins.cluster import Cluster
from standins.worker import Faults

DOMAIN = "zarcero"
NAMES = [f"{DOMAIN}-w{index:02d}" for index in range(4)]
BAD, GOOD = WorkerId("bad"), WorkerId("good")


class QuarantineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.quarantine = Quarantine()

    def fail(self, worker: WorkerId, *jobs: str, now: float = 0.0) -> bool:
        """Record failures and return whether the last one put the worker into quarantine."""
        return [self.quarantine.record_failure(worker, JobId(job), now) for job in jobs][-1]

    def test_three_different_jobs_in_a_row(self) -> None:
        """Guards against a worker that fails every job that it gets."""
        self.assertFalse(self.fail(BAD, "a", "b", "b", "b"))
        self.assertTrue(self.fail(BAD, "c"))
        self.assertIs(self.quarantine.state(BAD, 1.0), WorkerState.QUARANTINED)

    def test_success_resets_the_failures(self) -> None:
        """Guards against quarantine for occasional failures."""
        self.fail(BAD, "a", "b")
        self.quarantine.record_success(BAD)
        self.assertFalse(self.fail(BAD, "c"))

    def test_job_that_fails_everywhere_clears_the_workers(self) -> None:
        """Guards against healthy workers in quarantine because of a failing job."""
        self.assertTrue(self.fail(GOOD, "a", "b", "c"))
        self.fail(WorkerId("x"), "a")
        self.fail(WorkerId("y"), "a")
        self.assertIs(self.quarantine.state(GOOD, 1.0), WorkerState.HEALTHY)

    def test_jobs_that_failed_elsewhere_weigh_less(self) -> None:
        """Guards against quarantine of the second worker of three failing jobs."""
        self.fail(BAD, "a", "b", "c")
        self.assertFalse(self.fail(GOOD, "a", "b", "c"))

    def test_probes_are_rarer_after_each_failure(self) -> None:
        """Guards against a faulty worker that gets many jobs as probes."""
        self.fail(BAD, "a", "b", "c")
        due = FIRST_PROBE_DELAY_SECONDS
        self.assertIs(self.quarantine.state(BAD, due - 1), WorkerState.QUARANTINED)
        self.assertIs(self.quarantine.state(BAD, due), WorkerState.PROBATION)
        self.quarantine.start_probe(BAD)
        self.assertIs(self.quarantine.state(BAD, due), WorkerState.QUARANTINED)
        self.fail(BAD, "d", now=due)
        self.assertIs(self.quarantine.state(BAD, due * 3 - 1), WorkerState.QUARANTINED)
        self.assertIs(self.quarantine.state(BAD, due * 3), WorkerState.PROBATION)
        self.quarantine.start_probe(BAD)
        self.quarantine.record_success(BAD)
        self.assertIs(self.quarantine.state(BAD, due * 3), WorkerState.HEALTHY)


class WorkersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster((DOMAIN,), workers_per_domain=4)
        self.cluster.advance(3)
        self.leader = self.cluster.leader(DOMAIN)

    def state_of(self, name: str) -> WorkerState | None:
        """Return a worker's state in the views for the policy."""
        views = {view.worker: view.state for view in self.leader.workers.views()}
        return views.get(WorkerId(name))

    def change_list(self, name: str, **changes: object) -> None:
        """Change a worker's entry in the platform's list; without changes, remove it."""
        self.cluster.workers.instances = tuple(
            replace(item, **changes) if item.instance == name else item
            for item in self.cluster.workers.instances
            if changes or item.instance != name
        )

    def test_failing_worker_is_quarantined_probed_and_returns(self) -> None:
        """Guards against jobs that keep failing on one faulty worker."""
        self.cluster.worker(NAMES[0]).faults = Faults(fail_tasks=True)
        for _ in range(12):
            job_id = self.cluster.submit(DOMAIN, accelerators=8, payload={"run_time": 0.5})
            self.assertIsInstance(self.cluster.outcome(job_id), Completed)
            if self.state_of(NAMES[0]) is WorkerState.QUARANTINED:
                break
        self.assertIs(self.state_of(NAMES[0]), WorkerState.QUARANTINED)
        self.cluster.worker(NAMES[0]).faults = Faults()
        self.cluster.advance(FIRST_PROBE_DELAY_SECONDS)
        for _ in range(8):
            self.cluster.submit(DOMAIN, accelerators=4, payload={"run_time": 5.0})
        self.cluster.advance(1)
        self.assertEqual(self.cluster.worker(NAMES[0]).free_accelerators, 4)  # one job probes it
        self.cluster.advance(6)
        self.assertIs(self.state_of(NAMES[0]), WorkerState.HEALTHY)

    def test_failing_job_ends_without_a_quarantine(self) -> None:
        """Guards against endless retries of a job and against quarantine of healthy workers."""
        for _ in range(4):
            job_id = self.cluster.submit(
                DOMAIN, accelerators=8, payload={"fail": True, "run_time": 0.5}
            )
            outcome = self.cluster.outcome(job_id)
            self.assertIn("failed", outcome.answer["error"])
            record = self.leader.jobs.status(job_id)
            self.assertEqual((record.state, record.attempts), (JobState.FAILED, 3))
            self.assertEqual(len(set(record.failed_workers)), 3)
        self.assertEqual({self.state_of(name) for name in NAMES}, {WorkerState.HEALTHY})

    def test_leaving_worker_gets_no_starts_and_its_jobs_move(self) -> None:
        """Guards against progress that is lost with a leaving worker."""
        job_id = self.cluster.submit(DOMAIN, accelerators=8, payload={"run_time": 60.0})
        self.cluster.advance(5)
        (name,) = self.cluster.running_attempts(job_id)
        self.change_list(name, status=InstanceStatus.LEAVING)
        self.cluster.advance(6)
        (other,) = self.cluster.running_attempts(job_id)
        self.assertNotEqual(other, name)
        self.assertGreater(self.leader.jobs.status(job_id).progress, 4.0)
        self.change_list(name, status=InstanceStatus.LIVE)
        self.cluster.advance(6)
        self.assertIs(self.state_of(name), WorkerState.HEALTHY)

    def test_leaving_worker_keeps_its_non_idempotent_job(self) -> None:
        """Guards against an unknown outcome of a job that its worker can still finish (G6)."""
        payload = {"run_time": 20.0}
        job_id = self.cluster.submit(DOMAIN, accelerators=8, payload=payload, idempotent=False)
        self.cluster.advance(1)
        before = self.cluster.running_attempts(job_id)
        self.change_list(next(iter(before)), status=InstanceStatus.LEAVING)
        self.cluster.advance(10)
        self.assertEqual(self.cluster.running_attempts(job_id), before)
        self.assertIsInstance(self.cluster.outcome(job_id), Completed)

    def test_unlisted_worker_is_removed_after_its_lease_expired(self) -> None:
        """Guards against removing a worker that may still run a share."""
        job_id = self.cluster.submit(DOMAIN, accelerators=8, payload={"run_time": 600.0})
        self.cluster.advance(1)
        (name,) = self.cluster.running_attempts(job_id)
        self.cluster.workers.unreachable.add(self.cluster.address(name))
        self.change_list(name)
        self.cluster.advance(30)
        self.assertIs(self.state_of(name), WorkerState.LOST)
        self.cluster.advance(60)
        self.assertIsNone(self.state_of(name))
        self.assertEqual(len(self.cluster.running_attempts(job_id)), 1)

    def test_one_lost_renewal_does_not_stop_gangs(self) -> None:
        """Guards against losing a worker's gangs to one broken connection."""
        job_id = self.cluster.submit(DOMAIN, accelerators=8, payload={"run_time": 60.0})
        self.cluster.advance(1)
        before = self.cluster.running_attempts(job_id)
        address = self.cluster.address(next(iter(before)))
        self.cluster.workers.unreachable.add(address)
        self.cluster.advance(20)  # the long poll fails within this time
        while not self.leader.workers._workers[next(iter(before))].failed_renewals:
            self.cluster.advance(0.05)
        self.cluster.workers.unreachable.clear()
        self.cluster.advance(5)
        self.assertEqual(self.cluster.running_attempts(job_id), before)


class RenewalCostTest(unittest.TestCase):
    def test_renewals_of_230_workers_fit_the_target(self) -> None:
        """Guards against control traffic above 19 KB/s for a leader of 230 workers."""
        request = LeaseRequest(DomainId(DOMAIN), Epoch(10**9), 60.0, 10**6, 20.0)
        report = LeaseReport(WorkerId(NAMES[0]), 10**6)
        headers = 2 * 200  # request line or status line and headers, rounded up
        exchange = len(msgspec.json.encode(request)) + len(msgspec.json.encode(report)) + headers
        self.assertLess(230 * exchange / 20.0, 19_000)

    def test_idle_workers_are_polled_every_20_seconds(self) -> None:
        """Guards against polling idle workers more often than their lease needs."""
        cluster = Cluster((DOMAIN,), workers_per_domain=4)
        cluster.advance(30)
        renewals = []
        renew = cluster.workers.renew
        cluster.workers.renew = lambda *args: renewals.append(args) or renew(*args)
        cluster.advance(200)
        self.assertLessEqual(len(renewals), 4 * 10)
