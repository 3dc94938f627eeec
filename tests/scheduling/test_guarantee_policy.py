"""Tests of guarantees, urgent jobs, fair shares and rejections."""

from __future__ import annotations

import unittest
from dataclasses import replace

from chivefall.model import Account, AccountId, Adjacency, WorkerState
from chivefall.scheduling import GuaranteePolicy
from tests.scheduling.views import URGENT, WORKER, guarantee, queued, running, spec, view

NOW = 200.0


def plan(*args: object, policy: GuaranteePolicy | None = None, now: float = NOW, **kwargs: object):
    """Return the plan of a policy for a cluster view with these workers, jobs and settings."""
    return (policy or GuaranteePolicy()).plan(view(*args, **kwargs), now)


def starts(result: object) -> list[str]:
    """Return the names of the started jobs."""
    return [name for name, _ in result.starts]


class ReclaimTest(unittest.TestCase):
    OWN = (guarantee("farmers", 8),)

    def test_reclaims_a_shape_from_borrowers(self) -> None:
        """Guards against an account that waits while borrowers use its guarantee (G1)."""
        jobs = [running("b", spec("buyers", 8), "a1"), running("c", spec("buyers", 8), "a2")]
        result = plan(["a1", "a2"], jobs, [queued("j", spec("farmers", 8))], guarantees=self.OWN)
        self.assertEqual(len(result.preemptions), 1)

    def test_no_preemption_when_free_capacity_suffices(self) -> None:
        """Guards against unnecessary preemption."""
        jobs = [running("b", spec("buyers", 8), "a1")]
        result = plan(["a1", "a2"], jobs, [queued("j", spec("farmers", 8))], guarantees=self.OWN)
        self.assertEqual((starts(result), result.preemptions), (["j"], ()))

    def test_never_preempts_inside_another_guarantee(self) -> None:
        """Guards against preempting jobs that another account's guarantee covers."""
        jobs = [running("b", spec("buyers", 8), "a1"), running("c", spec("captains", 8), "a2")]
        shapes = (*self.OWN, guarantee("captains", 8))
        result = plan(["a1", "a2"], jobs, [queued("j", spec("farmers", 8))], guarantees=shapes)
        self.assertEqual(result.preemptions, ("b",))
        for urgency in (URGENT, spec("x", 1).urgency):
            waiting = [queued("j", spec("buyers", 2, urgency=urgency))]
            result = plan(["a2"], jobs[1:], waiting, guarantees=shapes)
            self.assertEqual(result.preemptions, ())

    def test_chooses_least_lost_work_and_fewest_jobs(self) -> None:
        """Guards against preempting a long-running job or many jobs when one young job suffices."""
        old = running("old", spec("buyers", 8), "a1", started_at=100.0)
        young = running("young", spec("buyers", 8), "a2", started_at=190.0)
        small = [
            running(f"s{index}", spec("buyers", 1), "a3", started_at=190.0) for index in range(8)
        ]
        waiting = [queued("j", spec("farmers", 8))]
        result = plan(["a1", "a2", "a3"], [old, *small, young], waiting, guarantees=self.OWN)
        self.assertEqual(result.preemptions, ("young",))

    def test_preempted_capacity_is_held_during_the_checkpoint(self) -> None:
        """Guards against backfill that uses accelerators reclaimed for another job."""
        waiting = [queued("j", spec("farmers", 8)), queued("k", spec("buyers", 4, run_time=1.0))]
        members = [running("b", spec("buyers", 4), "a1"), running("c", spec("buyers", 4), "a1")]
        for policy in (GuaranteePolicy(), GuaranteePolicy()):
            first = plan(["a1"], members, waiting, guarantees=self.OWN, policy=policy)
            self.assertEqual(sorted(first.preemptions), ["b", "c"])
            # One checkpoint is complete, the other in progress; a new policy object stands
            # for a new leader.
            jobs = [replace(members[0], checkpointing=True)]
            second = plan(["a1"], jobs, waiting, guarantees=self.OWN, policy=GuaranteePolicy())
            self.assertEqual((second.starts, second.preemptions), ((), ()))
            third = plan(["a1"], [], waiting, guarantees=self.OWN, policy=policy)
            self.assertEqual(starts(third), ["j"])

    def test_requested_checkpoint_is_not_requested_again(self) -> None:
        """Guards against more preemptions while the first checkpoints have not started yet."""
        policy = GuaranteePolicy()
        jobs = [running("b", spec("buyers", 8), "a1"), running("c", spec("buyers", 8), "a2")]
        waiting = [queued("j", spec("farmers", 8))]
        plans = [
            plan(["a1", "a2"], jobs, waiting, guarantees=self.OWN, policy=policy, now=now)
            for now in (NOW, NOW + 0.25, NOW + 60)
        ]
        self.assertEqual([len(item.preemptions) for item in plans], [1, 0, 1])

    def test_holds_the_placement_of_borrowers_that_are_starting(self) -> None:
        """Guards against new borrowers that start before the previous one can be checkpointed."""
        jobs = [running("b", spec("buyers", 6), "a1", checkpointable=False)]
        waiting = [queued("j", spec("farmers", 8)), queued("k", spec("buyers", 2, run_time=1.0))]
        result = plan(["a1"], jobs, waiting, guarantees=self.OWN)
        self.assertEqual((result.starts, result.preemptions), ((), ()))

    def test_commands_that_start_slowly_keep_the_shape_reclaimable(self) -> None:
        """Guards against borrowers that block a guaranteed shape until they are checkpointable."""
        policy = GuaranteePolicy()
        starting = [running("b", spec("buyers", 2), "a1", checkpointable=False)]
        waiting = [queued("k", spec("buyers", 2))]
        for now in (NOW, NOW + 20.0):
            plan(["a1", "a2"], starting, waiting, policy=policy, now=now)
        kwargs = {"guarantees": (guarantee("farmers", 8),), "policy": policy, "now": NOW + 21}
        self.assertEqual(starts(plan(["a1", "a2"], starting, waiting, **kwargs)), ["k"])
        self.assertEqual(starts(plan(["a1"], [], waiting, **kwargs)), [])

    def test_non_idempotent_jobs_keep_the_shape_reclaimable(self) -> None:
        """Guards against borrowers inside a guaranteed shape that can never be preempted (G1)."""
        shape = (guarantee("farmers", 8),)
        once = queued("once", spec("buyers", 4, idempotent=False))
        again = queued("again", spec("buyers", 4))
        for workers, expected in ((["a1"], ["again"]), (["a1", "b1"], ["once", "again"])):
            plan = GuaranteePolicy().plan(view(workers, (), [once, again], guarantees=shape), 200.0)
            self.assertEqual(sorted(name for name, _ in plan.starts), sorted(expected))

    def test_larger_job_replaces_the_accounts_own_small_ones(self) -> None:
        """Guards against a guaranteed gang that waits for small jobs of its own account."""
        jobs = [running(f"s{index}", spec("farmers", 1), "a1") for index in range(8)]
        result = plan(["a1"], jobs, [queued("j", spec("farmers", 8))], guarantees=self.OWN)
        self.assertEqual(len(result.preemptions), 8)

    def test_guaranteed_starts_keep_other_shapes_adjacent(self) -> None:
        """Guards against protected jobs placed so that another unused shape no longer fits."""
        shapes = (
            guarantee("farmers", 1, 8, adjacency=WORKER),
            guarantee("captains", 2, adjacency=Adjacency.DOMAIN),
        )
        jobs = [
            running("p", spec("captains", 1), "b1"),
            running("q", spec("buyers", 6), "a1"),
            running("r", spec("buyers", 4), "b1"),
        ]
        result = plan(["a1", "b1"], jobs, [queued("j", spec("captains", 1))], guarantees=shapes)
        self.assertEqual(result.starts[0][1].members[0].worker, "b1")

    def test_reclaims_of_one_round_are_limited(self) -> None:
        """Guards against long rounds when many jobs reclaim at once."""
        names = [f"a{index}" for index in range(10)]
        jobs = [running(f"b{name}", spec("buyers", 8), name) for name in names]
        waiting = [queued(f"j{name}", spec("farmers", 8)) for name in names]
        shapes = (replace(guarantee("farmers", 8), gangs=10),)
        self.assertEqual(len(plan(names, jobs, waiting, guarantees=shapes).preemptions), 8)


