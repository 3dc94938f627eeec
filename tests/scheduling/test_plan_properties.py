"""Property-based tests of plans."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from chivefall.model import Adjacency, Urgency, WorkerId, WorkerState
from chivefall.scheduling import ClusterView, FreeCapacity, GuaranteePolicy
from chivefall.scheduling._guarantees import GuaranteeLedger
from tests.scheduling.views import guarantee, queued, running, spec, view

WORKERS = ("a1", "a2", "b1", "b2")
ACCOUNTS = ("farmers", "buyers", "captains")

specs = st.builds(
    spec,
    st.sampled_from(ACCOUNTS),
    st.integers(1, 10),
    st.integers(0, 4),
    adjacency=st.sampled_from(Adjacency),
    run_time=st.sampled_from([1.0, 50.0, 5000.0]),
    urgency=st.sampled_from(Urgency),
)


@st.composite
def views(draw: st.DrawFn) -> ClusterView:
    """Draw a cluster view in which the running jobs fit their workers."""
    capacity = FreeCapacity(view(WORKERS).workers)
    jobs = []
    for index, job_spec in enumerate(draw(st.lists(specs, max_size=8))):
        placement = capacity.find_placement(job_spec)
        if placement is not None:
            capacity.allocate(placement)
            job = running(
                f"r{index}",
                job_spec,
                "a1",
                checkpointable=draw(st.booleans()),
                checkpointing=draw(st.booleans()),
            )
            jobs.append(replace(job, placement=placement))
    waiting = [
        queued(f"q{index}", job_spec, float(index), avoid=(WorkerId("a1"),))
        for index, job_spec in enumerate(draw(st.lists(specs, max_size=8)))
    ]
    shapes = tuple(
        guarantee(account, draw(st.integers(1, 8)), adjacency=draw(st.sampled_from(Adjacency)))
        for account in ACCOUNTS[:2]
    )
    cluster = view(WORKERS, jobs, waiting, guarantees=shapes)
    states = draw(st.tuples(*[st.sampled_from([*WorkerState] + [WorkerState.HEALTHY] * 3)] * 4))
    pairs = zip(cluster.workers, states, strict=True)
    return replace(cluster, workers=tuple(replace(worker, state=state) for worker, state in pairs))


class PlanPropertiesTest(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None, max_examples=150)
    @given(views())
    def test_starts_are_whole_gangs_that_fit_together(self, cluster: ClusterView) -> None:
        """Guards against partial gangs and against allocating an accelerator twice (G2)."""
        result = GuaranteePolicy().plan(cluster, 1000.0)
        waiting = {job.job_id: job.spec for job in cluster.queued}
        workers = {worker.worker: worker for worker in cluster.workers}
        used: Counter[str] = Counter()
        jobs_on: Counter[str] = Counter()
        for name, placement in result.starts:
            job_spec = waiting.pop(name)
            self.assertEqual(
                [member.accelerators for member in placement],
                [job_spec.accelerators] * job_spec.gang_size,
            )
            names = {member.worker for member in placement}
            jobs_on.update(names)
            if job_spec.adjacency is Adjacency.WORKER:
                self.assertEqual(len(names), 1)
            elif job_spec.adjacency is Adjacency.RACK:
                self.assertEqual(len({member.rack for member in placement}), 1)
            for member in placement:
                self.assertEqual(member.rack, workers[member.worker].rack)
                used[member.worker] += member.accelerators
        before = Counter(m.worker for job in cluster.running for m in job.placement)
        for name, count in jobs_on.items():
            worker = workers[name]
            self.assertIn(worker.state, (WorkerState.HEALTHY, WorkerState.PROBATION))
            self.assertLessEqual(used[name], worker.free)
            if worker.state is WorkerState.PROBATION:
                self.assertEqual((count, before[name]), (1, 0))

    @settings(derandomize=True, database=None, deadline=None, max_examples=150)
    @given(views())
    def test_only_allowed_jobs_are_checkpointed(self, cluster: ClusterView) -> None:
        """Guards against checkpoints of jobs that are starting, leaving or protected."""
        result = GuaranteePolicy().plan(cluster, 1000.0)
        jobs = {job.job_id: job for job in cluster.running}
        checkpointed = [*result.preemptions, *result.moves]
        self.assertEqual(len(checkpointed), len(set(checkpointed)))
        for name in checkpointed:
            self.assertTrue(jobs[name].checkpointable and not jobs[name].checkpointing)
        ledger = GuaranteeLedger(cluster.guarantees, cluster.running)
        claimants = {job.spec.account for job in cluster.queued}
        for name in checkpointed:
            if jobs[name].spec.account not in claimants:
                self.assertFalse(ledger.is_protected(jobs[name]))
