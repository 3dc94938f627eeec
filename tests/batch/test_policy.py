"""Decisions of scheduling rounds under typical load patterns."""

from __future__ import annotations

import unittest

from chivefall.batch import (
    BatchJob,
    BatchSpec,
    BatchTiming,
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
from chivefall.config import PlatformBounds
from chivefall.model import AccountId, JobId, ServiceId
from standins.run_workers import make_worker_entry

NOW = 1000.0
SERVICE = ServiceId("pool")
URGENT = Queue(QueueId("urgent"), "h", "/u/", SERVICE, 0, 2, 1.5, 0.25)
NORMAL = Queue(QueueId("normal"), "h", "/n/", SERVICE, 1, 2, 3.0, 1.0)
LARGE = Resources(13_000, 68_000, 2)  # more than half of a worker's memory
SMALL = Resources(3000, 8000, 1)

TIMING = BatchTiming.from_bounds(PlatformBounds())


class PreemptedTasksTest(unittest.TestCase):
    """Load: bursts of urgent gangs every second or two over long work without checkpoints."""

    def job(self, **fields) -> BatchJob:
        step = StepSpec(1, Resources(1000, 1000, 8), 6.0, **fields)
        submission = Submission(JobId("a1"), NORMAL, AccountId("a"), NOW, BatchSpec("", (step,)))
        return BatchJob(submission, 2)

    def starts(self, job: BatchJob, now: float, busy_workers: int = 3) -> int:
        """Return the number of started groups with one free worker beside busy ones."""
        fleet = Fleet()
        fleet.workers["w"] = Worker(make_worker_entry("w"), synced=True)
        for number in range(busy_workers):
            worker = Worker(make_worker_entry(f"busy-{number}"), synced=True)
            worker.allocate(
                RunId(JobId("b"), job.group(0, 0)[0].key, number), StepSpec(1, worker.free)
            )
            fleet.workers[f"busy-{number}"] = worker
        return len(DeadlinePolicy(TIMING).plan([Candidate(job, NORMAL)], fleet, now).starts)

    def preempt(self, job: BatchJob, now: float) -> None:
        task = job.group(0, 0)[0]
        (run,) = job.assign([(task.key, "w", 1)], now - 1.0)
        job.record_preemption(run, now)
        job.release(task.key, run.number)

    def test_restart_waits_for_the_end_of_the_burst(self) -> None:
        """Guards against tasks that are started and stopped again and again in a burst."""
        job = self.job()
        self.preempt(job, NOW)
        self.assertEqual((self.starts(job, NOW + 1.4), self.starts(job, NOW + 1.6)), (0, 1))
        self.preempt(job, NOW + 2.0)
        self.assertEqual((self.starts(job, NOW + 4.4), self.starts(job, NOW + 4.6)), (0, 1))
        for _ in range(5):
            self.preempt(job, NOW + 10.0)
        self.assertEqual((self.starts(job, NOW + 12.4), self.starts(job, NOW + 12.6)), (0, 1))

    def test_no_wait_while_the_fleet_is_idle(self) -> None:
        """Guards against a task that waits beside idle workers after the burst."""
        job = self.job()
        self.preempt(job, NOW)
        self.assertEqual(self.starts(job, NOW + 0.1, busy_workers=1), 1)

    def test_tasks_with_checkpoints_restart_at_once(self) -> None:
        """Guards against idle workers while work that loses nothing could go on."""
        job = self.job(checkpointed=True)
        self.preempt(job, NOW)
        self.assertEqual(self.starts(job, NOW + 0.1), 1)


class RoundTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        for rack in ("r1", "r2"):
            for number in range(4):
                name = f"{rack}-{number}"
                self.fleet.workers[name] = Worker(make_worker_entry(name, rack=rack), synced=True)
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

    def test_priority_decides_among_work_that_is_not_urgent(self) -> None:
        """Guards against large gangs that wait while work of a lower priority takes all workers.

        Load: more gangs than fit, with small jobs of a lower priority that are due earlier.
        """
        last = Queue(QueueId("last"), "h", "/l/", SERVICE, 2, 2, 1.0, 0.0)
        whole = Resources(32_000, 1000, 8)
        self.add("gang", StepSpec(6, whole, 8.0, gang=True), NORMAL)
        self.add("small", StepSpec(4, whole, 1.0), last, age=0.5)
        starts = {item.job.job_id: len(item.placements) for item in self.plan().starts}
        self.assertEqual(starts, {"gang": 6, "small": 2})

    def test_work_that_is_too_late_comes_last(self) -> None:
        """Guards against work in time that waits for work of a higher priority without value."""
        last = Queue(QueueId("last"), "h", "/l/", SERVICE, 2, 2, 1.0, 5.0)
        whole = Resources(32_000, 1000, 8)
        self.add("late", StepSpec(8, whole, 1.0), NORMAL, age=60.0)
        self.add("small", StepSpec(4, whole, 1.0), last, age=0.5)
        starts = {item.job.job_id: len(item.placements) for item in self.plan().starts}
        self.assertEqual(starts, {"small": 4, "late": 4})

    def occupy(self, job: BatchJob, names: list[str], age: float = 1.0) -> None:
        """Run tasks of a job, one for each entry of ``names``, which may repeat a worker."""
        tasks = [task for task in job.group(0, 0) if task.assignment is None]
        placements = [(task.key, name, 1) for task, name in zip(tasks, names, strict=False)]
        for run, (key, name, _) in zip(job.assign(placements, NOW - age), placements, strict=True):
            step = job.step_of(key)
            self.fleet.workers[name].allocate(run, step)
            job.confirm_running(key, run.number, NOW - age)

    def plan(self, now: float = NOW) -> Plan:
        return DeadlinePolicy(TIMING).plan(self.candidates, self.fleet, now, self.guarantees)

    def started(self, plan: Plan, name: str) -> list[str]:
        return [
            worker
            for item in plan.starts
            if item.job.job_id == name
            for _, worker, _ in item.placements
        ]

    def test_gang_takes_one_rack(self) -> None:
        """Guards against spreading a gang over racks although it fits on one."""
        self.add("a", StepSpec(4, LARGE, 5.0, gang=True, same_rack=True))
        racks = {name.partition("-")[0] for name in self.started(self.plan(), "a")}
        self.assertEqual(len(racks), 1)

    def test_gang_starts_completely_or_not_at_all(self) -> None:
        """Guards against starting a part of a gang, which holds resources while it waits."""
        self.add("a", StepSpec(9, LARGE, 5.0, gang=True))
        self.assertEqual(self.plan().starts, [])

    def test_stream_of_small_jobs_does_not_starve_a_large_gang(self) -> None:
        """Load: small tasks arrive constantly and take the resources that become free."""
        filler = self.add("filler", StepSpec(64, SMALL, 5.0))
        self.occupy(filler, [name for name in self.fleet.workers for _ in range(7)])
        self.add("gang", StepSpec(4, LARGE, 5.0, gang=True, same_rack=True), age=20.0)
        for number in range(8):
            self.add(f"small-{number}", StepSpec(2, SMALL, 5.0))
        plan = self.plan()
        filled = {name.partition("-")[0] for item in plan.starts for _, name, _ in item.placements}
        self.assertLess(
            len(filled), 2, "tasks were placed on the rack that is reserved for the gang"
        )

    def test_urgent_task_preempts_the_run_that_loses_least_work(self) -> None:
        """Load: urgent work arrives while long tasks fill every worker."""
        for name in self.fleet.workers:
            job = self.add(f"old-{name}", StepSpec(1, LARGE, 30.0))
            self.occupy(job, [name], age=20.0 if name != "r2-3" else 2.0)
        self.add("urgent", StepSpec(1, LARGE, 2.0), URGENT)
        plan = self.plan()
        self.assertEqual([run.job for run in plan.preemptions], ["old-r2-3"])

    def test_small_urgent_task_does_not_preempt_a_long_running_gang(self) -> None:
        """Load: single urgent tasks arrive while gangs without checkpoints have run for long."""
        gang = self.add("gang", StepSpec(8, LARGE, 30.0, gang=True))
        self.occupy(gang, list(self.fleet.workers), age=25.0)
        self.add("urgent", StepSpec(1, LARGE, 2.0), URGENT)
        self.assertEqual(self.plan().preemptions, [])
        # A guaranteed task preempts at any cost once its wait limit has passed.
        self.guarantees = {AccountId("a"): 8}
        self.assertEqual(len(self.plan(NOW + 1.1).preemptions), 8)

    def test_only_runs_whose_resources_are_needed_are_preempted(self) -> None:
        """Load: urgent tasks that need whole workers arrive while every worker runs small tasks.

        Guards against preempting runs on many workers without emptying any of them.
        """
        filler = self.add("filler", StepSpec(16, SMALL, 30.0))
        self.occupy(filler, [name for name in self.fleet.workers for _ in range(2)])
        whole_worker = Resources(3000, 20_000, 8)
        self.add("urgent", StepSpec(2, whole_worker, 2.0, gang=True, same_rack=True), URGENT)
        stopped = {filler.task(run.task).assignment.worker for run in self.plan().preemptions}
        self.assertEqual(len(stopped), 2)
        self.assertEqual(len(self.plan().preemptions), 4)

    def test_guaranteed_task_preempts_urgent_runs_beyond_a_guarantee(self) -> None:
        """Load: one account floods the urgent queue while another account uses its guarantee."""
        self.guarantees = {AccountId("b"): 8}
        for name in self.fleet.workers:
            self.occupy(self.add(f"old-{name}", StepSpec(1, LARGE, 30.0), URGENT), [name])
        step = StepSpec(1, LARGE, 2.0)
        self.add("own", step, URGENT, account="b")
        # Urgent runs are short, so resources often become free without preemption.
        self.assertEqual(self.plan().preemptions, [])
        self.assertEqual(len(self.plan(NOW + 1.1).preemptions), 1)
        self.candidates.pop()
        self.add("beyond", step, URGENT)
        self.assertEqual(self.plan(NOW + 1.1).preemptions, [])

    def test_guaranteed_gang_spreads_over_racks_after_a_wait(self) -> None:
        """Load: guaranteed gangs arrive while each rack has guaranteed runs, never preempted."""
        self.guarantees = {AccountId("a"): 64, AccountId("b"): 64}
        for rack in ("r1", "r2"):
            old = self.add(f"old-{rack}", StepSpec(2, LARGE, 30.0), URGENT, age=5.0)
            self.occupy(old, [f"{rack}-0", f"{rack}-1"])
        gang = StepSpec(4, LARGE, 2.0, gang=True, same_rack=True)
        self.add("own", gang, URGENT, account="b")
        self.assertEqual(self.started(self.plan(NOW + 1.0), "own"), [])
        self.assertEqual(len(self.started(self.plan(NOW + 2.0), "own")), 4)

    def test_small_tasks_leave_workers_empty(self) -> None:
        """Load: scattered small jobs, followed by tasks that need all accelerators of a worker."""
        gang = self.add("a", StepSpec(2, SMALL, 5.0, gang=True))
        self.occupy(gang, ["r1-3", "r2-3"])
        self.add("b", StepSpec(2, SMALL, 5.0, gang=True))
        self.assertEqual(set(self.started(self.plan(), "b")) - {"r1-3", "r2-3"}, set())

    def test_round_counts_resources_of_runs_that_are_stopping(self) -> None:
        """Guards against preempting more runs while the preempted ones still end."""
        for name in self.fleet.workers:
            self.occupy(self.add(f"old-{name}", StepSpec(1, LARGE, 30.0)), [name])
        self.add("urgent", StepSpec(1, LARGE, 2.0), URGENT)
        first = self.plan()
        for run in first.preemptions:
            job = next(item.job for item in self.candidates if item.job.job_id == run.job)
            job.task(run.task).stopping = True
        self.assertEqual(len(first.preemptions), 1)
        self.assertEqual(self.plan().preemptions, [])

    def test_retry_avoids_workers_on_which_the_job_failed(self) -> None:
        """Load: some workers fail every run, and jobs have few attempts."""
        job = self.add("a", StepSpec(1, SMALL, 2.0))
        self.fail_on(job, "r1-2")
        self.assertEqual(self.started(self.plan(), "a"), ["r1-2"])

    def fail_on(self, job: BatchJob, *others: str, age: float = 0.0) -> None:
        """Let a run of a job have failed on all workers but ``others``."""
        for name in self.fleet.workers.keys() - set(others):
            job.record_failure(job.group(0, 0)[0].key, name, NOW - age)

    def test_gang_that_failed_on_most_workers(self) -> None:
        """Guards against a gang for which too few workers without a failed run are left."""
        job = self.add("a", StepSpec(3, Resources(32_000, 1000, 8), 2.0, gang=True))
        self.fail_on(job, "r1-2", "r2-2")
        self.assertEqual(len(self.started(self.plan(), "a")), 3)

    def test_step_that_failed_on_all_workers(self) -> None:
        """Guards against a job that no worker may run any more."""
        job = self.add("a", StepSpec(1, SMALL, 2.0))
        self.fail_on(job)
        self.assertEqual(len(self.started(self.plan(), "a")), 1)

    def test_failure_long_ago(self) -> None:
        """Guards against avoiding workers for a job's whole life because of one disturbance."""
        job = self.add("a", StepSpec(8, Resources(32_000, 1000, 8), 2.0, gang=True))
        self.fail_on(job, "r1-2", age=60.0)
        self.assertEqual(job.failed_workers(0, 0, NOW), set())
        self.assertEqual(len(self.started(self.plan(), "a")), 8)

    def test_failure_of_another_occurrence(self) -> None:
        """Guards against later times of a scheduled job that start on few workers or never."""
        steps = (StepSpec(3, Resources(32_000, 1000, 8), 2.0, gang=True),)
        spec = BatchSpec("", steps, repeat_count=2, first_run=NOW - 20.0, interval=10.0)
        job = BatchJob(Submission(JobId("a"), NORMAL, AccountId("a"), NOW - 20.0, spec), 2)
        self.fail_on(job, "r1-2")
        self.assertEqual(job.failed_workers(1, 0, NOW), set())

    def test_task_waits_for_the_rack_of_its_data(self) -> None:
        """Guards against a start away from the data, which makes the run three times as long."""
        filler = self.add("filler", StepSpec(4, LARGE, 5.0))
        self.occupy(filler, [name for name in self.fleet.workers if name.startswith("r1")])
        self.add("a", StepSpec(1, LARGE, 6.0, data_rack="r1"), age=60.0)
        # The wait counts from when the step became ready, not from the submission.
        self.assertEqual(self.started(self.plan(), "a"), [])
        later = self.plan(NOW + 13.0)
        self.assertEqual(len(self.started(later, "a")), 1)

    def test_limit_of_tasks_per_worker_includes_running_tasks(self) -> None:
        """Guards against a limit that counts only the tasks of one round."""
        job = self.add("a", StepSpec(16, SMALL, 5.0, max_per_worker=1))
        self.occupy(job, ["r1-0", "r1-1"])
        workers = self.started(self.plan(), "a")
        self.assertEqual(len(workers), 6)
        self.assertFalse({"r1-0", "r1-1"} & set(workers))

    def test_domain_out_of_service_is_not_used(self) -> None:
        """Guards G3: no start in a failure domain that operators took out of service."""
        self.fleet.domains_out_of_service = frozenset({"zarcero"})
        self.add("a", StepSpec(1, SMALL, 5.0))
        self.assertEqual(self.plan().starts, [])

    def test_capacity_is_never_exceeded(self) -> None:
        """Guards against placing two groups of one round on the same resources."""
        for number in range(20):
            self.add(f"a{number}", StepSpec(3, LARGE, 5.0, gang=True))
        used: dict[str, Resources] = {}
        for item in self.plan().starts:
            for key, name, _ in item.placements:
                needed = item.job.step_of(key).resources
                used[name] = used.get(name, Resources()) + needed
                run = RunId(item.job.job_id, key, RunNumber(1))
                self.assertTrue(run)
        for name, total in used.items():
            free = self.fleet.workers[name].entry.capacity - total
            self.assertGreaterEqual(min(free.cpu, free.memory, free.accelerators), 0)


if __name__ == "__main__":
    unittest.main()
