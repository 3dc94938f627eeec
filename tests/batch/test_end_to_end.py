"""Batch jobs from submission to completion, and under faults of instances, store and workers."""

from __future__ import annotations

import unittest
from dataclasses import replace
from itertools import pairwise
from unittest.mock import patch

from chivefall.batch import (
    BatchOperation,
    JobNotFound,
    JobState,
    JobStatus,
    PendingJobs,
    Resources,
    StepSpec,
    _round,
)
from chivefall.model import Accepted, JobId, NotRun, NotRunReason, Unknown
from chivefall.store import Unavailable
from chivefall.telemetry import LogEvent
from tests.batch.deployment import ACCOUNT, NORMAL, URGENT, Deployment

TASK_RESOURCES = Resources(4000, 16_000, 2)
WORKER_CAPACITY = Resources(32_000, 131_072, 8)


def step(count: int = 1, **fields) -> StepSpec:
    """Return a step of tasks with a run time of 2 s."""
    return StepSpec(count, fields.pop("resources", TASK_RESOURCES), 2.0, **fields)


class EndToEnd(unittest.TestCase):
    def test_job_completes_and_is_pending_until_it_starts(self) -> None:
        sut = Deployment()
        self.assertEqual(sut.submit("a1", step(3), step(2, after=(0,))), Accepted(JobId("a1")))
        sut.run(3.0)
        self.assertIs(sut.state_of("a1"), JobState.RUNNING)
        sut.run(3.0)
        self.assertIs(sut.state_of("a1"), JobState.COMPLETED)
        pending = sut.call(BatchOperation.STATUS, NORMAL.prefix)
        self.assertEqual(pending, PendingJobs(0))

    def test_dependent_step_waits_for_all_tasks_of_its_predecessor(self) -> None:
        sut = Deployment()
        sut.worker("w1").run_seconds = 4.0
        sut.submit("a1", step(8), step(1, after=(0,)))
        sut.run(10.0)
        starts = sut.workers.starts_of(JobId("a1"))
        last_end = max(
            time
            for worker in sut.workers.workers.values()
            for time, kind, run in worker.history
            if kind == "done" and run.task.step == 0
        )
        self.assertGreaterEqual(starts[(0, 1, 0)][0][0], last_end)

    def test_repeated_submission_creates_one_job(self) -> None:
        sut = Deployment()
        sut.submit("a1", step())
        sut.run(4.0)
        self.assertEqual(sut.submit("a1", step()), Accepted(JobId("a1")))
        sut.run(4.0)
        self.assertEqual(len(sut.workers.starts_of(JobId("a1"))[(0, 0, 0)]), 1)

    def test_unknown_job_queue_and_key_are_rejected(self) -> None:
        sut = Deployment()
        self.assertEqual(sut.call(BatchOperation.STATUS, "/normal/ff"), JobNotFound())
        for fields, reason in (
            ({"path": "/other/ff"}, NotRunReason.UNKNOWN_QUEUE),
            ({"path": "/normal/ff", "key": "stolen"}, NotRunReason.UNKNOWN_KEY),
            ({"path": "/normal/zz"}, NotRunReason.BAD_REQUEST),
        ):
            outcome = sut.call(BatchOperation.STATUS, **fields)
            self.assertIsInstance(outcome, NotRun)
            self.assertIs(outcome.reason, reason)

    def test_cancelled_job_is_stopped(self) -> None:
        sut = Deployment()
        sut.submit("a1", step(4))
        sut.run(0.5)
        outcome = sut.call(BatchOperation.CANCEL, "/normal/a1")
        self.assertEqual(outcome, JobStatus(JobState.CANCELLED))
        sut.run(0.5)
        self.assertFalse(any(worker.running for worker in sut.workers.workers.values()))
        self.assertIs(sut.state_of("a1"), JobState.CANCELLED)

    def test_job_fails_after_max_attempts(self) -> None:
        sut = Deployment(workers=1)
        sut.worker("w0").fails = True
        sut.submit("a1", step())
        sut.run(20.0)
        self.assertIs(sut.state_of("a1"), JobState.FAILED)
        starts = sut.workers.starts_of(JobId("a1"))
        self.assertEqual(len(starts[(0, 0, 0)]), NORMAL.max_attempts)

    def test_worker_capacity_is_never_exceeded(self) -> None:
        sut = Deployment(workers=2)
        for number in range(6):
            sut.submit(f"a{number}", step(4))
        sut.run(15.0)
        for worker in sut.workers.workers.values():
            self.assertLessEqual(worker.peak_usage.accelerators, WORKER_CAPACITY.accelerators)
            self.assertLessEqual(worker.peak_usage.memory, WORKER_CAPACITY.memory)

    def test_urgent_gang_preempts_less_urgent_tasks(self) -> None:
        sut = Deployment(workers=2)
        for worker in sut.workers.workers.values():
            worker.run_seconds = 30.0
        sut.submit("a1", step(8))
        sut.run(1.0)
        sut.submit("b1", step(8, gang=True), queue=URGENT)
        sut.run(1.0)
        starts = sut.workers.starts_of(JobId("b1"))
        self.assertEqual(len(starts), 8)


