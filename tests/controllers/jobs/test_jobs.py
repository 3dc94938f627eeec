"""Jobs on an in-process cluster: records, rounds, preemption and cancellation."""

from __future__ import annotations

import unittest
from dataclasses import replace

import msgspec

from chivefall.controllers.jobs._records import MAX_RECORD_BYTES, encode_record
from chivefall.model import (
    Accepted,
    AccountId,
    Completed,
    GangMember,
    JobId,
    JobRecord,
    JobSpec,
    JobState,
    NotRun,
    NotRunReason,
    Placement,
    RackId,
    Unknown,
    Urgency,
    WorkerId,
)
from chivefall.net import HttpRequest
from chivefall.runtime import spawn
from chivefall.scheduling import ClusterView, FifoPolicy, Plan, SchedulingPolicy
from chivefall.store import JOB_SHARDS, job_key
from standins.cluster import Cluster

DOMAIN = "zarcero"
SPEC = JobSpec(AccountId("farmers"), "sort", {"run_time": 1.0})


class SubmitTest(unittest.TestCase):
    def test_every_domain_gets_a_leader_that_runs_jobs(self) -> None:
        """Guards against a domain without a leader."""
        cluster = Cluster()
        cluster.advance(3)
        for domain in ("zarcero", "tarrazu", "cartago"):
            leader = cluster.leader(domain)
            spec = JobSpec(AccountId("farmers"), "sort", {"run_time": 1.0}, gang_size=8)
            accepted = cluster.run(leader.jobs.submit(spec))
            self.assertIsInstance(accepted, Accepted)
            outcome = cluster.run(leader.job_router.wait(accepted.job_id, cluster.clock.now() + 60))
            self.assertIsInstance(outcome, Completed)


class OneDomainTest(unittest.TestCase):
    """A domain with one worker and a leader."""

    def setUp(self) -> None:
        self.cluster = Cluster((DOMAIN,), workers_per_domain=1)
        self.cluster.advance(3)
        self.leader = self.cluster.leader(DOMAIN)
        self.jobs = self.leader.jobs
        self.store = self.cluster.stores[self.leader.cfg.instance]

    def stored(self, job_id: str) -> JobRecord | None:
        """Return a job's record in the store."""
        item = self.cluster.state.get(job_key(DOMAIN, job_id))
        return item and msgspec.json.decode(item.value, type=JobRecord)


