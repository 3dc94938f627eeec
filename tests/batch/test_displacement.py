"""Selection of runs to stop because their tasks finish sooner on another worker."""

from __future__ import annotations

import unittest
from dataclasses import replace

from chivefall.batch import (
    NO_CHECKPOINT,
    BatchJob,
    BatchSpec,
    BatchTiming,
    DisplacementReason,
    Fleet,
    Queue,
    QueueId,
    Resources,
    RunId,
    StepSpec,
    Submission,
    TaskState,
    Worker,
    find_displacements,
)
from chivefall.config import PlatformBounds
from chivefall.model import AccountId, JobId, ServiceId
from standins.run_workers import make_worker_entry

START = 100.0
REPORT_INTERVAL_SECONDS = 0.75

TIMING = BatchTiming.from_bounds(PlatformBounds())


def running_job(workers: list[str], **fields) -> BatchJob:
    """Return a job with one running task on each worker."""
    step = StepSpec(len(workers), Resources(1000, 100, 1), fields.pop("run_time", 4.0), **fields)
    spec = BatchSpec("", (step,))
    queue = Queue(QueueId("q"), "h", "/q/", ServiceId("pool"))
    job = BatchJob(Submission(JobId("a1"), queue, AccountId("a"), START, spec), 2)
    placements = [(task.key, name, 1) for task, name in zip(job.group(0, 0), workers, strict=True)]
    job.assign(placements, START)
    for task in job.group(0, 0):
        job.confirm_running(task.key, task.last_run_number, START)
    return job


def report(job: BatchJob, progress: list[float], now: float) -> None:
    """Report the progress of all tasks."""
    for task, value in zip(job.group(0, 0), progress, strict=True):
        job.record_progress(
            RunId(job.job_id, task.key, task.last_run_number), NO_CHECKPOINT, value, now
        )


def report_steadily(job: BatchJob, progress: list[float], until: float) -> None:
    """Report the same progress of all tasks at the interval of polls, up to a time."""
    now = max(task.reported_at for task in job.group(0, 0))
    while now < until:
        now = min(until, now + REPORT_INTERVAL_SECONDS)
        report(job, progress, now)


def fleet_of(*names: str) -> Fleet:
    """Return a fleet of ready workers."""
    fleet = Fleet()
    for name in names:
        fleet.workers[name] = Worker(make_worker_entry(name), synced=True)
    return fleet


