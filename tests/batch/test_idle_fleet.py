"""Jobs that wait although most of the fleet is idle.

Load: the traffic has ended, long gangs still run, and jobs remain whose rack is taken or whose
resources are reserved for a gang that cannot start yet.
"""

from __future__ import annotations

import unittest

from chivefall.batch import (
    BatchJob,
    BatchSpec,
    BatchTiming,
    Candidate,
    DeadlinePolicy,
    Fleet,
    GroupStart,
    Queue,
    QueueId,
    Resources,
    RunId,
    StepSpec,
    Submission,
    Worker,
)
from chivefall.config import PlatformBounds
from chivefall.model import AccountId, JobId, RackId, ServiceId
from standins.run_workers import make_worker_entry

NOW = 1000.0
SERVICE = ServiceId("pool")
URGENT = Queue(QueueId("urgent"), "h", "/u/", SERVICE, 0, 2, 1.5, 0.25)
NORMAL = Queue(QueueId("normal"), "h", "/n/", SERVICE, 1, 2, 3.0, 1.0)
TIMING = BatchTiming.from_bounds(PlatformBounds())
WHOLE_WORKER = Resources(32_000, 1000, 8)
SMALL = Resources(1000, 1000, 1)
WORKERS_PER_RACK = 8
ROUND_INTERVAL_SECONDS = 0.25
MAX_WAIT_SECONDS = 3.0  # of a job that fits twice while under half of the fleet is in use
FLEETS = (24, 176, 270)  # workers


class IdleFleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.set_up_fleet(24)

    def set_up_fleet(self, workers: int) -> None:
        self.fleet = Fleet()
        self.candidates: list[Candidate] = []
        for number in range(workers):
            name, rack = f"w{number:03}", f"r{number // WORKERS_PER_RACK}"
            self.fleet.workers[name] = Worker(make_worker_entry(name, rack=rack), synced=True)

    def add(self, name: str, step: StepSpec, queue: Queue = NORMAL) -> BatchJob:
        submission = Submission(JobId(name), queue, AccountId("a"), NOW, BatchSpec("", (step,)))
        job = BatchJob(submission, 2)
        self.candidates.append(Candidate(job, queue))
        return job

    def occupy(self, workers: slice, resources: Resources, *, long_running: bool = False) -> None:
        """Let tasks of another job run on workers, from before ``NOW``."""
        names = list(self.fleet.workers)[workers]
        step = StepSpec(len(names), resources, 60.0, long_running=long_running)
        job = self.add("other", step)
        placements = [
            (task.key, name, 1) for task, name in zip(job.group(0, 0), names, strict=True)
        ]
        for run, name in zip(job.assign(placements, NOW - 1.0), names, strict=True):
            self.fleet.workers[name].allocate(run, step)

    def start(self, start: GroupStart, now: float) -> None:
        runs = start.job.assign(start.placements, now)
        for run, (key, name, _) in zip(runs, start.placements, strict=True):
            self.fleet.workers[name].allocate(run, start.job.step_of(key))

    def waits(self, seconds: float = 30.0) -> dict[str, float]:
        """Play rounds and return by job the seconds after which its first task started."""
        found: dict[str, float] = {}
        now = NOW
        while now <= NOW + seconds:
            plan = DeadlinePolicy(TIMING).plan(self.candidates, self.fleet, now)
            self.assertEqual(plan.errors, {})
            for start in plan.starts:
                found.setdefault(start.job.job_id, now - NOW)
                self.start(start, now)
            for run in plan.preemptions:
                self.end(run)
            now += ROUND_INTERVAL_SECONDS
        return found

    def end(self, run: RunId) -> None:
        for worker in self.fleet.workers.values():
            worker.release(run)
        for item in self.candidates:
            if item.job.job_id == run.job:
                item.job.release(run.task, run.number)

    def test_gang_whose_racks_are_all_in_use(self) -> None:
        """Guards against a gang that waits for a whole rack for several times its run time."""
        for workers in FLEETS:
            with self.subTest(workers=workers):
                self.set_up_fleet(workers)
                self.occupy(slice(0, None, WORKERS_PER_RACK), WHOLE_WORKER)
                self.add("gang", StepSpec(8, WHOLE_WORKER, 10.0, gang=True, same_rack=True))
                self.assertLess(self.waits().get("gang", 99.0), MAX_WAIT_SECONDS)

    def test_job_whose_data_is_on_a_rack_in_use(self) -> None:
        """Guards against tasks that wait for the rack of their data beside idle workers."""
        for gang in (False, True):
            with self.subTest(gang=gang):
                self.set_up_fleet(24)
                self.occupy(slice(0, WORKERS_PER_RACK), WHOLE_WORKER)
                step = StepSpec(4, SMALL, 10.0, gang=gang, data_rack=RackId("r0"))
                self.add("job", step)
                self.assertLess(self.waits().get("job", 99.0), MAX_WAIT_SECONDS)

    def test_jobs_behind_a_gang_that_cannot_start(self) -> None:
        """Guards against idle workers that are held for a gang which needs all of them."""
        for workers in FLEETS:
            with self.subTest(workers=workers):
                self.set_up_fleet(workers)
                self.occupy(slice(0, 1), SMALL, long_running=True)
                self.add("gang", StepSpec(workers, WHOLE_WORKER, 10.0, gang=True))
                for number in range(6):
                    self.add(f"small{number}", StepSpec(1, SMALL, 30.0))
                waits = self.waits()
                self.assertNotIn("gang", waits)
                for number in range(6):
                    self.assertLess(waits.get(f"small{number}", 99.0), MAX_WAIT_SECONDS)

    def test_jobs_behind_a_gang_while_workers_are_avoided(self) -> None:
        """Guards against a gang that waits because others failed on a part of the fleet."""
        self.occupy(slice(0, 1), SMALL, long_running=True)
        for worker in list(self.fleet.workers.values())[-10:]:
            worker.avoided_until = NOW + 100.0
        self.add("blocked", StepSpec(14, WHOLE_WORKER, 1.0, gang=True))
        self.add("gang", StepSpec(8, WHOLE_WORKER, 30.0, gang=True))
        self.assertLess(self.waits().get("gang", 99.0), MAX_WAIT_SECONDS)

    def test_local_placement_in_a_busy_fleet(self) -> None:
        """Guards against slow placements where the rack of the data is likely to become free."""
        self.occupy(slice(0, 18), WHOLE_WORKER)
        self.add("job", StepSpec(2, SMALL, 10.0, data_rack=RackId("r0")))
        self.assertGreater(self.waits(8.0).get("job", 99.0), 8.0)

    def test_local_placement_that_is_free_soon(self) -> None:
        """Guards against slow placements while a short wait makes a local one possible."""
        self.occupy(slice(0, WORKERS_PER_RACK), WHOLE_WORKER)
        self.add("job", StepSpec(2, SMALL, 10.0, data_rack=RackId("r0")))
        self.assertNotIn("job", self.waits(1.5))

    def test_reservation_in_a_busy_fleet(self) -> None:
        """Guards against small jobs that keep a gang from ever starting under full load."""
        self.occupy(slice(0, 16), WHOLE_WORKER)
        self.add("gang", StepSpec(16, WHOLE_WORKER, 10.0, gang=True))
        for number in range(6):
            self.add(f"small{number}", StepSpec(1, SMALL, 30.0))
        self.assertEqual(self.waits(8.0), {})

    def test_urgent_gang_beside_waiting_jobs(self) -> None:
        """Guards against jobs that take the workers for which an urgent gang stops others."""
        for workers in FLEETS:
            with self.subTest(workers=workers):
                self.set_up_fleet(workers)
                self.occupy(slice(0, None, 4), SMALL)
                self.add("gang", StepSpec(workers, WHOLE_WORKER, 10.0, gang=True), URGENT)
                for number in range(6):
                    self.add(f"small{number}", StepSpec(1, SMALL, 30.0))
                self.assertLessEqual(self.waits(2.0).get("gang", 99.0), ROUND_INTERVAL_SECONDS)


if __name__ == "__main__":
    unittest.main()
