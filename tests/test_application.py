"""Metrics of an application."""

from __future__ import annotations

import unittest

from chivefall.model import AccountId, JobSpec, Urgency
from standins.cluster import Cluster


class MetricsTest(unittest.TestCase):
    def test_start_delay_and_job_states(self) -> None:
        """Guards against metrics that are declared and never set."""
        cluster = Cluster(("zarcero",), entries_per_domain=1)
        cluster.advance(6)
        app = cluster.leader("zarcero")
        spec = JobSpec(AccountId("farmers"), "check", {"run_time": 1.0}, urgency=Urgency.URGENT)
        cluster.run(app.jobs.submit(spec))
        cluster.advance(2)
        lines = app.metrics.render()[0].decode().splitlines()
        self.assertIn('chivefall_job_start_delay_seconds_count{urgency="urgent"} 1.0', lines)
        self.assertIn(
            'chivefall_job_start_delay_seconds_bucket{le="1.8",urgency="urgent"} 1.0', lines
        )
        self.assertIn('chivefall_jobs{state="succeeded"} 1', lines)
        self.assertIn("chivefall_leading 1", lines)
        self.assertIn("chivefall_document_revision 1", lines)