class FindDisplacements(unittest.TestCase):
    def setUp(self) -> None:
        self.names = ["w0", "w1", "w2"]
        self.fleet = fleet_of(*self.names)

    def find(self, job: BatchJob, now: float) -> dict[str, DisplacementReason]:
        return {
            item.worker: item.reason for item in find_displacements([job], self.fleet, now, TIMING)
        }

    def test_run_without_progress_is_stalled(self) -> None:
        """Guards against tasks that never finish because their run makes no progress."""
        job = running_job(self.names)
        for now, progress in (
            (101.0, [0.2, 0.2, 0.2]),
            (102.0, [0.4, 0.2, 0.4]),
            (102.9, [0.6, 0.2, 0.6]),
        ):
            report(job, progress, now)
        self.assertEqual(self.find(job, 102.9), {"w1": DisplacementReason.STALLED})

    def test_missing_reports_do_not_count_as_a_stall(self) -> None:
        """Guards against stopping runs because no reports arrived from their worker."""
        job = running_job(self.names)
        report(job, [0.2, 0.2, 0.2], 101.0)
        self.assertEqual(self.find(job, 108.0), {})

    def test_finished_member_of_a_gang_is_not_stalled(self) -> None:
        """Guards against stopping gang members that are done and wait for the others."""
        job = running_job(self.names, gang=True)
        for now, progress in (
            (102.0, [1.0, 0.5, 0.5]),
            (103.0, [1.0, 0.7, 0.7]),
            (104.0, [1.0, 0.9, 0.9]),
        ):
            report(job, progress, now)
        self.assertEqual(self.find(job, 104.0), {})

    def test_run_that_does_not_end_at_full_progress_is_stalled(self) -> None:
        """Guards against a job that never completes (soak, seed 100)."""
        for gang in (False, True):
            with self.subTest(gang=gang):
                job = running_job(self.names, gang=gang)
                for now in (104.0, 104.6, 105.2, 105.8):
                    report(job, [1.0, 1.0, 1.0], now)
                self.assertIs(self.find(job, 105.8)["w0"], DisplacementReason.STALLED)

    def test_repeated_stalls_are_stopped_after_a_longer_time_limit(self) -> None:
        """Guards against ignoring the stalls of a task after several runs."""
        job = running_job(self.names)
        for task in job.group(0, 0):
            task.last_run_number = 6
            task.assignment = replace(task.assignment, number=6)
        report(job, [0.2, 0.2, 0.2], 101.0)
        for until, value, expected in ((103.0, 0.4, {}), (109.0, 0.6, {"w1"})):
            report_steadily(job, [value, 0.2, value], until)
            self.assertEqual(set(self.find(job, until)), set(expected))

    def test_silent_worker_is_not_stalled(self) -> None:
        """Guards against stopping the runs of workers that were silent for some seconds.

        The first report afterwards may show the progress from before the silence.
        """
        job = running_job(self.names)
        report(job, [0.2, 0.2, 0.2], 101.0)
        report(job, [0.6, 0.2, 0.6], 106.0)
        self.assertEqual(self.find(job, 106.0), {})
        report_steadily(job, [0.8, 0.2, 0.8], 107.0)
        self.assertEqual(self.find(job, 107.0), {"w1": DisplacementReason.STALLED})

    def test_run_of_an_hour_is_not_stalled(self) -> None:
        """Guards against stopping long runs, whose progress in percent changes once in 36 s."""
        job = running_job(["w0"], run_time=3600.0)
        for percent in range(1, 4):
            report_steadily(job, [percent / 100], START + 36.0 * percent + 35.0)
            self.assertEqual(self.find(job, START + 36.0 * percent + 35.0), {})
        report_steadily(job, [0.04], START + 700.0)
        self.assertEqual(self.find(job, START + 700.0), {"w0": DisplacementReason.STALLED})

    def test_gang_whose_last_member_starts_late(self) -> None:
        """Guards against stopping a gang at its start, since a lost start is repeated."""
        job = running_job(self.names, gang=True)
        late = job.group(0, 0)[2]
        late.state = TaskState.ASSIGNED
        report_steadily(job, [0.0, 0.0, 0.0], START + 2.5)
        job.confirm_running(late.key, late.last_run_number, START + 2.5)
        self.assertEqual(self.find(job, START + 2.5), {})

    def test_one_large_task_of_a_step_is_not_slow(self) -> None:
        """Guards against stopping long tasks; tasks of one step differ by up to a factor of 2."""
        job = running_job(self.names)
        report(job, [0.5, 0.24, 0.5], 102.0)
        self.assertEqual(self.find(job, 102.0), {})

    def test_runs_on_a_slow_worker_are_moved(self) -> None:
        """Guards against steps that are held up by one slow worker."""
        job = running_job(["w0", "w1", "w1", "w2"])
        report(job, [0.5, 0.1, 0.11, 0.5], 102.0)
        self.assertEqual(self.find(job, 102.0), {"w1": DisplacementReason.SLOW})

    def test_run_that_is_nearly_done_stays_on_a_slow_worker(self) -> None:
        """Guards against restarting a run that would finish sooner if left alone."""
        job = running_job(["w0", "w1", "w1", "w2"])
        report(job, [0.99, 0.9, 0.9, 0.99], 104.0)
        self.assertEqual(self.find(job, 104.0), {})

    def test_run_that_cannot_end_before_its_worker_exits_is_moved_at_once(self) -> None:
        """Guards against losing work when a draining worker exits."""
        job = running_job(self.names)
        report(job, [0.25, 0.25, 0.25], 101.0)
        self.fleet.workers["w2"].earliest_exit = 103.0
        self.assertEqual(self.find(job, 101.0), {"w2": DisplacementReason.LEAVING})
        self.fleet.workers["w2"].earliest_exit = 105.0
        self.assertEqual(self.find(job, 101.0), {})


if __name__ == "__main__":
    unittest.main()