class RecordTest(OneDomainTest):
    def test_lost_reply_of_the_first_write_is_read_back(self) -> None:
        """Guards against NotRun for a job that is recorded (G5)."""
        self.store.lose_replies = 1
        accepted = self.cluster.run(self.jobs.submit(SPEC))
        self.assertIsInstance(accepted, Accepted)
        self.assertIsInstance(self.cluster.outcome(accepted.job_id), Completed)

    def test_unresolved_first_write_is_unknown(self) -> None:
        """Guards against NotRun for a job that may be recorded (G5)."""
        submitted = replace(SPEC, idempotent=False)
        self.store.lose_replies = 1
        read, self.store.get = self.store.get, None

        async def unreachable(_key: str):
            self.store.down = True
            return await read(_key)

        self.store.get = unreachable
        self.assertIsInstance(self.cluster.run(self.jobs.submit(submitted)), Unknown)

    def test_only_idempotent_jobs_with_a_caller_run_while_the_store_is_down(self) -> None:
        """Guards against unrecorded jobs that are not idempotent or have no waiting caller."""
        self.store.down = True
        for spec, wait in ((SPEC, False), (replace(SPEC, idempotent=False), True)):
            refused = self.cluster.run(self.jobs.submit(spec, wait))
            self.assertIs(refused.reason, NotRunReason.STORE_UNAVAILABLE)
        accepted = self.cluster.run(self.jobs.submit(SPEC, wait=True))
        self.assertIsInstance(self.cluster.outcome(accepted.job_id, 5), Completed)
        self.store.down = False
        self.cluster.advance(2)
        self.assertIs(self.stored(accepted.job_id).state, JobState.SUCCEEDED)

    def test_running_job_ends_during_an_outage_and_is_recorded_later(self) -> None:
        """Guards against outcomes that are delayed until the store is available."""
        job_id = self.cluster.submit(DOMAIN, payload={"run_time": 5.0})
        self.cluster.advance(1)
        self.store.down = True
        self.assertIsInstance(self.cluster.outcome(job_id, 6), Completed)
        self.assertIs(self.stored(job_id).state, JobState.RUNNING)
        self.store.down = False
        self.cluster.advance(2)
        self.assertIs(self.stored(job_id).state, JobState.SUCCEEDED)

    def test_attempt_is_recorded_before_its_first_command(self) -> None:
        """Guards against an attempt that the next leader does not find in the record (G6)."""
        job_id = self.cluster.submit(DOMAIN, idempotent=False)
        self.store.delay = 0.5
        self.cluster.advance(0.3)
        self.assertIs(self.jobs.status(job_id).state, JobState.STARTING)
        self.assertNotIn("reserve", {what for _, what in self.cluster.workers.commands})
        self.cluster.advance(1)
        self.assertTrue(self.cluster.running_attempts(job_id))

    def test_lost_reply_of_a_later_write_is_not_a_conflict(self) -> None:
        """Guards against a leader that steps down because of its own write."""
        job_id = self.cluster.submit(DOMAIN, payload={"run_time": 3.0})
        self.cluster.advance(1)
        self.store.lose_replies = 2
        self.cluster.advance(6)
        self.assertIs(self.stored(job_id).state, JobState.SUCCEEDED)
        self.assertTrue(self.leader.leader.leads)

    def test_write_of_another_leader_ends_the_leadership(self) -> None:
        """Guards against two leaders overwriting each other's records."""
        job_id = self.cluster.submit(DOMAIN, payload={"run_time": 3.0})
        self.cluster.advance(1)
        key = job_key(DOMAIN, job_id)
        item = self.cluster.state.get(key)
        self.cluster.state.put(key, item.value + b" ", item.version, None)
        epoch = self.leader.leader.epoch
        self.cluster.advance(2.5)
        self.assertNotEqual(self.leader.leader.epoch, epoch)

    def test_only_the_latest_state_is_written(self) -> None:
        """Guards against a queue of old states after an outage."""
        job_id = self.cluster.submit(DOMAIN, payload={"run_time": 100.0})
        self.cluster.advance(1)
        job = self.jobs.jobs[job_id]
        before = self.store.calls
        self.store.delay = 0.1
        for progress in range(20):
            job.record = replace(job.record, progress=float(progress))
            self.jobs.records.save(job)
        self.cluster.advance(0.5)
        self.assertEqual(self.stored(job_id).progress, 19.0)
        # Two record writes; the rest are periodic calls.
        self.assertLessEqual(self.store.calls - before, 4)

    def test_finished_records_are_deleted_after_a_day(self) -> None:
        """Guards against a store that fills up with old jobs."""
        ids = [self.cluster.submit(DOMAIN, accelerators=0) for _ in range(15)]
        self.cluster.advance(90)
        for job in self.jobs.jobs.values():
            job.record = replace(job.record, finished_at=job.record.finished_at - 86_400)
        self.cluster.advance(60)
        left = [job_id for job_id in ids if self.stored(job_id)]
        self.assertEqual(len(left), 5)
        self.cluster.advance(60)
        self.assertFalse([job_id for job_id in ids if self.stored(job_id)])

    def test_sizes_stay_below_the_store_limit(self) -> None:
        """Guards against records and lists that the store refuses."""
        refused = self.cluster.run(self.jobs.submit(replace(SPEC, payload="x" * 70_000)))
        self.assertIs(refused.reason, NotRunReason.BAD_REQUEST)
        members = tuple(GangMember(WorkerId(f"w{i:03}"), RackId("rack"), 1) for i in range(64))
        spec = replace(SPEC, payload="x" * 50_000, gang_size=64)
        answer = {member.worker: {"members": [1], "text": "y" * 100} for member in members}
        record = JobRecord(
            JobId("z.1"), spec, JobState.SUCCEEDED, placement=Placement(members), answer=answer
        )
        self.assertLess(len(encode_record(record)), len(spec.payload))
        sizes = [0] * JOB_SHARDS
        for number in range(800):  # a day's jobs of one domain at the target size
            shard = job_key(DOMAIN, JobId(f"{DOMAIN}.{number:016x}")).split("/")[2]
            sizes[int(shard)] += len(encode_record(record))
        self.assertLess(max(sizes), 1_000_000)
        self.assertLess(len(encode_record(replace(record, answer="z" * 10**6))), MAX_RECORD_BYTES)


