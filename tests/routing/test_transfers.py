"""Choice of the failure domains that queued jobs move to."""

from __future__ import annotations

import unittest
from dataclasses import replace

from chivefall.model import AccountId, DomainId, JobId, JobSpec
from chivefall.routing import DomainOffer, Transferable, choose_targets


class TargetTest(unittest.TestCase):
    def choose(self, *jobs: Transferable, rooms: tuple[tuple[str, int, int, int], ...]):
        offers = tuple(DomainOffer(DomainId(name), *rest) for name, *rest in rooms)
        return choose_targets(jobs, offers)

    def job(self, size: int, **changes: object) -> Transferable:
        spec = JobSpec(AccountId("farmers"), "sort", gang_size=size)
        return Transferable(JobId(f"z.{size}"), spec, **changes)

    def test_room_is_given_once(self) -> None:
        """Guards against offering the same room to several jobs."""
        chosen = self.choose(self.job(5), self.job(4), self.job(3), rooms=(("b", 8, 8, 0),))
        self.assertEqual([job for job, _ in chosen], ["z.5", "z.3"])

    def test_waiting_jobs_do_not_go_where_they_would_wait(self) -> None:
        """Guards against jobs that are passed between full domains."""
        rooms = (("b", 64, 64, 3), ("c", 64, 4, 0))
        self.assertEqual(self.choose(self.job(8), rooms=rooms), [])
        leaving = self.job(8, must_leave=True)
        self.assertEqual(len(self.choose(leaving, rooms=rooms)), 1)
        refused = replace(leaving, refused_by=frozenset(("b", "c")))
        self.assertEqual(self.choose(refused, rooms=rooms), [])

    def test_reclaims_where_its_account_can(self) -> None:
        """Guards against a guaranteed job that waits where its account has no share (G1)."""
        rooms = (("b", 64, 64, 3), ("c", 0, 0, 5))
        job = self.job(8, reclaims_at=frozenset(("c",)))
        self.assertEqual(self.choose(job, rooms=rooms), [("z.8", "c")])
