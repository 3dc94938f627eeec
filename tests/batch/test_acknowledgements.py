"""Acknowledgements of ends, which make a worker forget that a task is done."""

from __future__ import annotations

import unittest
from dataclasses import replace

from chivefall.batch import (
    NO_CHECKPOINT,
    BatchJob,
    BatchOperation,
    BatchSpec,
    EndKind,
    Incarnation,
    JobState,
    Resources,
    StepSpec,
    Submission,
    TaskKey,
    TaskState,
)
from chivefall.config import PlatformBounds
from chivefall.model import JobId, WorkerId
from chivefall.store import BatchPart, batch_key
from standins.run_history import repeated_runs, run_spans
from standins.run_workers import make_worker_entry
from tests.batch.deployment import ACCOUNT, NORMAL, Deployment

RESOURCES = Resources(4_000, 16_000, 1)
WHOLE_WORKER = Resources(32_000, 131_072, 8)
LONG_RUN_SECONDS = 2.0
SHORT_RUN_SECONDS = 0.2
SETTLE_SECONDS = 20.0
RETENTION_SECONDS = 3.5  # until a job is removed, with a status retention of 2 s
POLL_LATENCY_SECONDS = 0.5  # longer than a short run


class Acknowledgement(unittest.TestCase):
    def setUp(self) -> None:
        self.sut = Deployment(workers=1)
        self.set_run_seconds(LONG_RUN_SECONDS)
        # The leader has acknowledged ends of the first incarnation.
        self.sut.submit("a1", StepSpec(4, RESOURCES, LONG_RUN_SECONDS))
        self.sut.run(4.0)
        self.assertIs(self.sut.state_of("a1"), JobState.COMPLETED)

    def set_run_seconds(self, seconds: float) -> None:
        for worker in self.sut.workers.workers.values():
            worker.run_seconds = seconds

    def restart(self) -> None:
        """Restart the worker under its id; its entry still describes the former incarnation."""
        entry = self.sut.worker("w0").entry
        self.sut.workers.add(replace(entry, incarnation=Incarnation(entry.incarnation + 1)))
        self.set_run_seconds(SHORT_RUN_SECONDS)

    def check_runs_once(self) -> None:
        self.sut.list_worker(self.sut.worker("w0"))
        self.sut.run(SETTLE_SECONDS)
        self.assertEqual(list(repeated_runs(run_spans(self.sut.workers.histories()))), [])
        for task, starts in self.sut.workers.starts_of(JobId("b1")).items():
            self.assertEqual(len(starts), 1, task)
        self.assertIs(self.sut.state_of("b1"), JobState.COMPLETED)

    def test_end_in_the_next_incarnation_before_its_first_report(self) -> None:
        """Guards against an acknowledgement of ends of the incarnation before a restart.

        Sequences start anew, so the poll made the restarted worker forget an end that no
        report had listed, and the task ran again.
        """
        self.restart()
        self.sut.submit("b1", StepSpec(1, RESOURCES, SHORT_RUN_SECONDS))
        self.sut.leader.client.latency = POLL_LATENCY_SECONDS
        self.sut.run(2.0)
        self.sut.leader.client.latency = 0.0
        self.check_runs_once()

    def test_report_that_lists_only_some_ends(self) -> None:
        """Guards against taking a run for absent whose end is on a later page of the report."""
        self.sut.worker("w0").max_listed_ends = 2
        self.set_run_seconds(SHORT_RUN_SECONDS)
        self.sut.submit("b1", StepSpec(6, RESOURCES, SHORT_RUN_SECONDS))
        self.check_runs_once()


class AdoptedRuns(unittest.TestCase):
    def test_worker_that_restarted_before_a_takeover(self) -> None:
        """Guards against runs that a next leader neither releases nor starts again.

        The first poll shows the restart while the leader is still adopting the runs of the
        worker, if the client responds at once.
        """
        sut = Deployment(instances=2, workers=1)
        sut.worker("w0").run_seconds = LONG_RUN_SECONDS
        sut.submit("b1", StepSpec(3, RESOURCES, LONG_RUN_SECONDS))
        sut.run(0.5)
        entry = sut.worker("w0").entry
        sut.workers.add(replace(entry, incarnation=Incarnation(entry.incarnation + 1)))
        sut.leader.kill()
        sut.run(5.0)
        sut.list_worker(sut.worker("w0"))
        sut.run(SETTLE_SECONDS)
        self.assertIs(sut.state_of("b1", instance=sut.leader), JobState.COMPLETED)