class RecordingPolicy(SchedulingPolicy):
    """First-in, first-out policy that records its rounds and can return a prepared plan."""

    def __init__(self) -> None:
        self.rounds: list[float] = []
        self.next = Plan()

    def plan(self, view: ClusterView, now: float) -> Plan:
        """Return the prepared plan once, and first-in, first-out starts otherwise."""
        self.rounds.append(now)
        planned, self.next = self.next, Plan()
        return planned if planned != Plan() else FifoPolicy().plan(view, now)


class RoundTest(OneDomainTest):
    def setUp(self) -> None:
        super().setUp()
        self.policy = self.jobs._policy = RecordingPolicy()

    def test_no_rounds_without_changes(self) -> None:
        """Guards against rounds that use processor time while nothing changes."""
        self.cluster.submit(DOMAIN, payload={"run_time": 100.0})
        self.cluster.advance(1)
        rounds = len(self.policy.rounds)
        self.cluster.advance(60)
        self.assertEqual(len(self.policy.rounds), rounds)

    def test_few_rounds_while_jobs_are_queued(self) -> None:
        """Guards against a round each second while jobs are queued."""
        for _ in range(12):
            self.cluster.submit(DOMAIN, accelerators=8, payload={"run_time": 100.0})
        self.cluster.advance(1)
        rounds = len(self.policy.rounds)
        self.cluster.advance(60)
        self.assertIn(len(self.policy.rounds) - rounds, range(5, 8))

    def test_change_triggers_a_round_at_once(self) -> None:
        """Guards against work that waits for the next periodic round."""
        first = self.cluster.submit(DOMAIN, accelerators=8, payload={"run_time": 5.0})
        second = self.cluster.submit(DOMAIN, accelerators=8)
        self.cluster.advance(0.25)
        self.assertTrue(self.cluster.running_attempts(first))
        self.cluster.advance(5.1)
        self.assertTrue(self.cluster.running_attempts(second))

    def test_preempted_job_continues_from_its_checkpoint(self) -> None:
        """Guards against lost progress when a guarantee is reclaimed."""
        job_id = self.cluster.submit(DOMAIN, payload={"run_time": 10.0})
        self.cluster.advance(6)
        self.policy.next = Plan(preemptions=(job_id,))
        urgent = {"accelerators": 8, "urgency": Urgency.URGENT}
        self.cluster.submit(DOMAIN, **urgent, payload={"run_time": 2.0})
        self.cluster.advance(1)
        record = self.jobs.status(job_id)
        self.assertIs(record.state, JobState.QUEUED)
        self.assertGreater(record.progress, 5.0)
        self.cluster.advance(6)
        self.assertIs(self.jobs.status(job_id).state, JobState.SUCCEEDED)

    def test_share_without_a_checkpoint_is_stopped(self) -> None:
        """Guards against a preemption that leaves a share running."""
        job_id = self.cluster.submit(DOMAIN, payload={"run_time": 10.0})
        self.cluster.advance(1)
        self.cluster.workers.unreachable_commands.add((f"{DOMAIN}-w00", "checkpoint"))
        self.policy.next = Plan(moves=(job_id,))
        urgent = {"accelerators": 8, "urgency": Urgency.URGENT}
        self.cluster.submit(DOMAIN, **urgent, payload={"run_time": 2.0})
        self.cluster.advance(0.5)
        self.assertEqual(self.cluster.running_attempts(job_id), {})
        self.assertIsNone(self.jobs.status(job_id).checkpoint)

    def test_rejected_job_ends_with_the_reason(self) -> None:
        """Guards against a job that stays queued although it can never run."""
        job_id = self.cluster.submit(DOMAIN, gang_size=64, accelerators=8)
        self.policy.next = Plan(rejections={job_id: "no rack has 512 accelerators"})
        self.jobs.request_round()
        outcome = self.cluster.outcome(job_id)
        self.assertEqual(outcome, NotRun(NotRunReason.INFEASIBLE, "no rack has 512 accelerators"))


