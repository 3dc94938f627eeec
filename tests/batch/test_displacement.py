"""Which runs are stopped because their tasks do better on another worker."""

from __future__ import annotations

import unittest
from dataclasses import replace

from chivefall.batch import (
    NO_CHECKPOINT,
    BatchJob,
    BatchSpec,
    DisplacementReason,
    Fleet,
    Queue,
    QueueId,
    Resources,
    RunId,
    StepSpec,
    Submission,
    Worker,
    find_displacements,
)
from chivefall.model import AccountId, JobId, ServiceId
from standins.run_workers import entry_of

START = 100.0


def running_job(workers: list[str], **fields) -> BatchJob:
    """Return a job with one running task on each worker."""
    step = StepSpec(len(workers), Resources(1000, 100, 1), 4.0, **fields)
    spec = BatchSpec("", (step,))
    queue = Queue(QueueId("q"), "h", "/q/", ServiceId("pool"))
    job = BatchJob(Submission(JobId("a1"), queue, AccountId("a"), START, spec), 2)
    places = [(task.key, name, 1) for task, name in zip(job.group(0, 0), workers, strict=True)]
    job.assign(places, START)
    for task in job.group(0, 0):
        job.confirm_running(task.key, task.last_run_number, START)
    return job


def report(job: BatchJob, shares: list[float], now: float) -> None:
    """Note the progress of all tasks."""
    for task, share in zip(job.group(0, 0), shares, strict=True):
        job.record_progress(
            RunId(job.job_id, task.key, task.last_run_number), NO_CHECKPOINT, share, now
        )


def fleet_of(*names: str) -> Fleet:
    """Return a fleet of ready workers."""
    fleet = Fleet()
    for name in names:
        fleet.workers[name] = Worker(entry_of(name), synced=True)
    return fleet


class FindDisplacements(unittest.TestCase):
    def setUp(self) -> None:
        self.names = ["w0", "w1", "w2"]
        self.fleet = fleet_of(*self.names)

    def find(self, job: BatchJob, now: float) -> dict[str, DisplacementReason]:
        return {item.worker: item.reason for item in find_displacements([job], self.fleet, now)}

    def test_run_without_progress_is_stalled(self) -> None:
        """Guards against tasks that stand still until their caller gives up."""
        job = running_job(self.names)
        for now, shares in (
            (101.0, [0.2, 0.2, 0.2]),
            (102.0, [0.4, 0.2, 0.4]),
            (102.9, [0.6, 0.2, 0.6]),
        ):
            report(job, shares, now)
        self.assertEqual(self.find(job, 102.9), {"w1": DisplacementReason.STALLED})

    def test_missing_reports_are_no_stall(self) -> None:
        """Guards against stopping runs only because their worker was not heard."""
        job = running_job(self.names)
        report(job, [0.2, 0.2, 0.2], 101.0)
        self.assertEqual(self.find(job, 108.0), {})

    def test_member_of_a_gang_at_its_end_waits_for_the_others(self) -> None:
        """Guards against a fault seen on a calm day: finished members were taken for stalled."""
        job = running_job(self.names, gang=True)
        for now, shares in (
            (102.0, [1.0, 0.5, 0.5]),
            (103.0, [1.0, 0.7, 0.7]),
            (104.0, [1.0, 0.9, 0.9]),
        ):
            report(job, shares, now)
        self.assertEqual(self.find(job, 104.0), {})

    def test_run_that_stands_still_at_its_end_is_stalled(self) -> None:
        """Guards against a fault of the soak (seed 100): such a job never completed."""
        for gang in (False, True):
            with self.subTest(gang=gang):
                job = running_job(self.names, gang=gang)
                report(job, [1.0, 1.0, 1.0], 104.0)
                report(job, [1.0, 1.0, 1.0], 105.8)
                self.assertIs(self.find(job, 105.8)["w0"], DisplacementReason.STALLED)

    def test_run_that_stalls_again_and_again_is_stopped_after_longer_waits(self) -> None:
        """Guards against a task that is left alone for good after some stalls."""
        job = running_job(self.names)
        for task in job.group(0, 0):
            task.last_run_number = 6
            task.assignment = replace(task.assignment, number=6)
        report(job, [0.2, 0.2, 0.2], 101.0)
        for now, share, expected in ((103.0, 0.4, {}), (109.0, 0.6, {"w1"})):
            report(job, [share, 0.2, share], now)
            self.assertEqual(set(self.find(job, now)), set(expected))

    def test_one_large_task_of_a_step_is_not_slow(self) -> None:
        """Guards against a fault seen on a calm day: tasks of one step differ by a factor of 2."""
        job = running_job(self.names)
        report(job, [0.5, 0.24, 0.5], 102.0)
        self.assertEqual(self.find(job, 102.0), {})

    def test_runs_on_a_slow_worker_move(self) -> None:
        """Guards against steps that wait for one worker that became slow."""
        job = running_job(["w0", "w1", "w1", "w2"])
        report(job, [0.5, 0.1, 0.11, 0.5], 102.0)
        self.assertEqual(self.find(job, 102.0), {"w1": DisplacementReason.SLOW})

    def test_run_that_is_nearly_done_stays_on_a_slow_worker(self) -> None:
        """Guards against throwing work away that a restart would repeat."""
        job = running_job(["w0", "w1", "w1", "w2"])
        report(job, [0.99, 0.9, 0.9, 0.99], 104.0)
        self.assertEqual(self.find(job, 104.0), {})

    def test_run_that_cannot_end_before_its_worker_leaves_moves_at_once(self) -> None:
        """Guards against work that is lost when a draining worker exits."""
        job = running_job(self.names)
        report(job, [0.25, 0.25, 0.25], 101.0)
        self.fleet.workers["w2"].earliest_exit = 103.0
        self.assertEqual(self.find(job, 101.0), {"w2": DisplacementReason.LEAVING})
        self.fleet.workers["w2"].earliest_exit = 105.0
        self.assertEqual(self.find(job, 101.0), {})


if __name__ == "__main__":
    unittest.main()
