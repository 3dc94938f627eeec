"""Processor time of a scheduling round for batch jobs, at today's sizes and beyond."""

from __future__ import annotations

import random
import time
import unittest
from statistics import median, quantiles

from chivefall.batch import (
    BatchJob,
    BatchSpec,
    Candidate,
    DeadlinePolicy,
    Fleet,
    Queue,
    QueueId,
    Resources,
    StepSpec,
    Submission,
    Worker,
)
from chivefall.model import AccountId, JobId, ServiceId
from standins.run_workers import make_worker_entry

ROUND_BOUND_SECONDS = 0.005  # stated for today's 24 workers, at the 99th percentile
ROUNDS = 150
NOW = 1000.0
SERVICE = ServiceId("pool")
QUEUES = [
    Queue(QueueId(f"q{priority}"), "h", f"/q{priority}/", SERVICE, priority, 2, 3.0, 1.0)
    for priority in (0, 1, 2)
]
STEPS = [
    StepSpec(3, Resources(3700, 20_000, 4), 2.5, gang=True, same_rack=True),
    StepSpec(5, Resources(13_000, 68_000, 4), 11.0, gang=True, same_rack=True),
    StepSpec(16, Resources(2800, 8200, 1), 6.1),
]


def build(workers: int, waiting: int, seed: int) -> tuple[Fleet, list[Candidate]]:
    """Return a fleet and jobs that wait, a third of them in each queue."""
    rng = random.Random(seed)
    fleet = Fleet()
    for number in range(workers):
        name = f"w{number}"
        entry = make_worker_entry(name, rack=f"r{number // 8}")
        fleet.workers[name] = Worker(entry, synced=True)
    candidates = []
    for number in range(waiting):
        kind = number % 3
        submitted = NOW - rng.uniform(0.0, 20.0)
        spec = BatchSpec("", (STEPS[kind],))
        submission = Submission(
            JobId(f"{number:04x}"), QUEUES[kind], AccountId("a"), submitted, spec
        )
        candidates.append(Candidate(BatchJob(submission, 2), QUEUES[kind]))
    return fleet, candidates


def seconds_of_rounds(workers: int, waiting: int) -> list[float]:
    """Return the processor time of rounds on different loads."""
    policy, times = DeadlinePolicy(), []
    for seed in range(ROUNDS):
        fleet, candidates = build(workers, waiting, seed)
        begun = time.process_time()
        policy.plan(candidates, fleet, NOW)
        times.append(time.process_time() - begun)
    return times


class BatchRoundBenchmark(unittest.TestCase):
    def test_round_at_todays_size(self) -> None:
        """Guards against rounds that delay answers on the leader's only thread."""
        slowest = quantiles(seconds_of_rounds(24, 30), n=100)[98]
        print(f"batch round, 24 workers, 30 waiting jobs: {slowest * 1000:.2f} ms at the 99th")
        self.assertLessEqual(slowest, ROUND_BOUND_SECONDS)

    def test_growth_with_waiting_jobs(self) -> None:
        """Guards against a cost that grows faster than the number of waiting jobs."""
        few, many = (median(seconds_of_rounds(176, waiting)) for waiting in (40, 160))
        print(f"batch round, 176 workers: {few * 1000:.2f} ms for 40, {many * 1000:.2f} for 160")
        self.assertLessEqual(many, 4 * few)


if __name__ == "__main__":
    unittest.main()