class UrgentTest(unittest.TestCase):
    def test_urgent_preempts_borrowers_of_any_account(self) -> None:
        """Guards against urgent jobs that wait for borrowers."""
        jobs = [running("b", spec("farmers", 8), "a1")]
        result = plan(["a1"], jobs, [queued("j", spec("farmers", 2, urgency=URGENT))])
        self.assertEqual(result.preemptions, ("b",))

    def test_urgent_replaces_its_accounts_guaranteed_normal_work(self) -> None:
        """Guards against urgent jobs that wait for normal jobs of their own account."""
        jobs = [running("b", spec("farmers", 8), "a1")]
        waiting = [queued("j", spec("farmers", 2, urgency=URGENT))]
        result = plan(["a1"], jobs, waiting, guarantees=(guarantee("farmers", 8),))
        self.assertEqual(result.preemptions, ("b",))

    def test_urgent_does_not_preempt_urgent_borrowers(self) -> None:
        """Guards against urgent jobs that preempt each other in turn."""
        jobs = [running("b", spec("buyers", 8, urgency=URGENT), "a1")]
        result = plan(["a1"], jobs, [queued("j", spec("farmers", 2, urgency=URGENT))])
        self.assertEqual(result.preemptions, ())

    def test_urgent_uses_capacity_reserved_for_a_large_job(self) -> None:
        """Guards against reserved accelerators that are free but withheld from urgent jobs."""
        jobs = [running("b", spec("buyers", 4), "a1")]
        waiting = [queued("g", spec("farmers", 8)), queued("j", spec("farmers", 2, urgency=URGENT))]
        self.assertEqual(starts(plan(["a1"], jobs, waiting)), ["j"])


