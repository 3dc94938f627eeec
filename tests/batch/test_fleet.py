"""Avoidance of workers with failed runs."""

from __future__ import annotations

import unittest

from chivefall.batch import Worker
from standins.run_workers import make_worker_entry

NOW = 100.0


class Avoidance(unittest.TestCase):
    def setUp(self) -> None:
        self.worker = Worker(make_worker_entry("w0"))

    def avoided_after(self, results: str) -> float:
        """Return the seconds of avoidance after failed (F) and successful (D) runs."""
        for result in results:
            if result == "F":
                self.worker.record_bad_run(0.5, NOW)
            else:
                self.worker.record_good_run()
        return self.worker.avoided_until - NOW

    def test_worker_that_fails_half_of_its_runs(self) -> None:
        """Guards against placing gangs repeatedly on a worker that fails some of its runs."""
        self.assertEqual(self.avoided_after("FFDFDFFDFDF"), 2.0)

    def test_worker_that_fails_occasionally(self) -> None:
        """Guards against avoiding healthy workers because jobs fail by themselves."""
        self.assertEqual(self.avoided_after("FDDDDFDDDDDF"), 0.5)

    def test_worker_that_recovers(self) -> None:
        """Guards against avoiding a worker long after it has recovered."""
        self.avoided_after("FFFFFFF")
        self.avoided_after("DDDDDDD")
        self.worker.avoided_until = NOW
        self.assertEqual(self.avoided_after("F"), 0.5)

    def test_avoidance_is_limited(self) -> None:
        """Guards against avoiding a worker for minutes after stalls, which weigh more."""
        for _ in range(6):
            self.worker.record_bad_run(3.0, NOW)
        self.assertEqual(self.worker.avoided_until, NOW + 12.0)


if __name__ == "__main__":
    unittest.main()
