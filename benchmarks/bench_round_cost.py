"""Cost of one scheduling round at 24, 240 and 920 workers, in examined items."""

from __future__ import annotations

import random
import time
import unittest
from functools import cache

from chivefall.model import (
    Account,
    AccountId,
    Adjacency,
    Guarantee,
    JobId,
    JobSpec,
    RackId,
    Urgency,
    WorkerId,
)
from chivefall.scheduling import (
    ClusterView,
    FreeCapacity,
    GuaranteePolicy,
    QueuedJob,
    RunningJob,
    WorkerView,
)

SIZES = (24, 240, 920)
ACCELERATORS_PER_WORKER = 1500 / 920  # stated target
TASKS_PER_WORKER = 9000 / 920
QUEUE_PER_WORKER = 300 / 920
TEAMS = 35
CHANGES_PER_DAY = 3200 * 5  # submission, start, checkpoint, end and cancellation of each job
SECONDS_PER_STEP = 20e-6  # CPU time of a step, with a margin over 6e-6 to 13e-6
# Steps of a round if one daemon spends 2.3 % of a core on all changes of the region.
MAX_EXAMINED = 0.023 * 86400 / CHANGES_PER_DAY / SECONDS_PER_STEP
DOMAINS = 4
ACCOUNTS = [AccountId(f"team-{index}") for index in range(TEAMS)]


def full_view(count: int, guaranteed: bool = True) -> ClusterView:
    """Return a view of a busy region with all accelerators on about a fifth of its workers.

    With guarantees, hundreds of queued jobs reclaim guaranteed capacity in one round,
    as after an outage; without them, the round can start nothing, as in normal operation.
    """
    rng = random.Random(count)
    total = round(count * ACCELERATORS_PER_WORKER)
    equipped = total // 8
    workers = [
        WorkerView(WorkerId(f"w{index}"), RackId(f"r{index // 8}"), accelerators, accelerators)
        for index in range(count)
        for accelerators in [8 if index < equipped else 0]
    ]
    guarantees = tuple(
        Guarantee(account, max(1, total // (TEAMS * 12)), 8, 1)
        for account in ACCOUNTS[: total // 16]
    )
    available, jobs = FreeCapacity(workers), []

    def add(spec: JobSpec) -> None:
        placement = available.find_placement(spec)
        if placement is not None:
            available.allocate(placement)
            started = 1000.0 + rng.uniform(0, 5000)
            jobs.append(RunningJob(JobId(f"r{len(jobs)}"), spec, placement, started))

    while available.total_free() > total // 50:
        size = rng.choice((1, 1, 2, 4, 8, 16))
        add(JobSpec(rng.choice(ACCOUNTS), "scan", None, size, run_time=rng.uniform(100, 20000)))
    members = sum(len(job.placement) for job in jobs)
    while members < count * TASKS_PER_WORKER:
        add(JobSpec(rng.choice(ACCOUNTS), "index", None, 4, 0, Adjacency.DOMAIN))
        members += 4
    by_name = {worker.worker: worker for worker in workers}
    views = tuple(
        WorkerView(name, worker.rack, worker.accelerators, available.free[name])
        for name, worker in by_name.items()
    )
    queued = []
    for index in range(max(8, round(count * QUEUE_PER_WORKER))):
        spec = JobSpec(
            rng.choice(ACCOUNTS),
            "scan",
            None,
            rng.choice((1, 2, 8, 16, 64)),
            urgency=Urgency.URGENT if index % 20 == 0 else Urgency.NORMAL,
            run_time=rng.uniform(100, 20000),
            adjacency=Adjacency.RACK if index % 3 else Adjacency.DOMAIN,
        )
        queued.append(QueuedJob(JobId(f"q{index}"), spec, 7000.0 + index))
    accounts = {name: Account() for name in ACCOUNTS}
    guarantees = guarantees if guaranteed else ()
    return ClusterView(views, tuple(queued), tuple(jobs), guarantees, accounts)


@cache
def cost(count: int, guaranteed: bool) -> int:
    """Return the number of items that one round examined; print its wall time."""
    view, policy = full_view(count, guaranteed), GuaranteePolicy()
    policy.plan(view, 8000.0)
    begin = time.perf_counter()
    plan = policy.plan(view, 8000.25)
    seconds = time.perf_counter() - begin
    print(
        f"{count} workers, {len(view.running)} jobs, {len(view.queued)} queued,"
        f" {'reclaiming' if guaranteed else 'ordinary'}: {policy.examined} examined,"
        f" {len(plan.starts)} starts, {len(plan.preemptions)} preemptions; wall time"
        f" {1000 * seconds:.1f} ms"
    )
    return policy.examined


class RoundCostBenchmark(unittest.TestCase):
    def test_growth_of_an_ordinary_round(self) -> None:
        """Guards against a round whose cost grows quadratically with the size of the region."""
        for small, large in ((24, 240), (240, 920)):
            ratio = cost(large, False) / cost(small, False)
            print(f"{small} to {large} workers: examined grows by {ratio:.1f}")
            # Linear growth, with a factor of 2 for work that small regions do not have.
            self.assertLessEqual(ratio, 2 * large / small)

    def test_budget_of_a_round(self) -> None:
        """Guards against rounds that cost a daemon more than 2.3 % of a core."""
        for count in SIZES:
            self.assertLessEqual(cost(count, False), MAX_EXAMINED)
        # Each daemon handles a quarter of the changes of the region.
        for count in (24, 240):
            self.assertLessEqual(cost(count, True), MAX_EXAMINED * DOMAINS)
        cost(920, True)  # larger than a failure domain; printed only