class Faults(unittest.TestCase):
    def assert_no_second_run(self, sut: Deployment, name: str) -> None:
        """Check that no run of a task starts during another run or after a successful one."""
        spans: dict = {}
        for worker in sut.workers.workers.values():
            for time, kind, run in worker.history:
                if run.job != name or kind == "noted":
                    continue
                span = spans.setdefault(run, [time, float("inf"), kind])
                if kind != "start":
                    span[1:] = [time, kind]
        by_task: dict = {}
        for run, span in spans.items():
            by_task.setdefault(run.task, []).append(span)
        for task, rows in by_task.items():
            rows.sort()
            for earlier, later in pairwise(rows):
                self.assertLessEqual(earlier[1], later[0], f"two runs of {task} overlap")
                self.assertNotEqual(
                    earlier[2], "done", f"{task} was started again after it was done"
                )

    def test_next_leader_adopts_runs(self) -> None:
        sut = Deployment(instances=3)
        for worker in sut.workers.workers.values():
            worker.run_seconds = 8.0
        sut.submit("a1", step(6))
        sut.run(1.0)
        sut.leader.kill()
        sut.run(14.0)
        new_leader = sut.leader
        self.assertIs(sut.state_of("a1", instance=new_leader), JobState.COMPLETED)
        self.assert_no_second_run(sut, "a1")

    def test_instance_on_the_largest_remaining_machine_takes_over(self) -> None:
        # Guards against a leader on a machine with half a core and a narrow link, which
        # delays all jobs of a large deployment.
        sut = Deployment()
        for number in range(6):
            sut.add_instance(f"weak{number}", cores=0.4)
        strong = sut.add_instance("strong")
        sut.run(2.0)
        sut.instances[0].kill()
        sut.run(6.0)
        self.assertIs(sut.leader, strong)
        strong.kill()
        sut.run(6.0)
        self.assertIn(sut.leader, sut.instances[1:7])

    def test_job_of_a_removed_queue_is_finished_by_the_next_leader(self) -> None:
        # Guards against jobs that no leader can place after their queue was removed from
        # the catalog.
        sut = Deployment(instances=2)
        sut.submit("a1", step(2), step(2, after=(0,)))
        sut.run(1.0)
        sut.set_catalog(2, (URGENT,), (ACCOUNT,))
        sut.run(0.5)
        first = sut.leader
        other = next(item for item in sut.instances if item is not first)
        first.kill()
        sut.run(12.0)
        self.assertIs(other.application.scheduler.jobs["a1"].job.state, JobState.COMPLETED)

    def test_task_of_a_worker_lost_before_the_takeover_restarts_soon(self) -> None:
        # Guards against waiting beyond the longest lease that the previous leader can have
        # granted: when workers lost power together with the leader, their tasks did not
        # restart for 22 s (LOST on a mix day of tijera-chive, seed 90817748006).
        sut = Deployment(instances=2, workers=2)
        for worker in sut.workers.workers.values():
            worker.run_seconds = 4.0
        sut.submit("a1", step(8))
        sut.run(1.0)
        first = sut.leader
        other = next(item for item in sut.instances if item is not first)
        first.kill()
        sut.worker("w0").crash()
        sut.delete("servers/w0")
        sut.run(20.0)
        self.assertIs(sut.state_of("a1", instance=other), JobState.COMPLETED)
        self.assert_no_second_run(sut, "a1")

    def test_leader_that_cannot_read_the_jobs_steps_down(self) -> None:
        # Guards against a leader that keeps its lease without serving: on a narrow link it
        # never received the list of jobs before the time limit.
        sut = Deployment(instances=2)
        first = sut.leader
        other = next(item for item in sut.instances if item is not first)
        real = other.store.list

        async def list_all_but_jobs(prefix: str):
            return Unavailable("too slow") if prefix == "batch/" else await real(prefix)

        other.store.list = list_all_but_jobs
        first.kill()
        sut.add_instance("i9")
        sut.run(16.0)
        sut.submit("a1", step(), instance=sut.instances[-1])
        sut.run(6.0)
        self.assertIs(sut.state_of("a1", instance=sut.instances[-1]), JobState.COMPLETED)

    def test_job_cancelled_between_two_leaders_is_stopped(self) -> None:
        # Guards against a stop that is decided while the new leader loads the records,
        # before it has any worker to send it to, and is never sent.
        sut = Deployment(instances=2)
        for worker in sut.workers.workers.values():
            worker.run_seconds = 30.0
        sut.submit("a1", step(4))
        sut.run(1.0)
        first = sut.leader
        other = next(item for item in sut.instances if item is not first)
        first.kill()
        sut.call(BatchOperation.CANCEL, "/normal/a1", instance=other)
        sut.run(6.0)
        self.assertFalse(any(worker.running for worker in sut.workers.workers.values()))

    def test_new_leader_that_loses_a_worker_waits_for_leases_of_its_predecessor(self) -> None:
        # Guards against computing the end of a lease only from this leader's own calls:
        # runs of a worker that had responded once were restarted while they continued.
        sut = Deployment(instances=2, workers=2)
        for worker in sut.workers.workers.values():
            worker.run_seconds = 7.0
        sut.submit("a1", step(6))
        sut.run(2.0)
        first = sut.leader
        other = next(item for item in sut.instances if item is not first)
        first.kill()
        other.client.latency = 0.05
        while not any(w.synced for w in other.application.fleet.fleet.workers.values()):
            sut.run(0.01)
        other.client.unreachable.add("w0")
        other.client.unreachable.add("w1")
        sut.run(4.0)
        other.client.unreachable.clear()
        sut.run(20.0)
        self.assertIs(sut.state_of("a1", instance=other), JobState.COMPLETED)
        self.assert_no_second_run(sut, "a1")

    def test_unreachable_worker_loses_its_runs_only_after_its_lease(self) -> None:
        sut = Deployment(workers=2)
        sut.worker("w0").run_seconds = sut.worker("w1").run_seconds = 5.0
        sut.submit("a1", step(8))
        sut.run(1.0)
        sut.leader.client.unreachable.add("w0")
        cut_at = sut.clock.now()
        sut.run(25.0)
        self.assertIs(sut.state_of("a1"), JobState.COMPLETED)
        restarts = [rows[1][0] for rows in sut.workers.starts_of(JobId("a1")).values() if rows[1:]]
        self.assertEqual(len(restarts), 4)
        lapsed_at = sut.worker("w0").lease_until
        self.assertGreater(lapsed_at, cut_at + 5.0)
        self.assertGreaterEqual(min(restarts), lapsed_at)

    def test_start_that_was_never_sent_releases_its_task_at_once(self) -> None:
        # Guards against waiting for the lease of a run that cannot exist because its worker
        # became unreachable before the start (incident inc-0e1e of kotvica-ops).
        sut = Deployment(workers=1)
        sut.leader.client.unreachable.add("w0")
        sut.run(8.0)
        worker = sut.leader.application.fleet.fleet.workers["w0"]
        worker.suspect = False
        sut.submit("a1", step())
        sut.run(0.2)
        tracked = sut.leader.application.scheduler.jobs["a1"]
        self.assertEqual(tracked.job.active_tasks(), [])

    def test_unreachable_idle_worker_is_detected_before_a_start(self) -> None:
        # Guards against starts on workers that became unreachable while idle: each start
        # waited for the last lease (incident inc-0e1e of kotvica-ops).
        sut = Deployment(workers=4)
        sut.leader.client.unreachable.update({"w0", "w1"})
        sut.run(3.0)
        sut.submit("a1", step(4, gang=True), queue=URGENT)
        sut.run(4.0)
        self.assertIs(sut.state_of("a1", URGENT), JobState.COMPLETED)

    def test_late_start_is_fenced_before_the_task_runs_elsewhere(self) -> None:
        sut = Deployment(workers=2)
        sut.leader.client.delayed.add("w0")
        sut.submit("a1", step(4))
        sut.run(1.0)
        sut.leader.client.delayed.clear()
        sut.run(15.0)
        self.assertIs(sut.state_of("a1"), JobState.COMPLETED)
        self.assert_no_second_run(sut, "a1")

    def test_worker_that_restarts_under_its_id_releases_its_runs(self) -> None:
        sut = Deployment(workers=1)
        sut.worker("w0").run_seconds = 5.0
        sut.submit("a1", step(2))
        sut.run(1.0)
        entry = sut.worker("w0").entry
        replaced = type(entry)(**{**entry.__dict__, "incarnation": 2})
        sut.add_worker(replaced)
        sut.run(4.0)
        self.assertIs(sut.state_of("a1"), JobState.COMPLETED)

    def test_ends_are_acknowledged_only_after_they_are_stored(self) -> None:
        sut = Deployment(workers=1)
        sut.submit("a1", step())
        sut.run(0.5)
        leader = sut.leader
        leader.store.down = True
        sut.run(3.0)
        noted = [row for row in sut.worker("w0").history if row[1] == "noted"]
        self.assertEqual(noted, [], "an end was acknowledged before it was written")
        leader.store.down = False
        sut.run(5.0)
        self.assertIs(sut.state_of("a1"), JobState.COMPLETED)
        self.assert_no_second_run(sut, "a1")

    def test_unwritten_end_stays_unacknowledged_when_its_worker_is_relisted(self) -> None:
        # Guards against a lost end: the entry of an idle worker expired during an outage of
        # the store, the worker listed the end again in a new session, the leader took it for
        # an older one and acknowledged it unwritten, and the next leader ran the task again.
        sut = Deployment(workers=1)
        sut.submit("a1", step())
        sut.run(0.5)
        sut.leader.store.faults.refuse_writes = True
        sut.run(2.0)
        sut.delete("servers/w0")
        sut.run(0.5)
        sut.list_worker(sut.worker("w0"))
        sut.run(0.4)
        noted = [row for row in sut.worker("w0").history if row[1] == "noted"]
        self.assertEqual(noted, [], "an end was acknowledged before it was written")
        sut.leader.store.faults.refuse_writes = False
        sut.run(3.0)
        self.assertIs(sut.state_of("a1"), JobState.COMPLETED)
        self.assert_no_second_run(sut, "a1")

    def test_lost_replies_of_the_store_cause_no_second_run(self) -> None:
        sut = Deployment(workers=2)
        sut.leader.store.lose_replies = 3
        sut.submit("a1", step(4), step(2, after=(0,)))
        sut.leader.store.lose_replies = 2
        sut.run(14.0)
        self.assertIs(sut.state_of("a1"), JobState.COMPLETED)
        self.assert_no_second_run(sut, "a1")

    def test_revoked_key_is_rejected_while_the_watch_lags(self) -> None:
        sut = Deployment()
        sut.state._notify = lambda _: None  # watches receive no events
        sut.set_catalog(2, (URGENT, NORMAL), ())
        outcome = sut.submit("a1", step())
        self.assertIsInstance(outcome, NotRun)
        self.assertIs(outcome.reason, NotRunReason.UNKNOWN_KEY)

    def test_requests_are_rejected_at_once_while_the_store_does_not_respond(self) -> None:
        # Guards against rejecting requests only after the time limit of a store call.
        sut = Deployment()
        sut.leader.store.faults.delay = 30.0
        sut.run(6.0)
        sut.call(BatchOperation.STATUS, "/normal/aa")
        before = sut.clock.now()
        outcome = sut.submit("a1", step())
        self.assertIsInstance(outcome, NotRun)
        self.assertIs(outcome.reason, NotRunReason.STORE_UNAVAILABLE)
        self.assertIsNotNone(outcome.retry_after)
        self.assertLess(sut.clock.now() - before, 0.1)

    def test_submission_of_unknown_outcome_returns_in_time_for_a_retry(self) -> None:
        # Guards against callers that spend their whole deadline on one instance that gets no
        # response from the store, while other instances serve.
        sut = Deployment(instances=2)
        cut, other = sut.instances
        cut.store.faults.reply_delay = 30.0
        before = sut.clock.now()
        self.assertIsInstance(sut.submit("a1", step(), instance=cut), Unknown)
        self.assertLess(sut.clock.now() - before, 1.1)  # a third of the caller's deadline
        self.assertIsInstance(sut.submit("a1", step(), instance=other), Accepted)

    def test_submission_survives_a_lost_store_reply(self) -> None:
        # Guards against returning an unknown outcome that a second read could resolve.
        sut = Deployment()
        sut.instances[0].store.faults.lose_replies = 1
        sut.instances[0].store.timeout = 0.3
        self.assertIsInstance(sut.submit("a1", step()), Accepted)

    def test_nothing_starts_in_a_domain_out_of_service(self) -> None:
        sut = Deployment()
        sut.write("op/evacuate/zarcero", b"{}")
        sut.run(0.1)
        sut.submit("a1", step())
        sut.run(3.0)
        self.assertEqual(sut.workers.starts_of(JobId("a1")), {})
        sut.delete("op/evacuate/zarcero")
        sut.run(4.0)
        self.assertIs(sut.state_of("a1"), JobState.COMPLETED)


