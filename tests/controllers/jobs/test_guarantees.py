"""Guarantees across several failure domains (G1), and the policy's view of the cluster."""

from __future__ import annotations

import unittest
from dataclasses import replace

from chivefall.document import guarantee_shares
from chivefall.model import Accepted, AccountId, DomainId, Guarantee, JobSpec, JobState
from standins.cluster import Cluster, default_document

DOMAINS = ("zarcero", "tarrazu", "cartago")
FARMERS, BUYERS = AccountId("farmers"), AccountId("buyers")


class PolicyViewTest(unittest.TestCase):
    """The cluster view that the job controller passes to the policy."""

    def setUp(self) -> None:
        self.cluster = Cluster(("zarcero",), workers_per_domain=1, entries_per_domain=1)
        self.cluster.advance(6)
        self.jobs = self.cluster.leader("zarcero").jobs

    def submit(self, **changes: object) -> str:
        spec = JobSpec(FARMERS, "sort", {"run_time": 3.0}, **changes)
        return self.cluster.run(self.jobs.submit(spec)).job_id

    def running(self):
        view = self.jobs._view(self.cluster.clock.now())
        return {job.job_id: job for job in view.running}

    def test_job_whose_checkpoint_is_in_progress(self) -> None:
        """Guards against accelerators that count neither as free nor as about to be free."""
        job_id = self.submit()
        self.cluster.advance(1)
        self.assertTrue(self.running()[job_id].checkpointable)
        self.assertFalse(self.running()[job_id].checkpointing)
        self.jobs.jobs[job_id].busy = True
        self.assertTrue(self.running()[job_id].checkpointing)
        self.assertFalse(self.running()[job_id].checkpointable)

    def test_policy_gets_the_run_times_of_finished_jobs(self) -> None:
        """Guards against reservations that rely on wrong declared run times forever."""
        self.submit(run_time=600.0)
        self.cluster.advance(5)
        seconds = self.jobs._policy.estimator.corrected_run_time(
            JobSpec(FARMERS, "sort", run_time=600.0)
        )
        self.assertAlmostEqual(seconds, 3.0, delta=0.5)


class ReclaimTest(unittest.TestCase):
    def setUp(self) -> None:
        shape = Guarantee(FARMERS, gangs=1, gang_size=8, accelerators=1)
        self.document = replace(default_document(DOMAINS), guarantees=(shape,))
        self.cluster = Cluster(DOMAINS, workers_per_domain=1, document=self.document)
        self.cluster.advance(6)

    def submit(self, account: AccountId, domain: str, size: int) -> str:
        """Submit a long gang through an instance of a domain and return its id."""
        spec = JobSpec(account, "sort", {"run_time": 500.0}, gang_size=size, run_time=500.0)
        app = next(a for a in self.cluster.applications.values() if a.cfg.failure_domain == domain)
        now = self.cluster.clock.now()
        outcome = self.cluster.run(app.job_router.submit(spec, False, now))
        self.assertIsInstance(outcome, Accepted)
        return outcome.job_id

    def state(self, job_id: str) -> JobState:
        app = next(iter(self.cluster.applications.values()))
        record = self.cluster.run(app.job_router.status(job_id, self.cluster.clock.now()))
        return record.state

    def test_guaranteed_gang_starts_from_any_domain_while_borrowers_fill_all(self) -> None:
        """Guards against a guarantee that works only for submissions in the domain of its share."""
        for domain in DOMAINS:
            self.submit(BUYERS, domain, 8)
        self.cluster.advance(3)
        share = next(name for name in DOMAINS if guarantee_shares(self.document, DomainId(name)))
        elsewhere = next(name for name in DOMAINS if name != share)
        job_id = self.submit(FARMERS, elsewhere, 8)
        self.cluster.advance(3)
        self.assertIs(self.state(job_id), JobState.RUNNING)

    def test_guaranteed_gang_moves_to_the_domain_of_its_share(self) -> None:
        """Guards against a guaranteed job that stays queued in a domain without its share."""
        share = next(name for name in DOMAINS if guarantee_shares(self.document, DomainId(name)))
        elsewhere = next(name for name in DOMAINS if name != share)
        for domain in DOMAINS:
            self.submit(BUYERS, domain, 8)
        self.cluster.advance(3)
        spec = JobSpec(FARMERS, "sort", {"run_time": 500.0}, gang_size=8, run_time=500.0)
        outcome = self.cluster.run(self.cluster.leader(elsewhere).jobs.submit(spec))
        self.cluster.advance(15)
        self.assertIs(self.state(outcome.job_id), JobState.RUNNING)
