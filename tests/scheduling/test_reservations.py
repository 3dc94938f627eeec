"""Tests of reservations, backfill, run time estimates, moves and the drain order."""

from __future__ import annotations

import unittest

from chivefall.model import JobId
from chivefall.scheduling import FreeCapacity, GuaranteePolicy, RunTimeEstimator, drain_order
from chivefall.scheduling._reservation import Reservation, unreserved_capacity
from tests.scheduling.views import URGENT, guarantee, queued, running, spec, view

NOW = 200.0


def plan_round(policy: GuaranteePolicy, workers: list, jobs: list, waiting: list, now: float = NOW):
    """Return the plan of one round."""
    return policy.plan(view(workers, jobs, waiting), now)


def starts(result: object) -> list[str]:
    """Return the names of the started jobs."""
    return [name for name, _ in result.starts]


class ReservationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.policy = GuaranteePolicy()
        resident = spec("buyers", 4, run_time=200.0)
        self.jobs = [running("b", resident, "a1", checkpointable=False)]
        self.head = queued("head", spec("farmers", 8))

    def run_round(self, *others: object, jobs: list | None = None, now: float = NOW):
        """Return the names of the jobs that one round starts while the large job is queued."""
        waiting = [self.head, *others]
        return starts(
            plan_round(self.policy, ["a1"], self.jobs if jobs is None else jobs, waiting, now)
        )

    def test_backfill_only_before_the_reservation(self) -> None:
        """Guards against small jobs that starve a large job."""
        short = queued("short", spec("captains", 2, run_time=50.0, idempotent=False), 101.0)
        long = queued("long", spec("captains", 2, run_time=500.0, idempotent=False), 101.0)
        self.assertEqual(self.run_round(long, short), ["short"])

    def test_backfill_outside_the_reserved_rack(self) -> None:
        """Guards against idle accelerators that the large job does not need."""
        long = queued("long", spec("captains", 2, run_time=5000.0), 101.0)
        result = plan_round(
            self.policy,
            ["a1", "b1"],
            [*self.jobs, running("c", spec("buyers", 6, run_time=900.0), "b1")],
            [self.head, long],
        )
        self.assertEqual(
            [(name, placement.members[0].worker) for name, placement in result.starts],
            [("long", "b1")],
        )

    def test_backfill_uses_corrected_run_times(self) -> None:
        """Guards against backfill by declared run times that are too short."""
        underestimated = spec("captains", 2, run_time=50.0, idempotent=False)
        for _ in range(3):
            self.policy.observe_finished(underestimated, 500.0)
        self.assertEqual(self.run_round(queued("short", underestimated, 101.0)), [])

    def test_overrun_enlarges_the_estimate(self) -> None:
        """Guards against a reserved start in the past, which stops all backfill or none."""
        estimator = RunTimeEstimator()
        job = running("b", spec("buyers", 4, run_time=50.0), "a1")
        self.assertEqual(estimator.remaining_seconds(job, 120.0), 30.0)
        self.assertEqual(estimator.remaining_seconds(job, 160.0), 40.0)
        self.assertEqual(estimator.remaining_seconds(job, 350.0), 150.0)

    def test_no_backfill_into_the_placement_after_its_end(self) -> None:
        """Guards against wrong run times that delay the reserved job without end."""
        short = queued("short", spec("captains", 2, run_time=10.0, idempotent=False), 101.0)
        self.assertEqual(self.run_round(short), ["short"])
        self.assertEqual(self.run_round(short, now=351.0), [])

    def test_whole_rack_is_held_after_the_end_of_backfill(self) -> None:
        """Guards against backfill in the reserved rack that moves the reservation repeatedly."""
        capacity = FreeCapacity(view(["a1", "a2", "b1"]).workers)
        gang = spec("farmers", 8)
        placement = running("head", gang, "a1").placement
        reservation = Reservation(JobId("head"), placement, 300.0, 350.0)
        totals = [
            unreserved_capacity(reservation, gang, capacity, now).total_free() for now in (340, 360)
        ]
        self.assertEqual(totals, [16, 8])

    def test_reservation_stays_with_its_job(self) -> None:
        """Guards against a reservation that moves to a newer job when fair shares change."""
        self.run_round()
        newer = queued("newer", spec("captains", 8), 150.0)
        jobs = [*self.jobs, running("c", spec("farmers", 2, run_time=200.0), "a1")]
        self.run_round(newer, jobs=jobs)
        self.assertEqual(self.policy.reservation.job_id, "head")
        self.assertEqual(self.run_round(newer, jobs=[]), ["head"])

    def test_reserved_job_starts_once(self) -> None:
        """Guards against starting one job twice, which would leak accelerators."""
        self.run_round()
        result = plan_round(self.policy, ["a1", "a2", "a3"], [], [self.head])
        self.assertEqual(starts(result), ["head"])

    def test_reservation_counts_jobs_started_in_the_same_round(self) -> None:
        """Guards against a gang without a reservation because another job started in the round."""
        urgent = queued("urgent", spec("captains", 2, urgency=URGENT), 101.0)
        self.assertEqual(self.run_round(urgent), ["urgent"])
        self.assertEqual(self.policy.reservation.job_id, "head")

    def test_reservation_is_dropped_with_its_job(self) -> None:
        """Guards against accelerators that stay reserved for a cancelled job."""
        self.run_round()
        long = queued("long", spec("captains", 2, run_time=5000.0), 101.0)
        result = plan_round(self.policy, ["a1"], self.jobs, [long])
        self.assertEqual(starts(result), ["long"])