class UnreadableRecord(unittest.TestCase):
    def test_end_while_the_record_cannot_be_read(self) -> None:
        """Guards against forgetting an end that this leader cannot record, but a later one could.

        Records may come from another version of the program.
        """
        sut = Deployment(instances=2, workers=1)
        sut.worker("w0").run_seconds = LONG_RUN_SECONDS
        sut.submit("b1", StepSpec(1, RESOURCES, LONG_RUN_SECONDS))
        sut.run(0.5)
        key = batch_key(JobId("b1"), BatchPart.PROGRESS)
        record = sut.state.get(key).value
        sut.leader.kill()
        sut.write(key, b"of another version")
        sut.run(2 * LONG_RUN_SECONDS + 2.0)
        sut.write(key, record)
        sut.leader.kill()
        sut.add_instance("i2")
        sut.run(SETTLE_SECONDS)
        self.assertEqual(list(repeated_runs(run_spans(sut.workers.histories()))), [])
        self.assertIs(sut.state_of("b1", instance=sut.leader), JobState.COMPLETED)


class RemovedJob(unittest.TestCase):
    def test_end_after_a_removal_whose_reply_was_lost(self) -> None:
        """Guards against a write for a removed job that fails for good and blocks all others."""
        sut = Deployment(workers=2, bounds=PlatformBounds(status_retention=2.0))
        for worker in sut.workers.workers.values():
            worker.run_seconds = LONG_RUN_SECONDS
        sut.submit("b1", StepSpec(1, WHOLE_WORKER, LONG_RUN_SECONDS))
        sut.run(0.5)
        # Another worker responds at the address of w0, so that its run is released.
        sut.leader.client.misdirected.add("w0")
        sut.delete("servers/w0")
        sut.run(1.0)
        sut.call(BatchOperation.CANCEL, "/normal/b1")
        sut.run(1.0)
        sut.leader.store.lose_replies = 1
        sut.run(RETENTION_SECONDS)
        self.assertIsNone(sut.state.get(batch_key(JobId("b1"), BatchPart.PROGRESS)))
        sut.leader.client.misdirected.clear()
        sut.list_worker(sut.worker("w0"))
        sut.run(1.0)
        sut.submit("b2", StepSpec(1, RESOURCES, LONG_RUN_SECONDS))
        sut.run(2 * LONG_RUN_SECONDS)
        self.assertIs(sut.state_of("b2"), JobState.COMPLETED)


