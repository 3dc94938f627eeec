"""Changes of leader: adoption, fencing and waiting callers."""

from __future__ import annotations

import unittest
from math import inf
from typing import TYPE_CHECKING

from chivefall.model import (
    Accepted,
    AccountId,
    Completed,
    Epoch,
    InstanceId,
    JobId,
    JobRecord,
    JobSpec,
    NotRunReason,
    Outcome,
    Unknown,
)
from chivefall.runtime import Future, spawn
from chivefall.store import job_key
from standins.cluster import Cluster

if TYPE_CHECKING:
    from chivefall.workers import CommandOutcome

DOMAIN, OTHER = "zarcero", "tarrazu"
FIRST, SECOND = f"{DOMAIN}-w00", f"{DOMAIN}-w01"
GANG = {"gang_size": 2, "accelerators": 8, "payload": {"run_time": 20.0}}


class TakeoverTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster((DOMAIN, OTHER), workers_per_domain=2)
        self.cluster.advance(3)
        self.old = self.cluster.leader(DOMAIN)
        self.name = self.old.cfg.instance

    def start_gang(self) -> str:
        """Start a gang on both workers and return its job id."""
        job_id = self.cluster.submit(DOMAIN, **GANG)
        self.cluster.advance(1)
        self.assertEqual(set(self.cluster.running_attempts(job_id)), {FIRST, SECOND})
        return job_id

    def wait_elsewhere(self, job_id: str, limit: float = 120.0) -> Future[Outcome]:
        """Wait for a job through an instance of the other domain."""
        router = self.cluster.applications[InstanceId(f"{OTHER}-1")].job_router
        return spawn(router.wait(job_id, self.cluster.clock.now() + limit))

    def test_new_leader_adopts_the_running_gang(self) -> None:
        """Guards against progress and outcomes that are lost with a leader."""
        job_id = self.start_gang()
        attempts = self.cluster.running_attempts(job_id)
        waiting = self.wait_elsewhere(job_id)
        self.cluster.kill(self.name)
        self.cluster.advance(12)
        self.assertIsNot(self.cluster.leader(DOMAIN), None)
        self.assertEqual(self.cluster.running_attempts(job_id), attempts)
        self.cluster.advance(15)
        self.assertIsInstance(waiting.result(), Completed)
        shares = waiting.result().answer["answer"].values()
        self.assertEqual(sorted(index for share in shares for index in share["members"]), [0, 1])

    def test_gang_with_succeeded_shares_is_adopted(self) -> None:
        """Guards against stopping a gang because some of its shares have succeeded."""
        job_id = self.cluster.submit(DOMAIN, **{**GANG, "payload": {"run_time": [5.0, 20.0]}})
        self.cluster.advance(1)
        attempt = set(self.cluster.running_attempts(job_id).values())
        self.cluster.kill(self.name)
        self.cluster.advance(14)
        self.assertEqual(set(self.cluster.running_attempts(job_id).values()), attempt)
        self.assertIsInstance(self.cluster.outcome(job_id), Completed)

    def test_gang_that_ended_without_a_leader_is_finished(self) -> None:
        """Guards against a second run of a gang whose result the workers still report."""
        job_id = self.start_gang()
        self.cluster.advance(17)
        waiting = self.wait_elsewhere(job_id)
        self.cluster.kill(self.name)
        self.cluster.advance(20)
        self.assertIsInstance(waiting.result(), Completed)
        self.assertEqual(self.cluster.workers.commands.count((FIRST, "commit")), 1)

    def test_incomplete_gang_is_released_and_started_again(self) -> None:
        """Guards against adopting members whose gang never started as a whole."""
        self.cluster.workers.unreachable_commands |= {(SECOND, "commit"), (FIRST, "stop")}
        job_id = self.cluster.submit(DOMAIN, **GANG)
        self.cluster.advance(0.2)
        self.assertEqual(set(self.cluster.running_attempts(job_id)), {FIRST})
        self.cluster.kill(self.name)
        self.cluster.workers.unreachable_commands.clear()
        for _ in range(300):
            self.cluster.advance(0.05)
            self.assertLessEqual(len(set(self.cluster.running_attempts(job_id).values())), 1)
        self.assertEqual(set(self.cluster.running_attempts(job_id)), {FIRST, SECOND})

    def test_task_without_a_record_is_stopped(self) -> None:
        """Guards against accelerators that no leader ever releases."""
        job_id = self.start_gang()
        self.cluster.kill(self.name)
        key = job_key(DOMAIN, job_id)
        self.cluster.state.delete(key, self.cluster.state.get(key).version)
        self.cluster.advance(12)
        self.assertEqual(self.cluster.allocated_accelerators(), 0)

    def test_unreachable_worker_keeps_its_share_until_its_lease_expires(self) -> None:
        """Guards against a second attempt while the new leader cannot stop a share."""
        job_id = self.cluster.submit(DOMAIN, accelerators=8, payload={"run_time": 500.0})
        self.cluster.advance(1)
        self.cluster.kill(self.name)
        (worker,) = self.cluster.running_attempts(job_id)
        for client in self.cluster.worker_clients.values():
            client.unreachable.add(self.cluster.address(worker))
        for _ in range(1500):
            self.cluster.advance(0.05)
            self.assertLessEqual(len(set(self.cluster.running_attempts(job_id).values())), 1)
        self.cluster.advance(20)
        self.assertEqual(set(self.cluster.running_attempts(job_id)), {FIRST, SECOND} - {worker})

    def test_resumed_leader_is_fenced(self) -> None:
        """Guards against commands of a leader whose lease expired while it was paused."""
        self.cluster.freeze(self.name)
        self.cluster.advance(12)
        new = self.cluster.leader(DOMAIN)
        self.assertIsNot(new, self.old)
        self.assertGreater(new.leader.epoch, self.old.leader.epoch)
        job_id = self.start_gang()
        attempts = self.cluster.running_attempts(job_id)
        self.cluster.thaw(self.name)
        self.cluster.advance(3)
        self.assertFalse(self.old.leader.leads)
        self.assertEqual(self.cluster.running_attempts(job_id), attempts)

    def test_leader_without_a_lease_accepts_no_job(self) -> None:
        """Guards against a record that the next leader has not loaded."""
        self.cluster.stores[self.name].down = True
        others = set(self.cluster.applications) - {self.name}
        self.cluster.network.cut |= {frozenset((self.name, other)) for other in others}
        self.cluster.advance(12)
        self.cluster.stores[self.name].down = False
        self.assertTrue(self.old.leader.leads)
        refused = self.cluster.run(self.old.jobs.submit(JobSpec(AccountId("farmers"), "sort")))
        self.assertIs(refused.reason, NotRunReason.NO_LEADER)
        self.assertFalse([key for key, _ in self.cluster.state.list("jobs/")])
        moved = JobRecord(JobId(f"{OTHER}.1"), JobSpec(AccountId("farmers"), "sort"), transfers=1)
        self.assertIsInstance(self.cluster.run(self.old.jobs.accept_transfer(moved, None)), Unknown)
        self.assertNotIn(moved.job_id, self.old.jobs.jobs)

    def test_repeated_transfer_needs_a_valid_lease(self) -> None:
        """Guards against accepting a transfer when a successor may have no record of the job."""
        spec = JobSpec(AccountId("farmers"), "sort", run_time=500.0)
        moved = JobRecord(JobId(f"{OTHER}.2"), spec, transfers=1)
        for _ in range(2):
            self.assertIsInstance(
                self.cluster.run(self.old.drain._receive_transfer(moved)), Accepted
            )
        self.old.leader.lease_is_valid = lambda _now: False
        self.assertIsInstance(self.cluster.run(self.old.drain._receive_transfer(moved)), Unknown)

    def test_worker_with_a_higher_epoch_ends_a_leadership(self) -> None:
        """Guards against a leader cut off from the store that does not detect its successor."""
        self.cluster.stores[self.name].down = True
        others = set(self.cluster.applications) - {self.name}
        self.cluster.network.cut |= {frozenset((self.name, other)) for other in others}
        self.cluster.advance(30)  # a long poll of up to 20 s has to end first
        self.assertFalse(self.old.leader.leads)
        self.assertIsNot(self.cluster.leader(DOMAIN), None)

    def test_reports_of_an_earlier_leadership_do_not_count(self) -> None:
        """Guards against adopting a gang that ended before the instance led again."""
        epoch = self.old.leader.epoch
        self.assertTrue(self.old.workers.all_reported(epoch))
        self.assertFalse(self.old.workers.all_reported(Epoch(epoch + 1)))

    def test_domain_without_workers_gets_a_leader(self) -> None:
        """Guards against a takeover that waits for reports without a limit."""
        cluster = Cluster((DOMAIN,), workers_per_domain=0)
        cluster.advance(15)
        self.assertTrue(cluster.leader(DOMAIN).jobs.ready)

    def test_pause_between_reservation_and_commit_starts_nothing(self) -> None:
        """Guards against a commit based on state from before a pause (G3)."""
        reserve = self.cluster.workers.reserve

        async def reserve_and_freeze(*args: object) -> CommandOutcome:
            self.cluster.freeze(self.name)
            return await reserve(*args)

        self.cluster.workers.reserve = reserve_and_freeze
        self.cluster.submit(DOMAIN, **GANG)
        self.cluster.advance(4)
        self.cluster.workers.reserve = reserve
        self.cluster.gates[self.name].thaw()
        self.assertNotIn((FIRST, "commit"), self.cluster.workers.commands)

    def test_paused_start_is_not_committed_later(self) -> None:
        """Guards against a commit by a leader that was paused since its decision (G3)."""
        self.cluster.stores[self.name].delay = 0.2
        accepted = spawn(
            self.old.jobs.submit(JobSpec(AccountId("farmers"), "sort", idempotent=False))
        )
        while not any(job.record.attempts for job in self.old.jobs.jobs.values()):
            self.cluster.advance(0.05)
        self.cluster.freeze(self.name)
        self.cluster.advance(4)
        self.cluster.thaw(self.name)
        job_id = accepted.result().job_id
        self.assertEqual(self.cluster.running_attempts(job_id), {})

    def test_caller_at_a_peer_is_notified_of_the_loss_of_its_unrecorded_job(self) -> None:
        """Guards against a caller that keeps waiting for a job that no leader has."""
        self.cluster.stores[self.name].down = True
        self.cluster.advance(0.1)
        job_id = self.cluster.submit(DOMAIN, wait=True, **GANG)
        waiting = self.wait_elsewhere(job_id)
        self.cluster.kill(self.name)
        self.cluster.advance(20)
        self.assertTrue(waiting.done())
        self.assertIn("not known", waiting.result().detail)
        self.assertEqual(self.cluster.allocated_accelerators(), 0)

    def test_unreachable_worker_does_not_block_the_takeover(self) -> None:
        """Guards against a new leader that waits for an unreachable worker without a limit."""
        self.cluster.kill(self.name)
        self.cluster.workers.unreachable.add(self.cluster.address(SECOND))
        self.cluster.advance(12)
        job_id = self.cluster.submit(DOMAIN, accelerators=8, payload={"run_time": inf})
        self.cluster.advance(1)
        self.assertEqual(set(self.cluster.running_attempts(job_id)), {FIRST})
