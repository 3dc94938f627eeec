"""Acknowledgements of ends, which make a worker forget that a task is done."""

from __future__ import annotations

import itertools
import unittest
from dataclasses import replace

from chivefall.batch import (
    NO_CHECKPOINT,
    BatchJob,
    BatchSpec,
    EndKind,
    EndSequence,
    Incarnation,
    JobState,
    Resources,
    RunId,
    RunNumber,
    StepSpec,
    Submission,
    TaskKey,
    TaskState,
    encode_progress,
    restore_progress,
)
from chivefall.model import JobId, WorkerId
from chivefall.runtime import sleep
from chivefall.store import BATCH_JOBS_PREFIX, BatchPart, Listed, batch_key
from chivefall.telemetry import LogEvent
from chivefall.workers import RunEnd
from standins.run_history import repeated_runs, run_spans
from standins.run_workers import make_worker_entry
from tests.batch.deployment import ACCOUNT, NORMAL, Deployment, Instance
from tests.batch.test_odd_entries import LoggedEvents

RESOURCES = Resources(4_000, 16_000, 1)
WHOLE_WORKER = Resources(32_000, 131_072, 8)
LONG_RUN_SECONDS = 2.0
SHORT_RUN_SECONDS = 0.2
SETTLE_SECONDS = 20.0
MAX_POLLS_PER_SECOND = 10.0  # of a worker without runs
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

    def test_worker_that_closes_each_connection(self) -> None:
        """Guards against polls without pause of a worker that no acknowledgement can reach."""
        client = self.sut.leader.client
        polls = []
        renew = client.renew_leases

        async def renew_and_close(*args):
            polls.append(args)
            outcome = await renew(*args)
            client.connections.clear()
            return outcome

        client.renew_leases = renew_and_close
        self.sut.submit("b1", StepSpec(2, RESOURCES, SHORT_RUN_SECONDS))
        self.check_runs_once()
        self.assertLess(len(polls) / SETTLE_SECONDS, MAX_POLLS_PER_SECOND)


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
        self.assertEqual(job.superfluous_runs(first), [second])
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

    def test_failed_end(self) -> None:
        """Guards against a third run of a task that has failed twice, once after its release."""
        for name in ("w0", "w1"):
            self.sut.worker(name).fails = True
            self.set_run_seconds(name, LONG_RUN_SECONDS)
        self.sut.submit("b1", StepSpec(1, WHOLE_WORKER, LONG_RUN_SECONDS))
        self.sut.run(0.5)
        first, second = ("w0", "w1") if self.sut.worker("w0").running else ("w1", "w0")
        self.set_run_seconds(second, 4 * LONG_RUN_SECONDS)
        self.sut.leader.client.misdirected.add(first)
        self.sut.delete(f"servers/{first}")
        self.sut.run(LONG_RUN_SECONDS)
        self.sut.leader.client.misdirected.clear()
        self.sut.list_worker(self.sut.worker(first))
        self.sut.run(SETTLE_SECONDS)
        self.assertIs(self.sut.state_of("b1"), JobState.FAILED)
        self.assertEqual(self.starts(), [2])

    def test_failed_ends_that_are_reported_again(self) -> None:
        """Guards against an attempt that counts twice, in this leader or in the next."""
        for gang in (False, True):
            with self.subTest(gang=gang):
                self.check_failed_ends_count_once(gang=gang)

    def check_failed_ends_count_once(self, *, gang: bool) -> None:
        job_submission = submission(StepSpec(2, RESOURCES, LONG_RUN_SECONDS, gang=gang))
        job = BatchJob(job_submission, max_attempts=3)
        placements = [(TaskKey(0, 0, index), WorkerId("w0"), Incarnation(1)) for index in (0, 1)]
        released = job.assign(placements, 0.0)
        for run in released:
            job.release(run.task, run.number)
        current = job.assign(placements, 1.0)
        self.assertTrue(job.end_run(released[0], EndKind.FAILED, NO_CHECKPOINT, 2.0))
        job.end_run(current[0], EndKind.FAILED, NO_CHECKPOINT, 2.0)
        later = BatchJob(job_submission, max_attempts=3)
        restore_progress(later, encode_progress(job))
        for item in (job, later):
            self.assertFalse(item.end_run(released[0], EndKind.FAILED, NO_CHECKPOINT, 3.0))
            self.assertFalse(item.end_run(current[0], EndKind.FAILED, NO_CHECKPOINT, 3.0))
            # In a gang these are ends of the same two runs.
            item.end_run(released[1], EndKind.FAILED, NO_CHECKPOINT, 3.0)
            item.end_run(current[1], EndKind.FAILED, NO_CHECKPOINT, 3.0)
            self.assertIs(item.state, JobState.RUNNING)
            (third,) = item.assign(placements[:1], 4.0)
            item.end_run(third, EndKind.FAILED, NO_CHECKPOINT, 5.0)
            self.assertIs(item.state, JobState.FAILED)