class ShareTest(unittest.TestCase):
    def test_account_that_borrows_least_goes_first(self) -> None:
        """Guards against an account that borrows everything by submitting first."""
        jobs = [running("b", spec("buyers", 8), "a1")]
        waiting = [queued("x", spec("buyers", 8), 1.0), queued("y", spec("farmers", 8), 2.0)]
        self.assertEqual(starts(plan(["a1", "a2"], jobs, waiting)), ["y"])

    def test_preempted_job_resumes_first(self) -> None:
        """Guards against a preempted job that is queued behind newer jobs."""
        waiting = [
            queued("x", spec("farmers", 8), 1.0),
            queued("y", spec("buyers", 8), 2.0, checkpointed_seconds=9),
        ]
        self.assertEqual(starts(plan(["a1"], [], waiting)), ["y"])

    def test_small_differences_of_shares_do_not_reorder(self) -> None:
        """Guards against small jobs that always overtake the gangs of a busy account."""
        jobs = [running("b", spec("buyers", 1), "a1")]
        waiting = [queued("x", spec("buyers", 7), 1.0), queued("y", spec("farmers", 2), 2.0)]
        self.assertEqual(starts(plan(["a1"], jobs, waiting)), ["x"])

    def test_quota(self) -> None:
        """Guards against usage beyond the quota."""
        accounts = {AccountId("buyers"): Account(max_accelerators=5)}
        jobs = [running("b", spec("buyers", 4), "a1")]
        for changes in ({}, {"urgency": URGENT}):
            waiting = [queued("x", spec("buyers", 2, **changes)), queued("y", spec("farmers", 2))]
            self.assertEqual(starts(plan(["a1"], jobs, waiting, accounts=accounts)), ["y"])

    def test_nothing_starts_while_draining(self) -> None:
        """Guards against starting jobs in a domain out of service (G3)."""
        result = plan(["a1"], [], [queued("x", spec("buyers", 2))], draining=True)
        self.assertEqual(result.starts, ())

    def test_probation_worker_gets_one_job(self) -> None:
        """Guards against the failure of many jobs on a faulty worker."""
        cluster = view(["a1"], [], [queued(name, spec("buyers", 1)) for name in "xy"])
        workers = (replace(cluster.workers[0], state=WorkerState.PROBATION),)
        result = GuaranteePolicy().plan(replace(cluster, workers=workers), NOW)
        self.assertEqual(starts(result), ["x"])
        cluster = view(["a1"], [running("b", spec("buyers", 1, 0), "a1")], cluster.queued)
        result = GuaranteePolicy().plan(replace(cluster, workers=workers), NOW)
        self.assertEqual(starts(result), [])

    def test_work_without_accelerators_is_spread(self) -> None:
        """Guards against all jobs without accelerators on one worker."""
        waiting = [queued(f"p{index}", spec("buyers", 1, 0)) for index in range(4)]
        result = plan(["a1", "a2"], [], waiting)
        names = [placement.members[0].worker for _, placement in result.starts]
        self.assertEqual(sorted(names), ["a1", "a1", "a2", "a2"])


class RejectionTest(unittest.TestCase):
    def test_impossible_jobs_are_rejected_with_the_reason(self) -> None:
        """Guards against jobs that stay queued forever."""
        accounts = {AccountId("buyers"): Account(max_accelerators=12)}
        waiting = [
            queued("rack", spec("farmers", 17)),
            queued("worker", spec("farmers", 9, adjacency=WORKER)),
            queued("domain", spec("farmers", 33, adjacency=Adjacency.DOMAIN)),
            queued("quota", spec("buyers", 13)),
            queued("fine", spec("farmers", 32, adjacency=Adjacency.DOMAIN)),
        ]
        result = plan(["a1", "a2", "b1", "b2"], [], waiting, accounts=accounts)
        self.assertEqual(set(result.rejections), {"rack", "worker", "domain", "quota"})
        self.assertIn("fits no rack", result.rejections["rack"])
        self.assertIn("quota", result.rejections["quota"])

    def test_lost_worker_does_not_make_a_job_impossible(self) -> None:
        """Guards against rejecting a job because of a temporary failure of a worker."""
        policy = GuaranteePolicy()
        waiting = [queued("j", spec("farmers", 16))]
        plan(["a1", "a2"], [], waiting, policy=policy)
        waiting = [queued("k", spec("farmers", 15))]
        self.assertEqual(plan(["a1"], [], waiting, policy=policy).rejections, {})
        cluster = view(["a1", "a2"], [], waiting)
        workers = (cluster.workers[0], replace(cluster.workers[1], state=WorkerState.LOST))
        result = GuaranteePolicy().plan(replace(cluster, workers=workers), NOW)
        self.assertEqual((result.starts, result.rejections), ((), {}))
