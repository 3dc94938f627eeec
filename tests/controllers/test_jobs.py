"""Jobs on an in-process cluster."""

from __future__ import annotations

import unittest

from chivefall.model import Accepted, AccountId, Completed, JobSpec
from standins.cluster import Cluster


class SubmitTest(unittest.TestCase):
    def test_every_domain_gets_a_leader_that_runs_jobs(self) -> None:
        """Guards against a domain that stays without a leader."""
        cluster = Cluster()
        cluster.advance(3)
        for domain in ("zarcero", "tarrazu", "cartago"):
            leader = cluster.leader(domain)
            spec = JobSpec(AccountId("farmers"), "sort", {"run_time": 1.0}, gang_size=8)
            accepted = cluster.run(leader.jobs.submit(spec))
            self.assertIsInstance(accepted, Accepted)
            outcome = cluster.run(leader.job_router.wait(accepted.job_id, cluster.clock.now() + 60))
            self.assertIsInstance(outcome, Completed)
