"""Completion times and work done, compared with FIFO and EASY backfilling."""

from __future__ import annotations

import unittest
from functools import cache

from benchmarks._simulation import (
    MIN_GANG_ACCELERATORS,
    NORMAL,
    URGENT,
    Figures,
    Simulation,
    Workload,
)
from benchmarks._workloads import EasyPolicy, assessor, booking
from chivefall.scheduling import FifoPolicy, GuaranteePolicy

MAX_URGENT_START_SECONDS = 1.8  # stated target
POLICIES = {"fifo": FifoPolicy, "easy": EasyPolicy, "guarantee": GuaranteePolicy}


@cache
def figures(make_workload: object, policy: str) -> Figures:
    """Return the results of one simulation."""
    result = Simulation(make_workload(), POLICIES[policy]).run()
    print(result.summary(f"{make_workload.__name__} {policy}"))
    return result


class CompletionBenchmark(unittest.TestCase):
    def each(self) -> list[tuple[Workload, Figures, list[Figures]]]:
        """Return each workload with the results of the guarantee policy and of the baselines."""
        return [
            (make, figures(make, "guarantee"), [figures(make, "fifo"), figures(make, "easy")])
            for make in (booking, assessor)
        ]

    def test_urgent_work_starts_in_time(self) -> None:
        """Guards against urgent jobs within a guarantee that start later than 1.8 s."""
        for make, own, _ in self.each():
            with self.subTest(make.__name__):
                self.assertGreater(len(own.urgent_delays), 100)
                self.assertLessEqual(max(own.urgent_delays), MAX_URGENT_START_SECONDS)

    def test_urgent_completion(self) -> None:
        """Guards against urgent jobs that complete later than with a baseline."""
        for make, own, baselines in self.each():
            for other in baselines:
                with self.subTest(make.__name__):
                    self.assertLessEqual(mean(own.times(URGENT)), mean(other.times(URGENT)))

    def test_completion_of_all_normal_work(self) -> None:
        """Guards against urgent jobs that run at the expense of all other jobs."""
        for make, own, baselines in self.each():
            for other in baselines:
                with self.subTest(make.__name__):
                    self.assertLessEqual(mean(own.times(NORMAL)), mean(other.times(NORMAL)))

    def test_large_gangs_wait_no_longer_than_in_submission_order(self) -> None:
        """Guards against starvation of large gangs."""
        for make, own, (fifo, _) in self.each():
            with self.subTest(make.__name__):
                self.assertLessEqual(own.longest_wait, fifo.longest_wait)

    def test_domain_leaves_without_lost_guaranteed_work(self) -> None:
        """Guards against work that is lost when a failure domain drains."""
        for make, own, baselines in self.each():
            with self.subTest(make.__name__):
                self.assertEqual(own.lost_guaranteed, 0.0)
                self.assertLessEqual(own.lost, max(other.lost for other in baselines))

    def assert_gangs_complete_sooner(self, make: object) -> None:
        own = mean(figures(make, "guarantee").times(NORMAL, MIN_GANG_ACCELERATORS))
        for name in ("fifo", "easy"):
            with self.subTest(name):
                self.assertLessEqual(
                    own, mean(figures(make, name).times(NORMAL, MIN_GANG_ACCELERATORS))
                )

    def assert_more_work_is_done(self, make: object) -> None:
        own = figures(make, "guarantee").work_done
        for name in ("fifo", "easy"):
            with self.subTest(name):
                self.assertGreaterEqual(own, figures(make, name).work_done)

    def test_gangs_of_booking(self) -> None:
        """Guards against urgent and small jobs that run at the expense of gangs."""
        self.assert_gangs_complete_sooner(booking)

    def test_gangs_of_assessor(self) -> None:
        """Guards against urgent and small jobs that run at the expense of gangs."""
        self.assert_gangs_complete_sooner(assessor)

    def test_work_done_of_booking(self) -> None:
        """Guards against idle capacity while a failure domain is out of service."""
        self.assert_more_work_is_done(booking)

    def test_work_done_of_assessor(self) -> None:
        """Guards against idle capacity while a failure domain is out of service."""
        self.assert_more_work_is_done(assessor)

    def test_every_possible_job_ends(self) -> None:
        """Guards against starvation and against jobs that are wrongly rejected."""
        for make, own, baselines in self.each():
            with self.subTest(make.__name__):
                self.assertEqual({own.rejected}, {other.rejected for other in baselines})
                self.assertEqual(own.unfinished, 0)


def mean(values: list[float]) -> float:
    """Return the mean."""
    return sum(values) / len(values)
