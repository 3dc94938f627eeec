"""CPU time of a scheduling round for batch jobs, at the current size and larger ones."""

from __future__ import annotations

import random
import time
import unittest
from statistics import median, quantiles

import msgspec

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

ROUND_BOUND_SECONDS = 0.005  # stated target, at the 99th percentile
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


def make_overloaded_region(workers: int, waiting: int) -> tuple[Fleet, list[Candidate]]:
    """Return a fleet full of running work, and waiting jobs of which two thirds are urgent."""
    rng = random.Random(1)
    fleet = Fleet()
    for number in range(workers):
        entry = make_worker_entry(
            f"w{number}", rack=f"r{number // 20}", capacity=Resources(32_000, 64_000, 8)
        )
        fleet.workers[f"w{number}"] = Worker(entry, synced=True)
    candidates: list[Candidate] = []
    policy = DeadlinePolicy(BatchTiming.from_bounds(PlatformBounds()))

    def add_jobs(count: int) -> None:
        for number in range(len(candidates), len(candidates) + count):
            kind = rng.choices((0, 1, 2), OVERLOAD_SHARES)[0]
            step = msgspec.structs.replace(
                OVERLOAD_STEPS[kind],
                count=max(1, int(OVERLOAD_STEPS[kind].count * rng.uniform(0.4, 1.8))),
                data_rack=f"r{rng.randrange(max(1, workers // 20))}"
                if rng.random() < LOCAL_DATA_SHARE
                else None,
            )
            submission = Submission(
                JobId(f"{number:06x}"),
                QUEUES[kind],
                AccountId(f"a{number % 24}"),
                NOW - rng.uniform(0.0, 10.0),
                BatchSpec("", (step,)),
            )
            candidates.append(Candidate(BatchJob(submission, 2), QUEUES[kind]))

    def start_jobs() -> None:
        for start in policy.plan(candidates, fleet, NOW).starts:
            runs = start.job.assign(start.placements, NOW - 2.0)
            for run, (key, worker, _) in zip(runs, start.placements, strict=True):
                fleet.workers[worker].allocate(run, start.job.step_of(key))
                start.job.confirm_running(key, run.number, NOW - 2.0)

    add_jobs(workers // 2)
    start_jobs()
    while True:
        count = sum(not item.job.started for item in candidates)
        if count >= waiting:
            return fleet, candidates
        if count < waiting // 2:
            start_jobs()
        add_jobs(20)


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


OVERLOAD_STEPS = [
    StepSpec(5, Resources(3700, 8000, 2), 2.5, gang=True, same_rack=True),
    StepSpec(13, Resources(13_000, 30_000, 3), 6.8, gang=True, checkpointed=True),
    StepSpec(38, Resources(2800, 4000, 1), 6.1, checkpointed=True),
]
OVERLOAD_SHARES = (7.3, 1.8, 1.8)  # jobs a second of each kind
LOCAL_DATA_SHARE = 0.3


class BatchRoundBenchmark(unittest.TestCase):
    def test_round_at_current_size(self) -> None:
        """Guards against rounds that block the event loop of the leader for too long."""
        (times,) = round_cpu_seconds(24, 30)
        slowest = quantiles(times, n=100)[98]
        print(f"batch round, 24 workers, 30 waiting jobs, 99th percentile: {slowest * 1000:.2f} ms")
        self.assertLessEqual(slowest, ROUND_BOUND_SECONDS)

    def test_round_under_overload(self) -> None:
        """Guards against a leader that is busy with planning while urgent work arrives in bursts.

        Load: all workers are full, 300 jobs wait and most of them may stop others.
        """
        fleet, candidates = make_overloaded_region(270, 300)
        policy = DeadlinePolicy(BatchTiming.from_bounds(PlatformBounds()))
        times = []
        for _ in range(30):
            started_at = time.process_time()
            policy.plan(candidates, fleet, NOW)
            times.append(time.process_time() - started_at)
        slowest = quantiles(times, n=100)[98]
        print(f"batch round, 270 full workers, 300 waiting jobs: {slowest * 1000:.1f} ms")
        self.assertLessEqual(slowest, ROUND_BOUND_SECONDS)

    def test_growth_with_waiting_jobs(self) -> None:
        """Guards against CPU time that grows faster than the number of waiting jobs."""
        few, many = map(median, round_cpu_seconds(176, 40, 160))
        print(f"batch round, 176 workers: {few * 1000:.2f} ms for 40, {many * 1000:.2f} for 160")
        self.assertLessEqual(many, 4 * few)


if __name__ == "__main__":
    unittest.main()
