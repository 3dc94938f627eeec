"""When a worker is avoided."""

from __future__ import annotations

import unittest

from chivefall.batch import Worker
from standins.run_workers import entry_of

NOW = 100.0


class Avoidance(unittest.TestCase):
    def setUp(self) -> None:
        self.worker = Worker(entry_of("w0"))

    def avoided_after(self, results: str) -> float:
        """Return the seconds of avoidance after runs that failed (F) or were done (D)."""
        for result in results:
            if result == "F":
                self.worker.record_bad_run(0.5, NOW)
            else:
                self.worker.record_good_run()
        return self.worker.avoided_until - NOW

    def test_worker_that_fails_half_of_its_runs(self) -> None:
        """Guards against gangs that are placed again and again on a partly failing worker."""
        self.assertEqual(self.avoided_after("FFDFDFFDFDF"), 2.0)

    def test_worker_that_fails_now_and_then(self) -> None:
        """Guards against avoiding sound workers for the jobs' own failures."""
        self.assertEqual(self.avoided_after("FDDDDFDDDDDF"), 0.5)

    def test_worker_that_recovers(self) -> None:
        """Guards against a worker that is avoided long after its trouble is over."""
        self.avoided_after("FFFFFFF")
        self.avoided_after("DDDDDDD")
        self.worker.avoided_until = NOW
        self.assertEqual(self.avoided_after("F"), 0.5)

    def test_longest_avoidance(self) -> None:
        """Guards against stalls, which count more, that take a worker out for minutes."""
        for _ in range(6):
            self.worker.record_bad_run(3.0, NOW)
        self.assertEqual(self.worker.avoided_until, NOW + 12.0)


if __name__ == "__main__":
    unittest.main()
