"""The search for runs to stop finds the same runs as a plain search over all of them."""

from __future__ import annotations

import random
import unittest

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
    RunId,
    StepSpec,
    Submission,
    Worker,
)
from chivefall.batch._group import GUARANTEED_RANK, URGENT_RANK
from chivefall.batch._placement import WorkerSet
from chivefall.batch._victims import VictimSearch
from chivefall.config import PlatformBounds
from chivefall.model import AccountId, JobId, ServiceId
from standins.run_workers import make_worker_entry

NOW = 1000.0
TIMING = BatchTiming.from_bounds(PlatformBounds())
CAPACITY = Resources(32_000, 64_000, 8)
QUEUES = [Queue(QueueId(f"q{rank}"), "h", f"/q{rank}/", ServiceId("pool"), rank) for rank in (0, 1)]


class Region:
    """Workers with running jobs, drawn from a seed."""

    def __init__(self, seed: int, workers: int = 12, jobs: int = 14) -> None:
        self.rng = random.Random(seed)
        self.fleet = Fleet()
        self.candidates: list[Candidate] = []
        for number in range(workers):
            entry = make_worker_entry(f"w{number:02}", rack=f"r{number // 4}", capacity=CAPACITY)
            self.fleet.workers[f"w{number:02}"] = Worker(entry, synced=True)
        self.workers = list(self.fleet.workers.values())
        for number in range(jobs):
            self.start(self.add_job(number))

    def add_job(self, number: int) -> BatchJob:
        rng = self.rng
        step = StepSpec(
            rng.randint(1, 5),
            Resources(rng.choice([2000, 5000, 9000]), rng.choice([2000, 9000]), rng.randint(1, 4)),
            rng.uniform(1.0, 20.0),
            gang=rng.random() < 0.5,
            checkpointed=rng.random() < 0.5,
            long_running=rng.random() < 0.1,
        )
        queue = rng.choice(QUEUES)
        submission = Submission(
            JobId(f"{number:04x}"), queue, AccountId("a"), NOW - 20.0, BatchSpec("", (step,))
        )
        job = BatchJob(submission, 2)
        self.candidates.append(Candidate(job, queue))
        return job

    def start(self, job: BatchJob) -> None:
        """Assign the tasks of a job that fit, and stop some of its runs."""
        placements = []
        for task in job.group(0, 0):
            step = job.step_of(task.key)
            fitting = [item for item in self.workers if item.free.count_fitting(step.resources)]
            if not fitting:
                return
            worker = self.rng.choice(fitting)
            placements.append((task.key, worker.worker_id, 1))
            worker.allocate(RunId(job.job_id, task.key, 1), step)
        job.assign(placements, NOW - self.rng.uniform(0.0, 15.0))
        if self.rng.random() < 0.2:
            for task in job.group(0, 0):
                task.stopping = True

    def search(self) -> VictimSearch:
        jobs = {item.job.job_id: item.job for item in self.candidates}
        ranks = {item.job.job_id: URGENT_RANK + item.queue.priority for item in self.candidates}
        free = {worker.worker_id: worker.free for worker in self.workers}
        return VictimSearch(self.workers, free, jobs, ranks, NOW, TIMING)


def plain_search(search, unit, workers, missing, min_rank):
    """Return cost and runs of a search that considers every worker again after each choice."""
    free = {worker.worker_id: search.free_after_stops(worker) for worker in workers}
    total, runs = 0.0, set()
    while sum(resources.count_fitting(unit) for resources in free.values()) < missing:
        choices = [
            choice
            for worker in workers
            if (
                choice := plain_choice(search, unit, worker, free[worker.worker_id], runs, min_rank)
            )
        ]
        if not choices:
            return None
        cost, chosen = min(choices)
        total += cost
        for run in search._with_gangs(chosen) - runs - search.stopping:
            runs.add(run)
            for worker in workers:
                if run in worker.runs:
                    free[worker.worker_id] += worker.runs[run].resources
    return total, runs


