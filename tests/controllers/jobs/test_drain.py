"""Transfer of jobs between failure domains, and domains taken out of service."""

from __future__ import annotations

import unittest

from chivefall.model import (
    Completed,
    DomainState,
    InstanceId,
    JobRecord,
    JobState,
)
from chivefall.runtime import spawn
from chivefall.scheduling import ClusterView, Plan, SchedulingPolicy
from standins.cluster import Cluster

HERE, THERE = "zarcero", "tarrazu"
OUT, IN = DomainState.OUT_OF_SERVICE, DomainState.IN_SERVICE
LONG = {"accelerators": 8, "payload": {"run_time": 60.0}}


class RejectingPolicy(SchedulingPolicy):
    """Rejects every queued job."""

    def plan(self, view: ClusterView, now: float) -> Plan:
        """Return a rejection of each queued job."""
        return Plan(rejections={job.job_id: "too large" for job in view.queued})


class DrainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster((HERE, THERE), workers_per_domain=2)
        self.cluster.advance(3)
        self.source = self.cluster.leader(HERE)

    def records(self, job_id: str) -> dict[str, JobRecord]:
        """Return a job's record in each domain that has one."""
        found = {d: self.cluster.leader(d).jobs.status(job_id) for d in (HERE, THERE)}
        return {domain: record for domain, record in found.items() if record}

    def domains_of(self, job_id: str) -> set[str]:
        """Return the domains whose workers run a job."""
        return {name.partition("-")[0] for name in self.cluster.running_attempts(job_id)}

    def test_moved_jobs_keep_their_progress_and_callers(self) -> None:
        """Guards against lost progress or outcomes when a domain goes out of service."""
        ids = [self.cluster.submit(HERE, **LONG) for _ in range(3)]
        self.cluster.advance(20)
        deadline = self.cluster.clock.now() + 300
        waiting = [spawn(self.source.job_router.wait(job_id, deadline)) for job_id in ids]
        commits = len(self.cluster.workers.commands)
        self.cluster.set_domain_state(HERE, OUT)
        self.cluster.advance(15)
        self.assertEqual({d for job_id in ids for d in self.domains_of(job_id)}, {THERE})
        after = self.cluster.workers.commands[commits:]
        self.assertFalse([name for name, what in after if what == "commit" and HERE in name])
        self.assertIs(self.records(ids[0])[HERE].state, JobState.MOVED)
        self.assertGreater(self.records(ids[0])[THERE].progress, 15.0)
        status = self.cluster.run(self.source.job_router.status(ids[0], 0.0))
        self.assertIs(status.state, JobState.RUNNING)
        self.cluster.advance(120)
        self.assertEqual({type(fut.result()) for fut in waiting}, {Completed})

    def test_lost_reply_of_a_transfer_creates_one_job(self) -> None:
        """Guards against a job that runs in two domains."""
        operations = self.cluster.network.peers[self.cluster.leader(THERE).cfg.instance]._operations
        serve = operations["transfer_job"]
        link = frozenset((self.source.cfg.instance, self.cluster.leader(THERE).cfg.instance))

        def serve_and_cut(body: object):
            self.cluster.network.cut.add(link)
            return serve(body)

        operations["transfer_job"] = serve_and_cut
        for _ in range(2):
            self.cluster.submit(HERE, **LONG, idempotent=False)
        job_id = self.cluster.submit(HERE, **LONG, idempotent=False)
        self.cluster.set_domain_state(HERE, OUT)
        self.cluster.advance(3)
        operations["transfer_job"] = serve
        self.cluster.advance(3)
        self.cluster.network.cut.clear()
        self.cluster.advance(10)
        self.assertIs(self.records(job_id)[HERE].state, JobState.MOVED)
        self.assertEqual(self.domains_of(job_id), {THERE})
        self.assertEqual(len(self.cluster.running_attempts(job_id)), 1)

    def test_crash_between_create_and_mark_repeats_the_transfer(self) -> None:
        """Guards against a job lost or duplicated by a leader crash during its transfer."""
        self.cluster = Cluster((HERE, THERE, "cartago"), workers_per_domain=2)
        self.cluster.advance(3)
        self.source = self.cluster.leader(HERE)
        target = self.cluster.leader(THERE).cfg.instance
        operations = self.cluster.network.peers[target]._operations
        serve = operations["transfer_job"]

        def serve_and_kill(body: object):
            operations["transfer_job"] = serve
            fut = serve(body)
            self.cluster.kill(self.source.cfg.instance)
            return fut

        operations["transfer_job"] = serve_and_kill
        for _ in range(2):
            self.cluster.submit(HERE, **LONG, idempotent=False)
        job_id = self.cluster.submit(HERE, **LONG, idempotent=False)
        self.cluster.set_domain_state(HERE, OUT)
        self.cluster.advance(25)
        self.assertIs(self.records(job_id)[HERE].state, JobState.MOVED)
        self.assertEqual(self.records(job_id)[THERE].transfers, 1)
        self.assertIsNone(self.cluster.leader("cartago").jobs.status(job_id))
        self.assertIsInstance(self.cluster.outcome(job_id, 120), Completed)
        self.assertEqual(self.records(job_id)[THERE].attempts, 1)

    def test_start_in_progress_is_not_committed(self) -> None:
        """Guards against a commit in a domain that went out of service since the decision (G3)."""
        reserve = self.cluster.workers.reserve

        async def reserve_late(*args: object):
            self.cluster.set_domain_state(HERE, OUT)
            self.source.document.adopt(self.cluster.document)
            return await reserve(*args)

        self.cluster.workers.reserve = reserve_late
        self.cluster.submit(HERE, **LONG)
        self.cluster.advance(0.5)
        self.assertNotIn("commit", {what for _, what in self.cluster.workers.commands})

    def test_job_that_no_other_domain_accepts_keeps_its_checkpoint(self) -> None:
        """Guards against losing a job because no other domain is in service."""
        self.cluster.set_domain_state(THERE, OUT)
        job_id = self.cluster.submit(HERE, **LONG)
        self.cluster.advance(20)
        self.cluster.set_domain_state(HERE, OUT)
        self.cluster.advance(10)
        record = self.records(job_id)[HERE]
        self.assertIs(record.state, JobState.QUEUED)
        self.assertGreater(record.progress, 15.0)
        self.cluster.set_domain_state(HERE, IN)
        self.cluster.advance(2)
        self.assertEqual(self.domains_of(job_id), {HERE})

    def test_running_non_idempotent_job_stays_until_its_end(self) -> None:
        """Guards against a second run of a non-idempotent job by a drain (G6)."""
        job_id = self.cluster.submit(HERE, **LONG, idempotent=False)
        self.cluster.advance(1)
        self.cluster.set_domain_state(HERE, OUT)
        self.cluster.advance(30)
        self.assertEqual(self.domains_of(job_id), {HERE})
        self.assertIsInstance(self.cluster.outcome(job_id), Completed)

    def test_queued_jobs_return_in_batches(self) -> None:
        """Guards against a domain back in service that gets no jobs or too many at once."""
        ids = [
            self.cluster.submit(HERE, accelerators=1, payload={"run_time": 900.0})
            for _ in range(32)
        ]
        self.cluster.set_domain_state(HERE, OUT)
        self.cluster.advance(20)
        moved = [job_id for job_id in ids if self.domains_of(job_id) == {THERE}]
        self.assertEqual(len(moved), 16)
        self.cluster.set_domain_state(HERE, IN)
        counts = []
        for _ in range(6):
            before = sum(self.domains_of(job_id) == {HERE} for job_id in ids)
            self.cluster.advance(5)
            counts.append(sum(self.domains_of(job_id) == {HERE} for job_id in ids) - before)
        self.assertEqual(sum(counts), 16)
        self.assertLessEqual(max(counts), 8)
        self.assertEqual([j for j in moved if self.domains_of(j) != {THERE}], [])

    def test_rejected_job_is_offered_to_the_other_domains_first(self) -> None:
        """Guards against ending a job that fits another domain."""
        self.source.jobs._policy = RejectingPolicy()
        job_id = self.cluster.submit(HERE, **LONG)
        self.cluster.advance(1)
        self.assertEqual(self.domains_of(job_id), {THERE})

    def test_moved_job_is_found_while_its_origin_has_no_leader(self) -> None:
        """Guards against Accepted or Unknown for a job that runs in another domain."""
        job_id = self.cluster.submit(HERE, **LONG)
        self.cluster.advance(10)
        self.cluster.set_domain_state(HERE, OUT)
        self.cluster.advance(10)
        for index in (1, 2):
            self.cluster.kill(InstanceId(f"{HERE}-{index}"))
        self.cluster.advance(5)
        router = self.cluster.leader(THERE).job_router
        now = self.cluster.clock.now()
        self.assertIs(self.cluster.run(router.status(job_id, now)).state, JobState.RUNNING)
        self.assertIsInstance(self.cluster.run(router.wait(job_id, now + 90), 100), Completed)

    def test_job_that_only_fits_elsewhere_moves(self) -> None:
        """Guards against a large job that stays queued where it can never run."""
        instances = self.cluster.workers.instances
        self.cluster.workers.instances = tuple(
            item for item in instances if item.instance != f"{HERE}-w01"
        )
        self.cluster.advance(6)
        job_id = self.cluster.submit(HERE, gang_size=2, accelerators=8)
        self.cluster.advance(12)
        self.assertEqual(self.domains_of(job_id), {THERE})
