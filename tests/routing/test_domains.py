"""Tests of the choice of the failure domain for a job."""

from __future__ import annotations

import unittest

from chivefall.model import AccountId, Adjacency, DomainId, Guarantee, JobSpec
from chivefall.routing import DomainCandidate, choose_domain, guarantees_cover


def candidate(name: str, **changes: object) -> DomainCandidate:
    """Return a candidate with 16 free accelerators, 8 of them in one rack."""
    return DomainCandidate(DomainId(name), **{"free": 16, "largest_block": 8, **changes})


class ChooseDomainTest(unittest.TestCase):
    spec = JobSpec(AccountId("farmers"), "sort", gang_size=8)

    def test_domain_that_can_start_the_job_comes_first(self) -> None:
        """Guards against a job that waits in the local domain while another can start it."""
        candidates = [
            candidate("own", is_local=True, largest_block=4),
            candidate("other"),
            candidate("queue", queued=1),
        ]
        self.assertEqual(choose_domain(self.spec, candidates), "other")
        wide = JobSpec(AccountId("farmers"), "sort", gang_size=8, adjacency=Adjacency.DOMAIN)
        self.assertEqual(choose_domain(wide, candidates), "own")

    def test_guarantee_comes_before_local_when_all_are_full(self) -> None:
        """Guards against queueing a guaranteed job where its account has no guarantee (G1)."""
        candidates = [
            candidate("own", is_local=True, free=0, largest_block=0),
            candidate("share", guaranteed=True, largest_block=0),
        ]
        self.assertEqual(choose_domain(self.spec, candidates), "share")

    def test_local_domain_among_equals(self) -> None:
        """Guards against unnecessary messages between domains."""
        candidates = [
            candidate("z"),
            candidate("own", is_local=True),
            candidate("a", guaranteed=True),
        ]
        self.assertEqual(choose_domain(self.spec, candidates), "own")
        self.assertIsNone(choose_domain(self.spec, []))

    def test_covers_needs_account_and_size(self) -> None:
        """Guards against counting the guarantee of another account, or one that is too small."""
        farmers = Guarantee(AccountId("farmers"), gang_size=8, accelerators=1)
        self.assertTrue(guarantees_cover([farmers], self.spec))
        smaller = Guarantee(AccountId("farmers"), gang_size=4, accelerators=1)
        other = Guarantee(AccountId("buyers"), gang_size=8, accelerators=1)
        self.assertFalse(guarantees_cover([smaller, other], self.spec))
