"""Starts and releases of whole gangs (G2), and repeated attempts (G6)."""

from __future__ import annotations

import unittest
from dataclasses import replace
from math import inf
from typing import TYPE_CHECKING, Any

from chivefall.controllers.jobs._attempts import (
    AttemptDecision,
    decide_attempt,
    may_run_again,
    next_record_after_release,
)
from chivefall.model import (
    AccountId,
    AttemptId,
    Completed,
    GangMember,
    JobId,
    JobRecord,
    JobSpec,
    JobState,
    Placement,
    RackId,
    TaskState,
    Unknown,
    WorkerId,
)
from chivefall.workers import TaskReport
from standins.cluster import Cluster

if TYPE_CHECKING:
    from chivefall.config import Address

DOMAIN = "zarcero"
FIRST, SECOND = f"{DOMAIN}-w00", f"{DOMAIN}-w01"
GANG = {"gang_size": 2, "accelerators": 8, "payload": {"run_time": 2.0}}


def cluster() -> Cluster:
    """Return a cluster of one domain that has two workers and a leader."""
    built = Cluster((DOMAIN,), workers_per_domain=2)
    built.advance(3)
    return built


class StartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = cluster()
        self.workers = self.cluster.workers

    def commit_count(self) -> int:
        """Return the number of commits that the first worker received."""
        return self.workers.commands.count((FIRST, "commit"))

    def test_unreachable_member_releases_the_others(self) -> None:
        """Guards against members that keep accelerators reserved for a gang that cannot start."""
        self.workers.unreachable_commands.add((SECOND, "reserve"))
        job_id = self.cluster.submit(DOMAIN, **GANG)
        self.cluster.advance(0.5)
        self.assertEqual(self.cluster.allocated_accelerators(), 0)
        self.assertIn((FIRST, "stop"), self.workers.commands)
        self.assertEqual(self.commit_count(), 0)
        self.workers.unreachable_commands.clear()
        self.assertIsInstance(self.cluster.outcome(job_id), Completed)

    def test_lost_reservation_reply_counts_as_reserved(self) -> None:
        """Guards against planning with accelerators that a worker may have reserved."""
        self.workers.command_replies_to_lose[SECOND, "reserve"] = inf
        self.workers.unreachable_commands.add((SECOND, "stop"))
        self.cluster.submit(DOMAIN, **GANG)
        self.cluster.advance(1)
        views = {view.worker: view for view in self.cluster.leader(DOMAIN).workers.views()}
        self.assertEqual(views[SECOND].free, 0)
        self.workers.command_replies_to_lose.clear()
        self.workers.unreachable_commands.clear()
        self.cluster.advance(2)
        self.assertEqual(self.workers.commands.count((SECOND, "stop")), 1)

    def test_lost_commit_reply_stops_everything_before_the_next_attempt(self) -> None:
        """Guards against two attempts of a job that run at once."""
        self.workers.command_replies_to_lose[SECOND, "commit"] = inf
        job_id = self.cluster.submit(DOMAIN, **GANG)
        for _ in range(200):
            self.cluster.advance(0.05)
            self.assertLessEqual(len(set(self.cluster.running_attempts(job_id).values())), 1)
        self.workers.command_replies_to_lose.clear()
        self.assertIsInstance(self.cluster.outcome(job_id), Completed)
        self.assertGreater(self.commit_count(), 1)

    def test_uncertain_commit_of_a_non_idempotent_job_is_unknown(self) -> None:
        """Guards against a second run of a non-idempotent job (G6)."""
        self.workers.command_replies_to_lose[SECOND, "commit"] = inf
        job_id = self.cluster.submit(DOMAIN, idempotent=False, **GANG)
        self.assertIsInstance(self.cluster.outcome(job_id), Unknown)
        self.workers.command_replies_to_lose.clear()
        self.cluster.advance(30)
        self.assertEqual(self.commit_count(), 1)
        self.assertEqual(self.cluster.allocated_accelerators(), 0)

    def test_confirmation_is_repeated(self) -> None:
        """Guards against stopping a whole gang because one reply was lost."""
        self.workers.command_replies_to_lose[SECOND, "confirm"] = 1
        job_id = self.cluster.submit(DOMAIN, idempotent=False, **GANG)
        self.assertIsInstance(self.cluster.outcome(job_id), Completed)

    def test_uncommitted_attempt_of_a_non_idempotent_job_is_repeated(self) -> None:
        """Guards against failing a job that provably did not run."""
        self.workers.command_replies_to_lose[SECOND, "reserve"] = inf
        job_id = self.cluster.submit(DOMAIN, idempotent=False, **GANG)
        self.cluster.advance(1)
        self.workers.command_replies_to_lose.clear()
        self.assertIsInstance(self.cluster.outcome(job_id), Completed)
        self.assertEqual(self.commit_count(), 1)

    def test_unconfirmed_members_end_with_the_gang_lease(self) -> None:
        """Guards against a partial gang that keeps running after its leader crashed."""
        self.workers.unreachable_commands |= {(SECOND, "commit"), (FIRST, "stop")}
        job_id = self.cluster.submit(DOMAIN, **{**GANG, "payload": {"run_time": 600.0}})
        self.cluster.advance(0.5)
        self.assertEqual(set(self.cluster.running_attempts(job_id)), {FIRST})
        for name in list(self.cluster.applications):
            self.cluster.kill(name)
        self.cluster.advance(5)
        self.assertEqual(self.cluster.running_attempts(job_id), {})


class RunningGangTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = cluster()
        payload = {"run_time": 20.0}
        self.job_id = self.cluster.submit(DOMAIN, **{**GANG, "payload": payload})
        self.cluster.advance(1)
        self.assertEqual(set(self.cluster.running_attempts(self.job_id)), {FIRST, SECOND})

    def test_restarted_worker_stops_the_whole_gang(self) -> None:
        """Guards against members that keep running after one of them lost its task."""
        first = set(self.cluster.running_attempts(self.job_id).values())
        self.cluster.worker(SECOND).restart()
        self.cluster.advance(6)
        running = self.cluster.running_attempts(self.job_id)
        self.assertEqual(set(running), {FIRST, SECOND})
        self.assertFalse(first & set(running.values()))
        self.assertIsInstance(self.cluster.outcome(self.job_id), Completed)

    def test_worker_that_restarts_between_two_renewals(self) -> None:
        """Guards against a report of changes since a sequence of the worker's former process.

        The renewal that was waiting has ended before the restart, so that none fails.
        """
        self.cluster.outcome(self.job_id)
        self.job_id = self.cluster.submit(DOMAIN, **{**GANG, "payload": {"run_time": 90.0}})
        self.cluster.advance(1)
        first = set(self.cluster.running_attempts(self.job_id).values())
        workers, address = self.cluster.workers, self.cluster.address(SECOND)
        renew = workers.renew

        def restart_and_renew(to: Address, *args: Any) -> Any:
            if str(to) == str(address):
                workers.renew = renew
                self.cluster.worker(SECOND).restart()
            return renew(to, *args)

        workers.renew = restart_and_renew
        self.cluster.advance(40)
        self.assertIs(workers.renew, renew)
        running = self.cluster.running_attempts(self.job_id)
        self.assertEqual(set(running), {FIRST, SECOND})
        self.assertFalse(first & set(running.values()))
        self.cluster.advance(90)
        self.assertIsInstance(self.cluster.outcome(self.job_id), Completed)

    def test_unreachable_worker_releases_the_gang_but_not_its_own_share(self) -> None:
        """Guards against a second attempt while a share of the first may still run."""
        self.cluster.workers.unreachable.add(self.cluster.address(SECOND))
        self.cluster.advance(25)
        self.assertNotIn(FIRST, self.cluster.running_attempts(self.job_id))
        status = self.cluster.leader(DOMAIN).jobs.status(self.job_id)
        self.assertNotEqual(status.state, JobState.QUEUED)
        self.cluster.advance(60)
        status = self.cluster.leader(DOMAIN).jobs.status(self.job_id)
        self.assertEqual(status.state, JobState.QUEUED)
        self.cluster.workers.unreachable.clear()
        self.assertIsInstance(self.cluster.outcome(self.job_id), Completed)