def plain_choice(search, unit, worker, free, taken, min_rank):
    """Return cost and runs, cheapest first, after which one more task fits on a worker."""
    wanted = free.count_fitting(unit) + 1
    total, chosen, gangs = 0.0, [], set()
    possible = sorted(
        (search.stop_cost(run), run)
        for run, step in worker.runs.items()
        if run not in taken
        and run not in search.stopping
        and search._ranks.get(run.job, GUARANTEED_RANK) >= min_rank
        and not step.long_running
    )
    for cost, run in possible:
        gang = (run.job, run.task.occurrence, run.task.step)
        if not worker.runs[run].gang or gang not in gangs:
            total += cost
            gangs.add(gang)
        chosen.append(run)
        free += worker.runs[run].resources
        if free.count_fitting(unit) >= wanted:
            return total, sorted(chosen)
    return None


class VictimSearchTest(unittest.TestCase):
    def test_same_runs_as_a_plain_search(self) -> None:
        """Guards against stopping more expensive runs because a kept result is out of date."""
        found_some = 0
        for seed in range(80):
            region = Region(seed)
            search = region.search()
            for _ in range(4):  # searches of one round, each after the stops of the one before
                unit = Resources(region.rng.choice([3000, 8000]), 4000, region.rng.randint(1, 4))
                missing, rank = region.rng.randint(1, 12), region.rng.choice([1, 2])
                racks = region.rng.choice([("r0",), ("r1",), ("r0", "r1", "r2")])
                workers = [item for item in region.workers if item.entry.rack in racks]
                expected = plain_search(search, unit, workers, missing, rank)
                found = search.find(unit, WorkerSet(workers, racks), missing, rank)
                with self.subTest(seed=seed, missing=missing):
                    self.assertEqual(found is None, expected is None)
                    if found is None:
                        continue
                    self.assertEqual(found.runs, expected[1])
                    self.assertAlmostEqual(found.cost, expected[0])
                    found_some += bool(found.runs)
                search.stop(found.runs)
        self.assertGreater(found_some, 40)

    def test_search_above_a_maximum_cost_ends(self) -> None:
        """Guards against a maximum cost that hides a cheaper result."""
        for seed in range(40):
            region = Region(seed)
            search = region.search()
            worker_set = WorkerSet(region.workers, ("r0", "r1", "r2"))
            full = search.find(Resources(8000, 4000, 3), worker_set, 10, 2)
            if full is None or not full.cost:
                continue
            args = (Resources(8000, 4000, 3), worker_set, 10, 2)
            self.assertIsNone(search.find(*args, max_cost=full.cost))
            self.assertEqual(search.find(*args, max_cost=full.cost + 1.0).runs, full.runs)


class BurstOfUrgentGroups(unittest.TestCase):
    def test_all_groups_get_their_stops_over_several_rounds(self) -> None:
        """Guards against urgent groups that are left out of a round and never considered.

        Load: more urgent gangs arrive at once than one round decides stops for, while long
        work fills all workers.
        """
        fleet = Fleet()
        for number in range(60):
            entry = make_worker_entry(f"w{number:02}", rack=f"r{number // 20}", capacity=CAPACITY)
            fleet.workers[f"w{number:02}"] = Worker(entry, synced=True)
        candidates = []
        policy = DeadlinePolicy(TIMING)

        def add(name: str, queue: Queue, step: StepSpec, age: float) -> BatchJob:
            submission = Submission(
                JobId(name), queue, AccountId("a"), NOW - age, BatchSpec("", (step,))
            )
            candidates.append(Candidate(BatchJob(submission, 2), queue))
            return candidates[-1].job

        for number in range(60):
            job = add(f"a{number:02}", QUEUES[1], StepSpec(1, Resources(1000, 1000, 8), 60.0), 1.0)
            (run,) = job.assign([(job.group(0, 0)[0].key, f"w{number:02}", 1)], NOW - 0.1)
            fleet.workers[f"w{number:02}"].allocate(run, job.step_of(run.task))
        for number in range(40):
            add(f"b{number:02}", QUEUES[0], StepSpec(1, Resources(1000, 1000, 8), 2.0), 0.1)
        jobs = {item.job.job_id: item.job for item in candidates}
        rounds = stops = 0
        complete = False
        while not complete:
            plan = policy.plan(candidates, fleet, NOW)
            self.assertTrue(plan.preemptions)
            for run in plan.preemptions:
                jobs[run.job].task(run.task).stopping = True
            rounds, stops, complete = rounds + 1, stops + len(plan.preemptions), plan.complete
        self.assertEqual(stops, 40)
        self.assertLessEqual(rounds, 3)


if __name__ == "__main__":
    unittest.main()
