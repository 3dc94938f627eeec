"""Choice of the failure domain for a job."""

from __future__ import annotations

import unittest

from chivefall.model import AccountId, Adjacency, DomainId, Guarantee, JobSpec
from chivefall.routing import DomainCandidate, choose_domain, covers


def candidate(name: str, **changes: object) -> DomainCandidate:
    """Return a domain with room for a gang of 8 in one rack."""
    return DomainCandidate(DomainId(name), **{"free": 16, "largest_block": 8, **changes})


class ChooseDomainTest(unittest.TestCase):
    spec = JobSpec(AccountId("farmers"), "sort", gang_size=8)

    def test_room_comes_before_everything(self) -> None:
        """Guards against a job that waits in its own domain while another one has room."""
        candidates = [
            candidate("own", is_local=True, largest_block=4),
            candidate("other"),
            candidate("queue", queued=1),
        ]
        self.assertEqual(choose_domain(self.spec, candidates), "other")
        wide = JobSpec(AccountId("farmers"), "sort", gang_size=8, adjacency=Adjacency.DOMAIN)
        self.assertEqual(choose_domain(wide, candidates), "own")

    def test_guarantee_comes_before_own_when_all_are_full(self) -> None:
        """Guards against a guaranteed job that queues where its account holds no share (G1)."""
        candidates = [
            candidate("own", is_local=True, free=0, largest_block=0),
            candidate("share", guaranteed=True, largest_block=0),
        ]
        self.assertEqual(choose_domain(self.spec, candidates), "share")

    def test_own_domain_among_equals(self) -> None:
        """Guards against needless messages between domains."""
        candidates = [
            candidate("z"),
            candidate("own", is_local=True),
            candidate("a", guaranteed=True),
        ]
        self.assertEqual(choose_domain(self.spec, candidates), "own")
        self.assertIsNone(choose_domain(self.spec, []))

    def test_covers_needs_account_and_size(self) -> None:
        """Guards against counting another account's guarantee, or a smaller one."""
        farmers = Guarantee(AccountId("farmers"), gang_size=8, accelerators=1)
        self.assertTrue(covers([farmers], self.spec))
        smaller = Guarantee(AccountId("farmers"), gang_size=4, accelerators=1)
        other = Guarantee(AccountId("buyers"), gang_size=8, accelerators=1)
        self.assertFalse(covers([smaller, other], self.spec))