class MoveTest(unittest.TestCase):
    def plan(self, **changes: object):
        """Return the plan for a gang that fits only after a small job is moved."""
        policy = GuaranteePolicy()
        jobs = [
            running("small", spec("buyers", 1, run_time=900.0, **changes), "a1"),
            running("other", spec("captains", 6, run_time=900.0), "b1"),
        ]
        waiting = [queued("gang", spec("farmers", 8))]
        return plan_round(policy, ["a1", "b1"], jobs, waiting)

    def test_moves_a_small_job_for_a_gang(self) -> None:
        """Guards against a gang that waits because small jobs fragment the rack."""
        self.assertEqual(self.plan().moves, ("small",))

    def test_moves_only_if_it_pays(self) -> None:
        """Guards against moves for a gang that soon fits anyway, and against too costly moves."""
        for size, left in ((1, 9.0), (7, 10.5)):
            policy = GuaranteePolicy()
            jobs = [
                running("small", spec("buyers", size, run_time=100.0 + left), "a1"),
                running("other", spec("captains", 1, run_time=900.0), "b1", checkpointable=False),
            ]
            result = plan_round(policy, ["a1", "b1"], jobs, [queued("gang", spec("farmers", 8))])
            self.assertEqual(result.moves, ())

    def test_moves_only_jobs_that_fit_elsewhere(self) -> None:
        """Guards against moving a job that then has to wait, as after a preemption."""
        policy = GuaranteePolicy()
        jobs = [
            running("small", spec("buyers", 5, run_time=900.0), "a1"),
            running("other", spec("captains", 5, run_time=900.0), "b1"),
            running("full", spec("captains", 1, run_time=900.0), "b1"),
        ]
        result = plan_round(policy, ["a1", "b1"], jobs, [queued("gang", spec("farmers", 7))])
        self.assertEqual(result.moves, ())

    def test_does_not_move_the_same_job_again(self) -> None:
        """Guards against moving a job back and forth."""
        policy = GuaranteePolicy()
        jobs = [
            running("small", spec("buyers", 1, run_time=900.0), "a1"),
            running("other", spec("captains", 6, run_time=900.0), "b1", checkpointable=False),
        ]
        waiting = [queued("gang", spec("farmers", 8))]
        moves = []
        for now, started in ((NOW, 100.0), (NOW + 60, NOW + 1)):
            jobs[0] = running("small", spec("buyers", 1, run_time=900.0), "a1", started_at=started)
            moves.append(plan_round(policy, ["a1", "b1"], jobs, waiting, now).moves)
        self.assertEqual(moves, [("small",), ()])