class EndReportedAgain(unittest.TestCase):
    """A worker reports an end again while the write of its record is under way."""

    def test_new_session_during_the_write(self) -> None:
        """Guards against an end that is recorded and never acknowledged.

        Acknowledgements are cumulative, so it would hold back all later ends of the worker.
        """
        sut = Deployment(workers=1)
        sut.worker("w0").run_seconds = LONG_RUN_SECONDS
        leader = sut.leader
        sut.submit("b1", StepSpec(1, RESOURCES, LONG_RUN_SECONDS))
        sut.run(1.0)
        delay_progress_writes(leader, 3.0)
        sut.run(LONG_RUN_SECONDS - 0.9)
        self.assertTrue(sut.worker("w0").ends)
        leader.client.misdirected.add("w0")
        sut.run(1.2)
        leader.client.misdirected.clear()
        sut.list_worker(sut.worker("w0"))
        sut.run(6.0)
        self.assertIs(sut.state_of("b1"), JobState.COMPLETED)
        self.assertEqual(sut.worker("w0").ends, [])
        self.assertEqual([kind for _, kind, _ in sut.worker("w0").history].count("start"), 1)


class EndOfUnknownRun(unittest.TestCase):
    """A worker reports the end of a run of a job that the leader does not manage."""

    def setUp(self) -> None:
        self.sut = Deployment(workers=1)
        self.worker = self.sut.worker("w0")
        self.worker.run_seconds = LONG_RUN_SECONDS
        self.sut.submit("b1", StepSpec(1, RESOURCES, LONG_RUN_SECONDS))
        self.sut.run(LONG_RUN_SECONDS - 0.2)
        self.scheduler = self.sut.leader.application.scheduler

    def key(self, part: BatchPart) -> str:
        return batch_key(JobId("b1"), part)

    def change_leadership(self) -> None:
        """Let the next leadership begin after the run has ended."""
        self.sut.leader.application.leader.step_down("test")
        self.sut.run(6.0)
        self.assertFalse(self.worker.running)

    def check_completed(self) -> None:
        self.sut.run(SETTLE_SECONDS)
        self.assertIs(self.sut.state_of("b1"), JobState.COMPLETED)
        self.assertEqual(len(self.sut.workers.starts_of(JobId("b1"))[TaskKey(0, 0, 0)]), 1)
        self.assertEqual(self.worker.ends, [])

    def test_job_with_an_invalid_record(self) -> None:
        """Guards against a task that runs again once the record of its job is repaired."""
        record = self.sut.state.get(self.key(BatchPart.PROGRESS)).value
        self.sut.write(self.key(BatchPart.PROGRESS), b"{")
        self.change_leadership()
        self.assertEqual(self.worker.ends, [])
        self.assertIsNotNone(self.sut.state.get(self.key(BatchPart.ENDS)))
        # Later ends are acknowledged as well.
        self.sut.submit("b2", StepSpec(2, RESOURCES, LONG_RUN_SECONDS))
        self.sut.run(4.0)
        self.assertIs(self.sut.state_of("b2"), JobState.COMPLETED)
        self.assertEqual(self.worker.ends, [])
        self.sut.write(self.key(BatchPart.PROGRESS), record)
        self.change_leadership()
        self.check_completed()
        self.assertIsNone(self.sut.state.get(self.key(BatchPart.ENDS)))

    def test_end_while_the_store_is_down(self) -> None:
        """Guards against forgetting an end that could not be stored."""
        record = self.sut.state.get(self.key(BatchPart.PROGRESS)).value
        self.sut.write(self.key(BatchPart.PROGRESS), b"{")
        self.change_leadership()
        self.sut.write(self.key(BatchPart.PROGRESS), record)
        self.sut.delete(self.key(BatchPart.ENDS))
        self.worker.ends.append(RunEnd(EndSequence(9), self.run_id(), EndKind.DONE, NO_CHECKPOINT))
        self.sut.leader.store.faults.refuse_writes = True
        self.sut.run(1.5)
        self.assertTrue(self.worker.ends)
        self.sut.leader.store.faults.refuse_writes = False
        self.sut.run(1.5)
        self.assertEqual(self.worker.ends, [])
        self.assertIsNotNone(self.sut.state.get(self.key(BatchPart.ENDS)))

    def run_id(self) -> RunId:
        return RunId(JobId("b1"), TaskKey(0, 0, 0), RunNumber(1))

    def test_invalid_ends(self) -> None:
        """Guards against overwriting stored ends that this version cannot read."""
        self.sut.write(self.key(BatchPart.ENDS), b"{")
        self.change_leadership()
        self.assertNotIn("b1", self.sut.leader.application.scheduler.jobs)
        self.assertEqual(self.sut.state.get(self.key(BatchPart.ENDS)).value, b"{")
        self.assertEqual(len(self.worker.ends), 1)
        self.sut.delete(self.key(BatchPart.ENDS))
        self.change_leadership()
        self.check_completed()

    def test_end_behind_one_that_is_not_written(self) -> None:
        """Guards against counting an end again with each report that lists it."""
        self.sut.write(self.key(BatchPart.ENDS), b"{")
        self.change_leadership()
        logged = LoggedEvents(self)
        self.worker.fails = True
        self.sut.submit("b2", StepSpec(1, RESOURCES, LONG_RUN_SECONDS))
        self.sut.run(10.0)
        self.assertIs(self.sut.state_of("b2"), JobState.FAILED)
        ended = [fields["run"] for fields in logged.of(LogEvent.RUN_ENDED)]
        self.assertEqual(ended, ["b2.0.0.0#1", "b2.0.0.0#2"])

    def test_ends_out_of_order(self) -> None:
        """Guards against acknowledging an end that a report lists behind a later one."""
        client = self.sut.leader.client
        client.unreachable.add("w0")
        unknown = RunId(JobId("b1"), TaskKey(0, 0, 0), RunNumber(99))
        self.sut.run(1.0)
        self.worker._sequence = itertools.count(3)
        self.worker.ends.insert(0, RunEnd(EndSequence(2), unknown, EndKind.STOPPED, NO_CHECKPOINT))
        client.unreachable.clear()
        self.check_completed()

    def hide_jobs(self) -> None:
        """Let the leader's lists of all jobs miss them."""
        store = self.sut.leader.store
        complete = store.list

        async def incomplete(prefix: str):
            listed = await complete(prefix)
            if prefix == BATCH_JOBS_PREFIX and isinstance(listed, Listed):
                return Listed((), listed.version)
            return listed

        store.list = incomplete

    def test_job_missed_by_the_list(self) -> None:
        """Guards against acknowledging the end of a job that was not read yet."""
        self.hide_jobs()
        self.change_leadership()
        self.check_completed()

    def test_job_missed_by_the_list_with_a_worker_that_left(self) -> None:
        """Guards against a job that waits for ever for the end of a run on a lost worker."""
        lost = self.sut.add_worker(make_worker_entry("w1"))
        lost.run_seconds = LONG_RUN_SECONDS
        self.sut.run(1.0)
        self.sut.submit("b3", StepSpec(2, WHOLE_WORKER, LONG_RUN_SECONDS))
        self.sut.run(LONG_RUN_SECONDS - 0.2)
        self.assertTrue(lost.running)
        self.assertTrue(self.worker.running)
        self.hide_jobs()
        self.sut.delete("servers/w1")
        lost.crash()
        self.sut.leader.client.unreachable.add("w0")
        self.change_leadership()
        self.sut.run(2 * SETTLE_SECONDS)
        self.sut.leader.client.unreachable.clear()
        self.sut.run(2 * SETTLE_SECONDS)
        self.assertIs(self.sut.state_of("b3"), JobState.COMPLETED)

    def test_removed_job(self) -> None:
        """Guards against listing the ends of jobs for ever that are no longer in the store."""
        for part in (BatchPart.SPEC, BatchPart.PROGRESS):
            self.sut.delete(self.key(part))
        self.scheduler.jobs.clear()
        self.sut.run(2.0)
        self.assertEqual(self.worker.ends, [])
        self.assertEqual([kind for _, kind, _ in self.worker.history].count("start"), 1)


def delay_progress_writes(instance: Instance, seconds: float) -> None:
    """Delay the replies to an instance's writes of progress."""
    transact = instance.store.transact

    async def delayed(conditions, puts=(), deletes=()):
        outcome = await transact(conditions, puts, deletes)
        if any(put.key.endswith(f"/{BatchPart.PROGRESS.value}") for put in puts):
            await sleep(instance.store._clock, seconds)
        return outcome

    instance.store.transact = delayed


def submission(step: StepSpec) -> Submission:
    """Return the submission of a job with one step."""
    return Submission(JobId("b1"), NORMAL, ACCOUNT.name, 0.0, BatchSpec("payload", (step,)))


if __name__ == "__main__":
    unittest.main()