class EndOfReleasedRun(unittest.TestCase):
    """A worker reports the end of a run that the leader had released."""

    def setUp(self) -> None:
        self.sut = Deployment(workers=2)
        self.set_run_seconds("w0", LONG_RUN_SECONDS)
        self.set_run_seconds("w1", 4 * LONG_RUN_SECONDS)

    def set_run_seconds(self, name: str, seconds: float) -> None:
        self.sut.worker(name).run_seconds = seconds

    def submit(self, **fields) -> None:
        self.sut.submit("b1", StepSpec(2, WHOLE_WORKER, 4 * LONG_RUN_SECONDS, **fields))
        self.sut.run(0.5)

    def release_run(self) -> None:
        """Let another worker answer at the address of w0, so that its run is released."""
        self.sut.leader.client.misdirected.add("w0")
        self.sut.delete("servers/w0")
        self.sut.run(1.0)

    def return_worker(self) -> None:
        self.sut.leader.client.misdirected.clear()
        self.sut.list_worker(self.sut.worker("w0"))

    def starts(self) -> list[int]:
        """Return the number of starts of each task."""
        return [len(rows) for rows in self.sut.workers.starts_of(JobId("b1")).values()]

    def check_completed(self) -> None:
        self.sut.run(SETTLE_SECONDS)
        self.assertIs(self.sut.state_of("b1", instance=self.sut.leader), JobState.COMPLETED)

    def test_task_that_waits_for_its_next_run(self) -> None:
        """Guards against starting a task again whose released run has ended as done."""
        self.submit()
        self.release_run()
        self.sut.run(1.0)
        self.return_worker()
        self.check_completed()
        self.assertEqual(self.starts(), [1, 1])

    def test_task_that_waits_after_a_takeover(self) -> None:
        """Guards against a next leader that does not record the end of a released run."""
        self.sut.add_instance("i1")
        self.sut.run(2.0)
        self.submit()
        self.release_run()
        self.sut.leader.kill()
        self.sut.run(5.0)
        self.return_worker()
        self.check_completed()
        self.assertEqual(self.starts(), [1, 1])

    def test_later_run_is_stopped(self) -> None:
        """Guards against working to the end on a task that is done."""
        self.submit()
        self.set_run_seconds("w1", 4 * LONG_RUN_SECONDS)
        self.sut.add_worker(make_worker_entry("w2"))
        self.set_run_seconds("w2", 10 * LONG_RUN_SECONDS)
        self.release_run()
        self.assertEqual(self.starts(), [2, 1])
        self.sut.run(1.0)
        self.return_worker()
        self.sut.run(1.0)
        self.assertEqual(
            [kind for _, kind, _ in self.sut.worker("w2").history], ["start", "stopped", "noted"]
        )
        self.check_completed()
        self.assertEqual(self.starts(), [2, 1])

    def test_later_run_of_a_gang_is_stopped(self) -> None:
        """Guards against the same for a gang, which is done as a whole."""
        self.set_run_seconds("w1", LONG_RUN_SECONDS)
        self.submit(gang=True)
        self.sut.leader.client.misdirected |= {"w0", "w1"}
        for name in ("w0", "w1"):
            self.sut.delete(f"servers/{name}")
        for name in ("w2", "w3"):
            self.sut.add_worker(make_worker_entry(name))
            self.set_run_seconds(name, 10 * LONG_RUN_SECONDS)
        self.sut.run(2.0)
        self.assertEqual(self.starts(), [2, 2])
        self.return_worker()
        self.sut.run(1.0)
        for name in ("w2", "w3"):
            kinds = [kind for _, kind, _ in self.sut.worker(name).history]
            self.assertEqual(kinds, ["start", "stopped", "noted"])
        self.check_completed()

    def test_failure_of_a_later_run(self) -> None:
        """Guards against a job that fails by a run of a task that is already done."""
        job = BatchJob(submission(StepSpec(1, RESOURCES, LONG_RUN_SECONDS)), max_attempts=1)
        key = TaskKey(0, 0, 0)
        (first,) = job.assign([(key, WorkerId("w0"), Incarnation(1))], 0.0)
        job.release(key, first.number)
        (second,) = job.assign([(key, WorkerId("w1"), Incarnation(1))], 1.0)
        self.assertTrue(job.end_run(first, EndKind.DONE, NO_CHECKPOINT, 2.0))
        self.assertEqual(job.superfluous_runs(key), [second])
        job.end_run(second, EndKind.FAILED, NO_CHECKPOINT, 3.0)
        self.assertIs(job.state, JobState.COMPLETED)
        self.assertEqual(job.active_tasks(), [])

    def test_long_running_task_is_never_done(self) -> None:
        """Guards against a long-running task that is not restarted after a late end."""
        step = StepSpec(1, RESOURCES, LONG_RUN_SECONDS, long_running=True)
        job = BatchJob(submission(step), max_attempts=1)
        key = TaskKey(0, 0, 0)
        (first,) = job.assign([(key, WorkerId("w0"), Incarnation(1))], 0.0)
        job.release(key, first.number)
        self.assertFalse(job.end_run(first, EndKind.DONE, NO_CHECKPOINT, 2.0))
        self.assertIs(job.task(key).state, TaskState.WAITING)


def submission(step: StepSpec) -> Submission:
    """Return the submission of a job with one step."""
    return Submission(JobId("b1"), NORMAL, ACCOUNT.name, 0.0, BatchSpec("payload", (step,)))


if __name__ == "__main__":
    unittest.main()
