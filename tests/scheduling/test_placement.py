"""Tests of the placement of gangs."""

from __future__ import annotations

import unittest

from chivefall.model import AccountId, Adjacency, JobSpec, RackId, WorkerId, WorkerState
from chivefall.scheduling import WorkerView, find_placement


def worker(name: str, rack: str, free: int, **changes: object) -> WorkerView:
    """Return a worker with 8 accelerators."""
    return WorkerView(WorkerId(name), RackId(rack), 8, free, **changes)


def gang(size: int, adjacency: Adjacency = Adjacency.RACK, accelerators: int = 1) -> JobSpec:
    """Return the specification of a job with a gang of ``size`` members."""
    return JobSpec(
        AccountId("farmers"),
        "sort",
        gang_size=size,
        accelerators=accelerators,
        adjacency=adjacency,
    )


class FindPlacementTest(unittest.TestCase):
    def test_whole_gang_in_one_rack(self) -> None:
        """Guards against splitting a gang that needs one rack over several."""
        workers = [worker("a", "r1", 4), worker("b", "r2", 4), worker("c", "r2", 4)]
        placement = find_placement(gang(8), workers)
        self.assertEqual({member.rack for member in placement}, {"r2"})
        self.assertEqual(len(placement), 8)

    def test_no_partial_gang(self) -> None:
        """Guards against placing only some members of a gang."""
        workers = [worker("a", "r1", 7), worker("b", "r2", 7)]
        self.assertIsNone(find_placement(gang(8), workers))
        self.assertIsNone(find_placement(gang(2, accelerators=8), workers))

    def test_keeps_the_emptiest_rack_free(self) -> None:
        """Guards against fragmentation by small jobs."""
        workers = [worker("a", "r1", 8), worker("b", "r2", 3)]
        placement = find_placement(gang(2), workers)
        self.assertEqual({member.worker for member in placement}, {"b"})

    def test_skips_workers_that_must_not_run_jobs(self) -> None:
        """Guards against tasks on quarantined or lost workers."""
        workers = [worker("a", "r1", 8, state=WorkerState.QUARANTINED)]
        self.assertIsNone(find_placement(gang(1), workers))

    def test_avoids_workers_if_possible(self) -> None:
        """Guards against repeating a failed job on the same worker."""
        workers = [worker("a", "r1", 8), worker("b", "r2", 8)]
        placement = find_placement(gang(1), workers, [WorkerId("a")])
        self.assertEqual(placement.members[0].worker, "b")
        self.assertIsNotNone(find_placement(gang(1), workers[:1], [WorkerId("a")]))