class BackfillPreemptionTest(unittest.TestCase):
    """Backfill of checkpointable jobs into a reserved placement."""

    def setUp(self) -> None:
        self.policy = GuaranteePolicy()
        self.first = running("first", spec("buyers", 6, run_time=900.0), "a1")
        self.head = queued("head", spec("farmers", 8))
        extra = queued("extra", spec("captains", 2, run_time=5000.0), 101.0)
        self.started = starts(plan_round(self.policy, ["a1"], [self.first], [self.head, extra]))

    def extra(self, **changes: object):
        """Return the backfilled job after its start."""
        return running(
            "extra", spec("captains", 2, run_time=5000.0), "a1", started_at=NOW, **changes
        )

    def test_uses_the_placement_until_it_is_needed(self) -> None:
        """Guards against idle accelerators until the last job in a reserved placement has ended."""
        self.assertEqual(self.started, ["extra"])
        result = plan_round(self.policy, ["a1"], [self.first, self.extra()], [self.head], NOW + 5)
        self.assertEqual((result.preemptions, starts(result)), ((), []))
        self.assertAlmostEqual(self.policy.reservation.starts_at, 1000.0)

    def test_is_preempted_as_soon_as_the_reserved_job_fits(self) -> None:
        """Guards against a large job that waits for jobs backfilled into its placement."""
        result = plan_round(self.policy, ["a1"], [self.extra()], [self.head], NOW + 300)
        self.assertEqual(result.preemptions, ("extra",))
        late = queued("late", spec("captains", 2, run_time=1.0), 150.0)
        leaving = self.extra(checkpointing=True)
        result = plan_round(self.policy, ["a1"], [leaving], [self.head, late], NOW + 300.25)
        self.assertEqual(starts(result), [])
        result = plan_round(self.policy, ["a1"], [], [self.head, late], NOW + 300.5)
        self.assertEqual(starts(result), ["head"])

    def test_non_idempotent_job_is_not_backfilled(self) -> None:
        """Guards against a checkpoint after which the outcome of a job may be unknown."""
        once = queued("once", spec("captains", 2, run_time=5000.0, idempotent=False), 101.0)
        result = plan_round(GuaranteePolicy(), ["a1"], [self.first], [self.head, once])
        self.assertEqual(starts(result), [])

    def test_other_jobs_are_not_preempted(self) -> None:
        """Guards against the preemption of jobs that ran before the reservation."""
        jobs = [running("first", spec("buyers", 6, run_time=900.0), "a1"), self.extra()]
        result = plan_round(self.policy, ["a1"], jobs, [self.head], NOW + 300)
        self.assertEqual(result.preemptions, ())


class DrainTest(unittest.TestCase):
    def test_order(self) -> None:
        """Guards against transferring urgent or guaranteed jobs too late."""
        jobs = [
            running("ending", spec("farmers", 1, run_time=101.0), "a1"),
            running("borrower", spec("buyers", 3, run_time=900.0), "a2"),
            running("long", spec("buyers", 4, run_time=900.0), "a3", started_at=10.0),
            running("own", spec("farmers", 2, run_time=900.0), "a1"),
            running("urgent", spec("buyers", 1, run_time=900.0, urgency=URGENT), "a2"),
            running("checkpointing", spec("farmers", 1, run_time=900.0), "a1", checkpointing=True),
        ]
        order = drain_order(jobs, (guarantee("farmers", 4),), RunTimeEstimator(), NOW)
        self.assertEqual(
            [job.job_id for job in order], ["own", "long", "urgent", "borrower", "ending"]
        )
