"""The booking and assessor workloads, and the baseline policies."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from benchmarks._simulation import NORMAL, URGENT, Job, Workload
from chivefall.model import Account, AccountId, Adjacency, Guarantee, JobId, JobSpec
from chivefall.scheduling import FreeCapacity, Plan, RunningJob, RunTimeEstimator, SchedulingPolicy
from chivefall.scheduling._reservation import make_reservation
from standins.sizes import ASSESSOR, BOOKING, DeploymentSize

if TYPE_CHECKING:
    from chivefall.scheduling import ClusterView

__all__ = ["EasyPolicy", "assessor", "booking"]

HOUR_SECONDS = 3600.0


@dataclass(frozen=True)
class Mix:
    """Parameters of a workload.

    Attributes
    ----------
    declared_ratios : tuple of float
        Ratio of the declared to the actual run time, by command.
    """

    size: DeploymentSize
    seed: int
    gangs: tuple[int, ...]
    gang_seconds: float
    gang_count: int
    urgent_count: int
    declared_ratios: tuple[float, ...]
    drains_at: float
    returns_at: float


def booking(seed: int = 11) -> Workload:
    """Return the booking workload: fleece sorting and roster changes of farmers and buyers."""
    return _build(
        Mix(
            BOOKING,
            seed=seed,
            gangs=(8, 8, 16, 16, 32, 48),
            gang_seconds=800.0,
            gang_count=60,
            urgent_count=500,
            declared_ratios=(0.25, 0.6, 1.5, 4.0),
            drains_at=1.0 * HOUR_SECONDS,
            returns_at=1.25 * HOUR_SECONDS,
        )
    )


def assessor(seed: int = 23) -> Workload:
    """Return the assessor workload: structural reports, weld-crack scans and hoist checks."""
    return _build(
        Mix(
            ASSESSOR,
            seed=seed,
            gangs=(8, 16, 32, 64),
            gang_seconds=1200.0,
            gang_count=32,
            urgent_count=300,
            declared_ratios=(0.2, 0.5, 1.0, 3.0),
            drains_at=0.75 * HOUR_SECONDS,
            returns_at=1.5 * HOUR_SECONDS,
        )
    )


def _build(mix: Mix) -> Workload:
    """Return a workload with arrivals over two hours; deterministic for a mix."""
    rng = random.Random(mix.seed)
    accounts = [AccountId(name) for name in mix.size.accounts]
    rows: list[tuple[float, JobSpec, float]] = []

    def add(at: float, account: int, command: int, size: int, seconds: float, **changes) -> None:
        declared = seconds * mix.declared_ratios[command] * rng.lognormvariate(0, 0.3)
        name = f"command-{command}"
        rows.append(
            (
                at,
                JobSpec(accounts[account], name, None, size, run_time=declared, **changes),
                seconds,
            )
        )

    def at() -> float:
        return rng.uniform(0, 2 * HOUR_SECONDS)

    for _ in range(mix.gang_count):
        account = rng.choice((0, 0, 0, 1, 1, 2, 3))
        seconds = mix.gang_seconds * rng.lognormvariate(-0.3, 0.8)
        size = rng.choice(mix.gangs)
        adjacency = Adjacency.WORKER if size == 8 else Adjacency.RACK
        add(at(), account, rng.randrange(4), size, seconds, adjacency=adjacency)
    for _ in range(mix.urgent_count):
        seconds = rng.uniform(2, 20)
        add(at(), rng.randrange(4), rng.randrange(4), rng.randint(1, 4), seconds, urgency=URGENT)
    for _ in range(250):
        add(at(), rng.randrange(4), rng.randrange(4), rng.randint(1, 2), rng.expovariate(1 / 150))
    for _ in range(4):  # bursts of small jobs
        start, account = at(), rng.randrange(4)
        for _ in range(40):
            add(start + rng.uniform(0, 2), account, 0, 1, rng.uniform(30, 600))
    for _ in range(2):  # bursts of large jobs
        start = at()
        for _ in range(4):
            add(start + rng.uniform(0, 2), 0, 1, rng.choice((32, 48)), rng.uniform(200, 900))
    for _ in range(3):
        add(at(), 1, 2, 65, 60.0)  # larger than a rack
        add(at(), 1, 2, 9, 60.0, adjacency=Adjacency.WORKER)
    jobs = [
        Job(JobId(f"job-{index}"), spec, when, max(1.0, seconds))
        for index, (when, spec, seconds) in enumerate(rows)
    ]
    for start in (0.5 * HOUR_SECONDS, 1.5 * HOUR_SECONDS):  # waves of cancellations
        for job in rng.sample(jobs, 20):
            if job.spec.urgency is NORMAL:
                job.cancel_at = max(start, job.submitted + rng.uniform(0, 60))
    shapes = (
        Guarantee(accounts[0], 1, 16, 1),
        Guarantee(accounts[1], 1, 16, 1),
        Guarantee(accounts[2], 1, 8, 1, Adjacency.WORKER),
        Guarantee(accounts[3], 1, 8, 1),
    )
    return Workload(
        jobs,
        mix.size.failure_domains,
        {name: Account() for name in accounts},
        shapes,
        mix.drains_at,
        mix.returns_at,
    )


class _Declared(RunTimeEstimator):
    """Estimates the remaining time from the declared run time alone."""

    def remaining_seconds(self, job: RunningJob, now: float) -> float:
        """Return the remaining declared seconds; 0 for a job that overruns."""
        return max(0.0, job.spec.run_time - job.checkpointed_seconds - (now - job.started_at))


class EasyPolicy(SchedulingPolicy):
    """EASY backfilling around one reservation, urgent jobs first."""

    def plan(self, view: ClusterView, now: float) -> Plan:
        """Return the starts of one round."""
        if view.draining:
            return Plan()
        free, starts, placed, head = FreeCapacity(view.workers), [], [], None
        available, unreserved = free, free
        key = {job.job_id: (job.spec.urgency is NORMAL, job.submitted_at) for job in view.queued}
        for job in sorted(view.queued, key=lambda item: key[item.job_id]):
            placement = unreserved.find_placement(job.spec)
            if placement is None and head and now + job.spec.run_time <= head.starts_at:
                placement = available.find_placement(job.spec)
            if placement is not None:
                starts.append((job.job_id, placement))
                placed.append(RunningJob(job.job_id, job.spec, placement, now))
                available.allocate(placement)
                if unreserved is not available:
                    unreserved.allocate(placement)
            elif head is None:
                head = make_reservation(job, available, [*view.running, *placed], _Declared(), now)
                unreserved = available.copy()
                if head is not None:
                    unreserved.withhold(head.placement)
        return Plan(starts=tuple(starts))