class StopReasonsTest(unittest.TestCase):
    def stops(self, sut: Deployment, action) -> list[dict]:
        """Return the fields of the logged stops during an action."""
        with patch("chivefall.controllers.batch._fleet.log_event") as log:
            action()
            sut.run(3.0)
        return [call.kwargs for call in log.call_args_list if call.args == (LogEvent.RUN_STOPPED,)]

    def full_deployment(self) -> Deployment:
        sut = Deployment()
        for worker in sut.workers.workers.values():
            worker.run_seconds = 30.0
            worker.stop_seconds = 0.9
        sut.submit("00aa", StepSpec(4, Resources(1000, 1000, 8), 2.0, gang=True))
        sut.run(2.0)
        return sut

    def test_preemption_names_the_urgent_job(self) -> None:
        """Guards against stopped work for which nobody can say who needed the workers."""
        sut = self.full_deployment()
        urgent = StepSpec(1, Resources(1000, 1000, 8), 30.0)
        stops = self.stops(sut, lambda: sut.submit("00bb", urgent, queue=URGENT))
        self.assertEqual(len(stops), 4)
        for fields in stops:
            self.assertEqual((fields["reason"], fields["beneficiary"]), ("preempted", "00bb"))
            self.assertGreater(fields["lost_core_seconds"], 0)
            self.assertGreater(fields["seconds"], 1.0)

    def test_cancellation(self) -> None:
        """Guards against stops of cancelled jobs that look like lost work."""
        sut = self.full_deployment()
        path = f"{NORMAL.prefix}00aa"
        stops = self.stops(sut, lambda: sut.call(BatchOperation.CANCEL, path))
        reasons = {(item["reason"], item["state"]) for item in stops}
        self.assertEqual(reasons, {("job_ended", "cancelled")})
        self.assertEqual(len(stops), 4, "each run is stopped once")

    def test_lost_member_of_a_gang(self) -> None:
        """Guards against gang stops that do not name the member that was lost."""
        sut = self.full_deployment()
        entry = sut.worker("w0").entry
        stops = self.stops(sut, lambda: sut.add_worker(replace(entry, incarnation=2)))
        self.assertEqual({item["reason"] for item in stops}, {"gang_member_lost"}, stops)
        self.assertEqual(len({item["member"] for item in stops}), 1)


