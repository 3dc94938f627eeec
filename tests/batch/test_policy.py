"""Scheduling rounds under the load patterns that they answer."""

from __future__ import annotations

import unittest

from chivefall.batch import (
    BatchJob,
    BatchSpec,
    Candidate,
    DeadlinePolicy,
    Fleet,
    Plan,
    Queue,
    QueueId,
    Resources,
    RunId,
    RunNumber,
    StepSpec,
    Submission,
    Worker,
)
from chivefall.model import AccountId, JobId, ServiceId
from standins.run_workers import entry_of

NOW = 1000.0
SERVICE = ServiceId("pool")
URGENT = Queue(QueueId("urgent"), "h", "/u/", SERVICE, 0, 2, 1.5, 0.25)
NORMAL = Queue(QueueId("normal"), "h", "/n/", SERVICE, 1, 2, 3.0, 1.0)
LARGE = Resources(13_000, 68_000, 2)  # more than half of a worker's memory
SMALL = Resources(3000, 8000, 1)


class RoundTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        for rack in ("r1", "r2"):
            for number in range(4):
                name = f"{rack}-{number}"
                self.fleet.workers[name] = Worker(entry_of(name, rack=rack), synced=True)
        self.candidates: list[Candidate] = []
        self.guarantees: dict[AccountId, int] = {}

    def add(
        self,
        name: str,
        step: StepSpec,
        queue: Queue = NORMAL,
        age: float = 0.0,
        account: str = "a",
    ) -> BatchJob:
        spec = BatchSpec("", (step,))
        submission = Submission(JobId(name), queue, AccountId(account), NOW - age, spec)
        job = BatchJob(submission, 2)
        self.candidates.append(Candidate(job, queue))
        return job

    def occupy(self, job: BatchJob, names: list[str], age: float = 1.0) -> None:
        """Let tasks of a job run on workers, one on each entry of the list."""
        tasks = [task for task in job.group(0, 0) if task.assignment is None]
        places = [(task.key, name, 1) for task, name in zip(tasks, names, strict=False)]
        for run, (key, name, _) in zip(job.assign(places, NOW - age), places, strict=True):
            step = job.step_of(key)
            self.fleet.workers[name].allocate(run, step)
            job.confirm_running(key, run.number, NOW - age)

    def plan(self, now: float = NOW) -> Plan:
        return DeadlinePolicy().plan(self.candidates, self.fleet, now, self.guarantees)

    def started(self, plan: Plan, name: str) -> list[str]:
        return [
            worker
            for item in plan.starts
            if item.job.job_id == name
            for _, worker, _ in item.placements
        ]

    def test_gang_takes_one_rack(self) -> None:
        """Guards against a gang that is slow because it spans racks while one has room."""
        self.add("a", StepSpec(4, LARGE, 5.0, gang=True, same_rack=True))
        racks = {name.partition("-")[0] for name in self.started(self.plan(), "a")}
        self.assertEqual(len(racks), 1)

    def test_gang_starts_as_a_whole_or_not(self) -> None:
        """Guards against a part of a gang that holds room while it waits."""
        self.add("a", StepSpec(9, LARGE, 5.0, gang=True))
        self.assertEqual(self.plan().starts, [])

    def test_stream_of_small_jobs_does_not_starve_a_large_gang(self) -> None:
        """Load: small tasks come all the time and take what becomes free on each worker."""
        filler = self.add("filler", StepSpec(64, SMALL, 5.0))
        self.occupy(filler, [name for name in self.fleet.workers for _ in range(7)])
        self.add("gang", StepSpec(4, LARGE, 5.0, gang=True, same_rack=True), age=20.0)
        for number in range(8):
            self.add(f"small-{number}", StepSpec(2, SMALL, 5.0))
        plan = self.plan()
        filled = {name.partition("-")[0] for item in plan.starts for _, name, _ in item.placements}
        self.assertLess(len(filled), 2, "the rack that the gang waits for is filled again")

    def test_urgent_gang_stops_the_run_that_loses_least(self) -> None:
        """Load: urgent work arrives while long tasks fill every worker."""
        for name in self.fleet.workers:
            job = self.add(f"old-{name}", StepSpec(1, LARGE, 30.0))
            self.occupy(job, [name], age=20.0 if name != "r2-3" else 2.0)
        self.add("urgent", StepSpec(1, LARGE, 2.0), URGENT)
        plan = self.plan()
        self.assertEqual([run.job for run in plan.preemptions], ["old-r2-3"])

    def test_small_urgent_work_does_not_throw_a_long_gang_away(self) -> None:
        """Load: urgent single tasks meet gangs without checkpoints that ran for long."""
        gang = self.add("gang", StepSpec(8, LARGE, 30.0, gang=True))
        self.occupy(gang, list(self.fleet.workers), age=25.0)
        self.add("urgent", StepSpec(1, LARGE, 2.0), URGENT)
        self.assertEqual(self.plan().preemptions, [])
        # A guarantee holds at any price, after the wait that its bound allows.
        self.guarantees = {AccountId("a"): 8}
        self.assertEqual(len(self.plan(NOW + 1.1).preemptions), 8)

    def test_only_runs_whose_room_is_used_are_stopped(self) -> None:
        """Load: urgent tasks of whole workers meet small tasks on every worker.

        Guards against stops on many workers none of which becomes empty.
        """
        filler = self.add("filler", StepSpec(16, SMALL, 30.0))
        self.occupy(filler, [name for name in self.fleet.workers for _ in range(2)])
        whole = Resources(3000, 20_000, 8)
        self.add("urgent", StepSpec(2, whole, 2.0, gang=True, same_rack=True), URGENT)
        stopped = {filler.task(run.task).assignment.worker for run in self.plan().preemptions}
        self.assertEqual(len(stopped), 2)
        self.assertEqual(len(self.plan().preemptions), 4)

    def test_urgent_work_within_its_guarantee_stops_urgent_work_beyond_one(self) -> None:
        """Load: one account floods its urgent queue while another one needs its guarantee."""
        self.guarantees = {AccountId("b"): 8}
        for name in self.fleet.workers:
            self.occupy(self.add(f"old-{name}", StepSpec(1, LARGE, 30.0), URGENT), [name])
        step = StepSpec(1, LARGE, 2.0)
        self.add("own", step, URGENT, account="b")
        # Urgent work is short: room often comes free before it is worth stopping any.
        self.assertEqual(self.plan().preemptions, [])
        self.assertEqual(len(self.plan(NOW + 1.1).preemptions), 1)
        self.candidates.pop()
        self.add("beyond", step, URGENT)
        self.assertEqual(self.plan(NOW + 1.1).preemptions, [])

    def test_guaranteed_gang_spreads_before_its_bound(self) -> None:
        """Load: guaranteed gangs while every rack holds guaranteed work that may not be stopped."""
        self.guarantees = {AccountId("a"): 64, AccountId("b"): 64}
        for rack in ("r1", "r2"):
            old = self.add(f"old-{rack}", StepSpec(2, LARGE, 30.0), URGENT, age=5.0)
            self.occupy(old, [f"{rack}-0", f"{rack}-1"])
        gang = StepSpec(4, LARGE, 2.0, gang=True, same_rack=True)
        self.add("own", gang, URGENT, account="b")
        self.assertEqual(self.started(self.plan(NOW + 1.0), "own"), [])
        self.assertEqual(len(self.started(self.plan(NOW + 2.0), "own")), 4)

    def test_small_tasks_leave_whole_workers_free(self) -> None:
        """Load: scattered small jobs, then work that needs all accelerators of workers."""
        gang = self.add("a", StepSpec(2, SMALL, 5.0, gang=True))
        self.occupy(gang, ["r1-3", "r2-3"])
        self.add("b", StepSpec(2, SMALL, 5.0, gang=True))
        self.assertEqual(set(self.started(self.plan(), "b")) - {"r1-3", "r2-3"}, set())

    def test_room_that_is_about_to_come_free_is_not_made_twice(self) -> None:
        """Guards against a second round that stops more runs while the first ones still end."""
        for name in self.fleet.workers:
            self.occupy(self.add(f"old-{name}", StepSpec(1, LARGE, 30.0)), [name])
        self.add("urgent", StepSpec(1, LARGE, 2.0), URGENT)
        first = self.plan()
        for run in first.preemptions:
            job = next(item.job for item in self.candidates if item.job.job_id == run.job)
            job.task(run.task).stopping = True
        self.assertEqual(len(first.preemptions), 1)
        self.assertEqual(self.plan().preemptions, [])

    def test_retry_avoids_the_worker_that_failed_it(self) -> None:
        """Load: some workers fail everything they start, and attempts are few."""
        job = self.add("a", StepSpec(1, SMALL, 2.0))
        job.failed_on.update(name for name in self.fleet.workers if name != "r1-2")
        self.assertEqual(self.started(self.plan(), "a"), ["r1-2"])

    def test_task_waits_for_the_rack_of_its_data(self) -> None:
        """Guards against a start that takes three times as long as a short wait would."""
        filler = self.add("filler", StepSpec(4, LARGE, 5.0))
        self.occupy(filler, [name for name in self.fleet.workers if name.startswith("r1")])
        self.add("a", StepSpec(1, LARGE, 6.0, data_rack="r1"), age=60.0)
        # The wait counts from when the step could start, not from the submission.
        self.assertEqual(self.started(self.plan(), "a"), [])
        later = self.plan(NOW + 13.0)
        self.assertEqual(len(self.started(later, "a")), 1)

    def test_limit_of_tasks_on_one_worker_counts_running_ones(self) -> None:
        """Guards against a limit that holds within one round only."""
        job = self.add("a", StepSpec(16, SMALL, 5.0, max_per_worker=1))
        self.occupy(job, ["r1-0", "r1-1"])
        places = self.started(self.plan(), "a")
        self.assertEqual(len(places), 6)
        self.assertFalse({"r1-0", "r1-1"} & set(places))

    def test_domain_out_of_service_is_not_used(self) -> None:
        """Guards G3: no start in a domain that operators took out."""
        self.fleet.domains_out_of_service = frozenset({"zarcero"})
        self.add("a", StepSpec(1, SMALL, 5.0))
        self.assertEqual(self.plan().starts, [])

    def test_room_is_never_exceeded(self) -> None:
        """Guards against two groups of one round that take the same room."""
        for number in range(20):
            self.add(f"a{number}", StepSpec(3, LARGE, 5.0, gang=True))
        used: dict[str, Resources] = {}
        for item in self.plan().starts:
            for key, name, _ in item.placements:
                room = item.job.step_of(key).resources
                used[name] = used.get(name, Resources()) + room
                run = RunId(item.job.job_id, key, RunNumber(1))
                self.assertTrue(run)
        for name, room in used.items():
            free = self.fleet.workers[name].entry.capacity - room
            self.assertGreaterEqual(min(free.cpu, free.memory, free.accelerators), 0)


if __name__ == "__main__":
    unittest.main()
