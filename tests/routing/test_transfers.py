"""Tests of the choice of target failure domains for queued jobs."""

from __future__ import annotations

import unittest
from dataclasses import replace

from chivefall.model import AccountId, DomainId, JobId, JobSpec
from chivefall.routing import DomainCandidate, TransferableJob, choose_transfer_targets


class TargetTest(unittest.TestCase):
    def choose(self, *jobs: TransferableJob, domains: tuple[tuple[str, int, int, int], ...]):
        candidates = tuple(DomainCandidate(DomainId(name), *rest) for name, *rest in domains)
        return choose_transfer_targets(jobs, candidates)

    def job(self, size: int, **changes: object) -> TransferableJob:
        spec = JobSpec(AccountId("farmers"), "sort", gang_size=size)
        return TransferableJob(JobId(f"z.{size}"), spec, **changes)

    def test_capacity_is_counted_once(self) -> None:
        """Guards against choosing the same accelerators for several jobs."""
        chosen = self.choose(self.job(5), self.job(4), self.job(3), domains=(("b", 8, 8, 0),))
        self.assertEqual([job for job, _ in chosen], ["z.5", "z.3"])

    def test_jobs_are_not_transferred_to_wait_elsewhere(self) -> None:
        """Guards against transferring jobs back and forth between full domains."""
        domains = (("b", 64, 64, 3), ("c", 64, 4, 0))
        self.assertEqual(self.choose(self.job(8), domains=domains), [])
        leaving = self.job(8, must_leave=True)
        self.assertEqual(len(self.choose(leaving, domains=domains)), 1)
        refused = replace(leaving, refused_by=frozenset(("b", "c")))
        self.assertEqual(self.choose(refused, domains=domains), [])

    def test_transfers_to_where_its_account_can_reclaim(self) -> None:
        """Guards against a guaranteed job that waits where its account has no guarantee (G1)."""
        domains = (("b", 64, 64, 3), ("c", 0, 0, 5))
        job = self.job(8, reclaim_domains=frozenset(("c",)))
        self.assertEqual(self.choose(job, domains=domains), [("z.8", "c")])
