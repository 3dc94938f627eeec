"""Completion times and work done, compared with FIFO and EASY backfilling."""

from __future__ import annotations

import unittest
from functools import cache

from benchmarks._simulation import (
    MIN_GANG_ACCELERATORS,
    NORMAL,
    URGENT,
    Simulation,
    SimulationResult,
    Workload,
)
from benchmarks._workloads import EasyPolicy, assessor, booking
from chivefall.scheduling import FifoPolicy, GuaranteePolicy

MAX_URGENT_START_SECONDS = 1.8  # stated target
POLICIES = {"fifo": FifoPolicy, "easy": EasyPolicy, "guarantee": GuaranteePolicy}


@cache
def simulate(make_workload: object, policy: str) -> SimulationResult:
    """Return the results of one simulation."""
    result = Simulation(make_workload(), POLICIES[policy]).run()
    print(result.summary(f"{make_workload.__name__} {policy}"))
    return result


class CompletionBenchmark(unittest.TestCase):
    def results(self) -> list[tuple[Workload, SimulationResult, list[SimulationResult]]]:
        """Return each workload with the results of the guarantee policy and the baselines."""
        return [
            (
                make_workload,
                simulate(make_workload, "guarantee"),
                [simulate(make_workload, "fifo"), simulate(make_workload, "easy")],
            )
            for make_workload in (booking, assessor)
        ]

    def test_urgent_work_starts_in_time(self) -> None:
        """Guards against urgent jobs within a guarantee that start later than 1.8 s."""
        for make_workload, ours, _ in self.results():
            with self.subTest(make_workload.__name__):
                self.assertGreater(len(ours.urgent_delays), 100)
                self.assertLessEqual(max(ours.urgent_delays), MAX_URGENT_START_SECONDS)

    def test_urgent_completion(self) -> None:
        """Guards against urgent jobs that complete later than with a baseline."""
        for make_workload, ours, baselines in self.results():
            for baseline in baselines:
                with self.subTest(make_workload.__name__):
                    self.assertLessEqual(mean(ours.times(URGENT)), mean(baseline.times(URGENT)))

    def test_completion_of_all_normal_work(self) -> None:
        """Guards against urgent jobs that run at the expense of all other jobs."""
        for make_workload, ours, baselines in self.results():
            for baseline in baselines:
                with self.subTest(make_workload.__name__):
                    self.assertLessEqual(mean(ours.times(NORMAL)), mean(baseline.times(NORMAL)))

    def test_large_gangs_wait_no_longer_than_in_submission_order(self) -> None:
        """Guards against starvation of large gangs."""
        for make_workload, ours, (fifo, _) in self.results():
            with self.subTest(make_workload.__name__):
                self.assertLessEqual(ours.longest_wait, fifo.longest_wait)

    def test_domain_leaves_without_lost_guaranteed_work(self) -> None:
        """Guards against work that is lost when a failure domain drains."""
        for make_workload, ours, baselines in self.results():
            with self.subTest(make_workload.__name__):
                self.assertEqual(ours.lost_guaranteed, 0.0)
                self.assertLessEqual(ours.lost, max(baseline.lost for baseline in baselines))

    def assert_gangs_complete_sooner(self, make_workload: object) -> None:
        ours = mean(simulate(make_workload, "guarantee").times(NORMAL, MIN_GANG_ACCELERATORS))
        for name in ("fifo", "easy"):
            with self.subTest(name):
                self.assertLessEqual(
                    ours, mean(simulate(make_workload, name).times(NORMAL, MIN_GANG_ACCELERATORS))
                )

    def assert_more_work_is_done(self, make_workload: object) -> None:
        ours = simulate(make_workload, "guarantee").work_done
        for name in ("fifo", "easy"):
            with self.subTest(name):
                self.assertGreaterEqual(ours, simulate(make_workload, name).work_done)

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
        for make_workload, ours, baselines in self.results():
            with self.subTest(make_workload.__name__):
                self.assertEqual({ours.rejected}, {baseline.rejected for baseline in baselines})
                self.assertEqual(ours.unfinished, 0)


def mean(values: list[float]) -> float:
    """Return the mean."""
    return sum(values) / len(values)