class LargeFleetTest(unittest.TestCase):
    def test_polls_of_a_large_fleet(self) -> None:
        """Guards against a leader that does little else than poll its workers.

        Load: 400 workers that all run long tasks.
        """
        sut = Deployment(workers=400)
        for worker in sut.workers.workers.values():
            worker.run_seconds = 60.0
        sut.submit("00aa", StepSpec(400, Resources(1000, 1000, 8), 60.0))
        sut.run(3.0)
        polls = []
        client = sut.instances[0].client
        renew = client.renew_leases

        def count_polls(*args):
            polls.append(args)
            return renew(*args)

        client.renew_leases = count_polls
        sut.run(10.0)
        self.assertLessEqual(len(polls) / 10.0, 300)
        self.assertFalse(any(worker.lapses for worker in sut.workers.workers.values()))


class UnexpectedErrorTest(unittest.TestCase):
    def test_one_job_that_cannot_be_planned(self) -> None:
        """Guards against a whole region that starts nothing because of one job."""
        sut = Deployment()
        place = _round.place_independent

        def fail_for_three(workers, step, count, *args, **options):
            if count == 3:
                raise ZeroDivisionError("unexpected")
            return place(workers, step, count, *args, **options)

        with (
            patch.object(_round, "place_independent", fail_for_three),
            patch("chivefall.controllers.batch._scheduler.log_event") as log,
        ):
            sut.submit("00aa", StepSpec(3, Resources(1000, 1000, 1), 1.0))
            sut.submit("00bb", StepSpec(1, Resources(1000, 1000, 1), 1.0))
            sut.run(4.0)
            self.assertIs(sut.state_of("00aa"), JobState.QUEUED)
            self.assertIs(sut.state_of("00bb"), JobState.COMPLETED)
        errors = [call for call in log.call_args_list if call.args == (LogEvent.UNHANDLED_ERROR,)]
        self.assertEqual(errors[0].kwargs["job"], "00aa")


if __name__ == "__main__":
    unittest.main()