class CancelTest(OneDomainTest):
    def cancel(self, job_id: str) -> JobRecord:
        return self.cluster.run(self.leader.job_router.cancel(job_id))

    def test_running_job_is_stopped_and_finished_job_is_left_unchanged(self) -> None:
        """Guards against accelerators that stay allocated to a cancelled job."""
        running = self.cluster.submit(DOMAIN, payload={"run_time": 100.0})
        self.cluster.advance(1)
        self.assertIs(self.cancel(running).state, JobState.CANCELLED)
        self.assertEqual(self.cluster.allocated_accelerators(), 0)
        self.assertIs(self.stored(running).state, JobState.CANCELLED)
        finished = self.cluster.submit(DOMAIN, payload={"run_time": 0.1})
        self.assertIsInstance(self.cluster.outcome(finished), Completed)
        self.assertIs(self.cancel(finished).state, JobState.SUCCEEDED)

    def test_queued_job_did_not_run(self) -> None:
        """Guards against Unknown for a job that provably did not run."""
        self.cluster.submit(DOMAIN, accelerators=8, payload={"run_time": 100.0})
        queued = self.cluster.submit(DOMAIN, accelerators=8)
        self.cluster.advance(0.5)
        waiting = spawn(self.leader.job_router.wait(queued, self.cluster.clock.now() + 30))
        self.assertIs(self.cancel(queued).state, JobState.CANCELLED)
        self.cluster.advance(1)
        self.assertIs(waiting.result().reason, NotRunReason.CANCELLED)

    def test_many_cancellations_share_a_few_rounds(self) -> None:
        """Guards against a round for each cancellation and against too many writes at once."""
        policy = self.jobs._policy = RecordingPolicy()
        self.cluster.submit(DOMAIN, accelerators=8, payload={"run_time": 100.0})
        ids = [self.cluster.submit(DOMAIN, accelerators=8) for _ in range(100)]
        self.cluster.advance(0.5)
        rounds = len(policy.rounds)
        self.store.delay, most_writes = 0.01, 0
        results = [spawn(self.leader.job_router.cancel(job_id)) for job_id in ids]
        for _ in range(10):
            self.cluster.advance(0.05)
            most_writes = max(most_writes, self.jobs.records._writing)
        self.assertEqual({fut.result().state for fut in results}, {JobState.CANCELLED})
        self.assertLessEqual(len(policy.rounds) - rounds, 3)
        self.assertLessEqual(most_writes, 16)

    def test_cancellation_over_http(self) -> None:
        """Guards against an HTTP interface that cannot cancel."""
        job_id = self.cluster.submit(DOMAIN, payload={"run_time": 100.0})
        for path, status in ((f"/v1/jobs/{job_id}", 200), (f"/v1/jobs/{DOMAIN}.none", 404)):
            fut = self.leader.api.serve(HttpRequest("DELETE", path))
            self.cluster.advance(1)
            self.assertEqual(fut.result().status, status)
