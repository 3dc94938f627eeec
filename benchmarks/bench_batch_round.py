"""CPU time of a scheduling round for batch jobs, at the current size and larger ones."""

from __future__ import annotations

import random
import time
import unittest
from statistics import median, quantiles

from chivefall.batch import (
    BatchJob,
    BatchSpec,
    BatchTiming,
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
from chivefall.config import PlatformBounds
from chivefall.model import AccountId, JobId, ServiceId
from standins.run_workers import make_worker_entry

ROUND_BOUND_SECONDS = 0.005  # stated target for 24 workers, at the 99th percentile
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


def make_fleet_and_candidates(
    workers: int, waiting: int, seed: int
) -> tuple[Fleet, list[Candidate]]:
    """Return an idle fleet and queued jobs, a third of them in each queue."""
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


def round_cpu_seconds(workers: int, *waiting: int) -> list[list[float]]:
    """Return the CPU seconds of ROUNDS rounds for each number of waiting jobs.

    Each round has a different seed. The sizes alternate, so that a change in the
    speed of the processor affects all of them alike.
    """
    policy = DeadlinePolicy(BatchTiming.from_bounds(PlatformBounds()))
    times: list[list[float]] = [[] for _ in waiting]
    for seed in range(ROUNDS):
        for jobs, measured in zip(waiting, times, strict=True):
            fleet, candidates = make_fleet_and_candidates(workers, jobs, seed)
            started_at = time.process_time()
            policy.plan(candidates, fleet, NOW)
            measured.append(time.process_time() - started_at)
    return times


class BatchRoundBenchmark(unittest.TestCase):
    def test_round_at_current_size(self) -> None:
        """Guards against rounds that block the event loop of the leader for too long."""
        (times,) = round_cpu_seconds(24, 30)
        slowest = quantiles(times, n=100)[98]
        print(f"batch round, 24 workers, 30 waiting jobs, 99th percentile: {slowest * 1000:.2f} ms")
        self.assertLessEqual(slowest, ROUND_BOUND_SECONDS)

    def test_growth_with_waiting_jobs(self) -> None:
        """Guards against CPU time that grows faster than the number of waiting jobs."""
        few, many = map(median, round_cpu_seconds(176, 40, 160))
        print(f"batch round, 176 workers: {few * 1000:.2f} ms for 40, {many * 1000:.2f} for 160")
        self.assertLessEqual(many, 4 * few)


if __name__ == "__main__":
    unittest.main()