class AttemptDecisionTest(unittest.TestCase):
    def setUp(self) -> None:
        members = tuple(GangMember(WorkerId(name), RackId("r"), 1) for name in "ab")
        spec = JobSpec(AccountId("farmers"), "sort", gang_size=2)
        self.record = JobRecord(
            JobId("z.1"),
            spec,
            JobState.RUNNING,
            attempt=AttemptId("2"),
            placement=Placement(members),
        )

    def report(self, state: TaskState, attempt: str = "2", **changes: object) -> TaskReport:
        return TaskReport(AttemptId(attempt), JobId("z.1"), state, 1, **changes)

    def test_shares_of_another_attempt_do_not_count(self) -> None:
        """Guards against a result that combines shares of two attempts (G2)."""
        reports = {
            WorkerId("a"): self.report(TaskState.SUCCEEDED),
            WorkerId("b"): self.report(TaskState.SUCCEEDED, "1"),
        }
        decision = decide_attempt(self.record, reports, ())
        self.assertIs(decision, AttemptDecision.RELEASE)
        self.assertIs(
            next_record_after_release(self.record, reports, True, 1.0).state, JobState.QUEUED
        )

    def test_only_a_whole_gang_is_adopted(self) -> None:
        """Guards against continuing a gang that lost a member."""
        running = self.report(TaskState.RUNNING)
        for state in (TaskState.STOPPED, TaskState.RESERVED, TaskState.CHECKPOINTED):
            reports = {WorkerId("a"): running, WorkerId("b"): self.report(state)}
            self.assertIs(decide_attempt(self.record, reports, ()), AttemptDecision.RELEASE)
        reports[WorkerId("b")] = running
        self.assertIs(decide_attempt(self.record, reports, ()), AttemptDecision.ADOPT)
        self.assertIs(decide_attempt(self.record, reports, "b"), AttemptDecision.RELEASE)

    def test_second_run_needs_proof_that_the_first_did_not_run(self) -> None:
        """Guards against mistaking a restarted worker for one that never ran the share."""
        record = replace(self.record, spec=replace(self.record.spec, idempotent=False))
        reports = {WorkerId("a"): self.report(TaskState.STOPPED)}
        self.assertTrue(may_run_again(record, {}, committed=False))
        self.assertFalse(may_run_again(record, reports, committed=True))
        reports[WorkerId("b")] = self.report(TaskState.STOPPED, ran=True)
        self.assertFalse(may_run_again(record, reports, committed=True))
        reports[WorkerId("b")] = self.report(TaskState.STOPPED)
        self.assertTrue(may_run_again(record, reports, committed=True))

    def test_job_that_failed_on_three_workers_is_failed(self) -> None:
        """Guards against a failing job that is retried forever."""
        reports = {WorkerId("a"): self.report(TaskState.FAILED, error="no input")}
        record = self.record
        for worker in ("x", "y"):
            self.assertIs(
                next_record_after_release(record, reports, True, 1.0).state, JobState.QUEUED
            )
            record = record.with_state(
                JobState.RUNNING, failed_workers=(*record.failed_workers, WorkerId(worker))
            )
        ended = next_record_after_release(record, reports, True, 1.0)
        self.assertEqual((ended.state, ended.error), (JobState.FAILED, "no input"))

    def test_incomplete_checkpoint_keeps_the_previous_one(self) -> None:
        """Guards against resuming from a checkpoint that only some shares have."""
        reports = {
            WorkerId("a"): self.report(TaskState.CHECKPOINTED, checkpoint="new@9", progress=9.0),
            WorkerId("b"): self.report(TaskState.STOPPED),
        }
        record = self.record.with_state(JobState.CHECKPOINTING, checkpoint="old@4")
        self.assertEqual(next_record_after_release(record, reports, True, 1.0).checkpoint, "old@4")
        reports[WorkerId("b")] = self.report(
            TaskState.CHECKPOINTED, checkpoint="new@8", progress=8.0
        )
        self.assertEqual(next_record_after_release(record, reports, True, 1.0).checkpoint, "new@8")
