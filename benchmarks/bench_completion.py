"""Completion times and work done, against FIFO and plain backfill in the same run."""

from __future__ import annotations

import unittest
from functools import cache

from benchmarks._loop import GANG, NORMAL, URGENT, Figures, Loop, Workload
from benchmarks._workloads import EasyPolicy, assessor, booking
from chivefall.scheduling import FifoPolicy, GuaranteePolicy

URGENT_START = 1.8  # seconds; the stated target
POLICIES = {"fifo": FifoPolicy, "easy": EasyPolicy, "guarantee": GuaranteePolicy}


@cache
def figures(make_workload: object, policy: str) -> Figures:
    """Return the figures of one run; the same on every call."""
    result = Loop(make_workload(), POLICIES[policy]).run()
    print(result.line(f"{make_workload.__name__} {policy}"))
    return result


class CompletionBenchmark(unittest.TestCase):
    def each(self) -> list[tuple[Workload, Figures, list[Figures]]]:
        """Return the figures of the policy and of the baselines for both workloads."""
        return [
            (make, figures(make, "guarantee"), [figures(make, "fifo"), figures(make, "easy")])
            for make in (booking, assessor)
        ]

    def test_urgent_work_starts_in_time(self) -> None:
        """Guards against urgent work inside a guarantee that starts after 1.8 s."""
        for make, own, _ in self.each():
            with self.subTest(make.__name__):
                self.assertGreater(len(own.urgent_delays), 100)
                self.assertLessEqual(max(own.urgent_delays), URGENT_START)

    def test_urgent_completion(self) -> None:
        """Guards against urgent work that completes later than with a baseline."""
        for make, own, baselines in self.each():
            for other in baselines:
                with self.subTest(make.__name__):
                    self.assertLessEqual(mean(own.times(URGENT)), mean(other.times(URGENT)))

    def test_completion_of_all_normal_work(self) -> None:
        """Guards against urgent work that is paid for by all other work."""
        for make, own, baselines in self.each():
            for other in baselines:
                with self.subTest(make.__name__):
                    self.assertLessEqual(mean(own.times(NORMAL)), mean(other.times(NORMAL)))

    def test_large_gangs_wait_no_longer_than_in_submission_order(self) -> None:
        """Guards against large gangs that are starved."""
        for make, own, (fifo, _) in self.each():
            with self.subTest(make.__name__):
                self.assertLessEqual(own.longest_wait, fifo.longest_wait)

    def test_domain_leaves_without_lost_guaranteed_work(self) -> None:
        """Guards against work that is lost when a failure domain leaves."""
        for make, own, baselines in self.each():
            with self.subTest(make.__name__):
                self.assertEqual(own.lost_entitled, 0.0)
                self.assertLessEqual(own.lost, max(other.lost for other in baselines))

    def assert_gangs_complete_sooner(self, make: object) -> None:
        own = mean(figures(make, "guarantee").times(NORMAL, GANG))
        for name in ("fifo", "easy"):
            with self.subTest(name):
                self.assertLessEqual(own, mean(figures(make, name).times(NORMAL, GANG)))

    def assert_more_work_is_done(self, make: object) -> None:
        own = figures(make, "guarantee").kept
        for name in ("fifo", "easy"):
            with self.subTest(name):
                self.assertGreaterEqual(own, figures(make, name).kept)

    def test_gangs_of_booking(self) -> None:
        """Guards against gangs that pay for urgent and small jobs."""
        self.assert_gangs_complete_sooner(booking)

    def test_gangs_of_assessor(self) -> None:
        """Guards against gangs that pay for urgent and small jobs."""
        self.assert_gangs_complete_sooner(assessor)

    def test_work_done_of_booking(self) -> None:
        """Guards against room that is idle while a failure domain is away."""
        self.assert_more_work_is_done(booking)

    def test_work_done_of_assessor(self) -> None:
        """Guards against room that is idle while a failure domain is away."""
        self.assert_more_work_is_done(assessor)

    def test_every_possible_job_ends(self) -> None:
        """Guards against a large gang that is starved, and jobs that are rejected wrongly."""
        for make, own, baselines in self.each():
            with self.subTest(make.__name__):
                self.assertEqual({own.rejected}, {other.rejected for other in baselines})
                self.assertEqual(own.unfinished, 0)


def mean(values: list[float]) -> float:
    """Return the mean."""
    return sum(values) / len(values)
