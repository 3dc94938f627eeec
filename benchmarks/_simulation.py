"""Discrete-event simulation of failure domains under a scheduling policy."""

from __future__ import annotations

import heapq
import itertools
import math
from dataclasses import dataclass, field, replace
from statistics import fmean, quantiles

from chivefall.model import (
    Account,
    AccountId,
    Guarantee,
    JobId,
    JobSpec,
    Placement,
    RackId,
    Urgency,
    WorkerId,
)
from chivefall.scheduling import (
    ClusterView,
    GuaranteePolicy,
    QueuedJob,
    RunningJob,
    SchedulingPolicy,
    WorkerView,
    drain_order,
    infeasibility_reason,
)
from chivefall.scheduling._guarantees import GuaranteeLedger

ROUND_SECONDS = 0.25  # between scheduling rounds
START_SECONDS = 0.1  # from a scheduling decision to the start of a gang
CHECKPOINT_SECONDS = 0.5  # duration of a checkpoint
RESTORE_SECONDS = 2.0  # without progress after a restart from a checkpoint
MAX_ROUND_INTERVAL_SECONDS = 10.0  # between rounds while jobs are queued and nothing changes
DRAIN_WINDOW_SECONDS = 3.0  # from the start of a drain until the domain is switched off
MIN_GANG_ACCELERATORS = 8  # of a job that is reported as a gang
NORMAL, URGENT = Urgency.NORMAL, Urgency.URGENT


@dataclass(eq=False)
class Job:
    """A job with its actual run time; times in seconds."""

    job_id: JobId
    spec: JobSpec
    submitted: float
    actual_run_time: float
    cancel_at: float = math.inf
    checkpointed_seconds: float = 0.0
    attempt: int = 0
    phase: str = "queued"
    placement: Placement | None = None
    attempt_started_at: float = 0.0
    started: float | None = None
    finished: float | None = None
    guaranteed: bool = False
    domain: Domain | None = None

    def progress(self, now: float) -> float:
        """Return the seconds of work done by this attempt."""
        restore = RESTORE_SECONDS if self.checkpointed_seconds > 0 else 0.0
        return max(0.0, now - self.attempt_started_at - restore) if self.phase == "running" else 0.0


@dataclass(eq=False)
class Domain:
    """A failure domain of one rack, with its scheduling policy."""

    name: str
    policy: SchedulingPolicy
    free: dict[WorkerId, int]
    guarantees: tuple[Guarantee, ...]
    jobs: dict[JobId, Job] = field(default_factory=dict)
    draining: bool = False
    round_scheduled: bool = False
    next_round_at: float = 0.0

    def workers(self) -> tuple[WorkerView, ...]:
        """Return the workers as input of a scheduling round."""
        rack = RackId(self.name)
        return tuple(WorkerView(name, rack, 8, free) for name, free in self.free.items())

    def active(self) -> list[RunningJob]:
        """Return the jobs to which accelerators are allocated."""
        return [
            RunningJob(
                job.job_id,
                job.spec,
                job.placement,
                job.attempt_started_at if job.phase != "starting" else 0.0,
                job.phase == "running",
                job.checkpointed_seconds,
                job.phase == "checkpointing",
            )
            for job in self.jobs.values()
            if job.placement is not None
        ]

    def queued(self) -> list[Job]:
        """Return the queued jobs."""
        return [job for job in self.jobs.values() if job.phase == "queued"]

    def covers_by_guarantee(self, spec: JobSpec) -> bool:
        """Return whether the account's urgent jobs, with this one, fit into its guarantees."""
        urgent = sum(
            job.spec.total_accelerators
            for job in self.jobs.values()
            if job.spec.account == spec.account and job.spec.urgency is URGENT
        )
        sizes = [g.gang_size * g.accelerators for g in self.guarantees if g.account == spec.account]
        return urgent + spec.total_accelerators <= sum(sizes)

    def spare(self) -> int:
        """Return the free accelerators minus those requested by queued jobs."""
        waiting = sum(job.spec.total_accelerators for job in self.queued())
        return sum(self.free.values()) - waiting


@dataclass(frozen=True)
class Workload:
    """Jobs, domains and the times in seconds at which the first domain drains and returns."""

    jobs: list[Job]
    domains: tuple[str, ...]
    accounts: dict[AccountId, Account]
    guarantees: tuple[Guarantee, ...]
    drains_at: float
    returns_at: float


@dataclass
class SimulationResult:
    """Results of one simulation; times in seconds, work in accelerator-seconds."""

    jobs: list[Job]
    preemptions: int = 0
    moves: int = 0
    work_done: float = 0.0
    lost: float = 0.0
    lost_guaranteed: float = 0.0
    fragmented_while_gang_queued: float = 0.0
    free_while_gang_queued: float = 0.0
    used_while_queued: float = 0.0
    capacity_while_queued: float = 0.0

    def times(self, urgency: Urgency, min_accelerators: int = 1) -> list[float]:
        """Return the completion times of the finished jobs of an urgency and minimum size."""
        return [
            job.finished - job.submitted
            for job in self.jobs
            if job.finished is not None
            and job.spec.urgency is urgency
            and job.spec.total_accelerators >= min_accelerators
        ]

    @property
    def rejected(self) -> int:
        """Return the number of rejected jobs."""
        return sum(job.phase == "rejected" for job in self.jobs)

    @property
    def unfinished(self) -> int:
        """Return the number of jobs that were not finished, cancelled or rejected."""
        return sum(
            job.finished is None and job.cancel_at == math.inf and job.phase != "rejected"
            for job in self.jobs
        )

    @property
    def fragmentation(self) -> float:
        """Return the share of free accelerators on partly used workers while a gang is queued."""
        return self.fragmented_while_gang_queued / max(1.0, self.free_while_gang_queued)

    @property
    def use_while_queued(self) -> float:
        """Return the utilization of domains with queued jobs during and after the drain."""
        return self.used_while_queued / max(1.0, self.capacity_while_queued)

    @property
    def urgent_delays(self) -> list[float]:
        """Return the start delays of the urgent jobs within a guarantee."""
        return [
            math.inf if job.started is None else job.started - job.submitted
            for job in self.jobs
            if job.guaranteed and job.cancel_at == math.inf
        ]

    @property
    def longest_wait(self) -> float:
        """Return the longest start delay of a gang of at least 32 accelerators."""
        return max(
            job.started - job.submitted
            for job in self.jobs
            if job.spec.total_accelerators >= 32 and job.started is not None
        )

    def summary(self, name: str) -> str:
        """Return the results as one line of text."""

        def mean_and_p95(times: list[float]) -> str:
            return f"{fmean(times):7.1f}/{quantiles(times, n=20)[-1]:7.1f}"

        return (
            f"{name:10} mean/p95 urgent {mean_and_p95(self.times(URGENT))} s, gangs"
            f" {mean_and_p95(self.times(NORMAL, MIN_GANG_ACCELERATORS))} s,"
            f" all {mean_and_p95(self.times(NORMAL))} s;"
            f" fragmentation {self.fragmentation:.3f}, preemptions {self.preemptions},"
            f" moves {self.moves}, rejected {self.rejected}, longest start delay of a large gang"
            f" {self.longest_wait:.0f} s, of an urgent job within a guarantee"
            f" {max(self.urgent_delays):.2f} s; from the drain until after the return"
            f" {self.work_done:.0f} done, {self.lost:.0f} lost, of that {self.lost_guaranteed:.0f}"
            f" guaranteed or urgent, utilization {self.use_while_queued:.3f} while jobs are queued"
        )


class Simulation:
    """Simulates a workload with one scheduling policy instance for each failure domain."""

    def __init__(self, workload: Workload, make_policy: type[SchedulingPolicy]) -> None:
        self.workload = workload
        self.result = SimulationResult([replace(job) for job in workload.jobs])
        self.domains = [
            Domain(
                name,
                make_policy(),
                {WorkerId(f"{name}-{index}"): 8 for index in range(8)},
                workload.guarantees,
            )
            for name in workload.domains
        ]
        self._events: list[tuple] = []
        self._order = itertools.count()
        self._measured = 0.0
        self._orders_drain = make_policy is GuaranteePolicy

    def run(self) -> SimulationResult:
        """Run until no events are left and return the results."""
        for job in self.result.jobs:
            self._at(job.submitted, self._submit, job)
        self._at(self.workload.drains_at, self._drain)
        self._at(self.workload.returns_at, self._return)
        while self._events:
            now = self._events[0][0]
            self._measure(now)
            while self._events and self._events[0][0] <= now:
                _, _, action, *args = heapq.heappop(self._events)
                action(now, *args)
        return self.result

    def _at(self, when: float, action: object, *args: object) -> None:
        heapq.heappush(self._events, (when, next(self._order), action, *args))

    def _measure(self, now: float) -> None:
        """Add the time since the last event to the results."""
        seconds, self._measured = now - self._measured, now
        for domain in self.domains:
            gang_queued = any(
                j.spec.total_accelerators >= MIN_GANG_ACCELERATORS for j in domain.queued()
            )
            if not domain.draining and gang_queued:
                free = sum(domain.free.values())
                unfragmented = sum(free for free in domain.free.values() if free == 8)
                self.result.free_while_gang_queued += free * seconds
                self.result.fragmented_while_gang_queued += (free - unfragmented) * seconds
            in_drain_period = self.workload.drains_at < now <= self.workload.returns_at + 600
            if in_drain_period and not domain.draining and domain.queued():
                self.result.capacity_while_queued += 8 * len(domain.free) * seconds
                self.result.used_while_queued += seconds * sum(
                    job.spec.total_accelerators
                    for job in domain.jobs.values()
                    if job.progress(now) > 0
                )
            if in_drain_period:
                self.result.work_done += seconds * sum(
                    job.spec.total_accelerators
                    for job in domain.jobs.values()
                    if job.progress(now) > 0
                )

    def _schedule_round(self, domain: Domain, now: float) -> None:
        if not domain.round_scheduled:
            domain.round_scheduled = True
            self._at((math.floor(now / ROUND_SECONDS) + 1) * ROUND_SECONDS, self._round, domain)

    def _submit(self, now: float, job: Job) -> None:
        domain = max((d for d in self.domains if not d.draining), key=Domain.spare)
        accounts = self.workload.accounts
        if not isinstance(domain.policy, GuaranteePolicy) and infeasibility_reason(
            job.spec, domain.workers(), accounts
        ):
            job.phase = "rejected"  # The baselines do not detect jobs that can never run.
            return
        if job.spec.urgency is URGENT and job.started is None:
            job.guaranteed = domain.covers_by_guarantee(job.spec)
        job.domain, domain.jobs[job.job_id] = domain, job
        if job.cancel_at >= now and job.cancel_at < math.inf:
            self._at(job.cancel_at, self._cancel, job)
        self._schedule_round(domain, now)

    def _cancel(self, now: float, job: Job) -> None:
        if job.finished is None and job.job_id in job.domain.jobs:
            self._release_workers(job, now)
            del job.domain.jobs[job.job_id]

    def _round(self, now: float, domain: Domain) -> None:
        domain.round_scheduled = False
        queued = tuple(
            QueuedJob(job.job_id, job.spec, job.submitted, job.checkpointed_seconds)
            for job in domain.queued()
        )
        view = ClusterView(
            domain.workers(),
            queued,
            tuple(domain.active()),
            domain.guarantees,
            self.workload.accounts,
            domain.draining,
        )
        plan = domain.policy.plan(view, now)
        for name in plan.rejections:
            domain.jobs.pop(name).phase = "rejected"
        for name in (*plan.preemptions, *plan.moves):
            self._checkpoint(now, domain.jobs[name])
        self.result.preemptions += len(plan.preemptions)
        self.result.moves += len(plan.moves)
        for name, placement in plan.starts:
            self._start(now, domain.jobs[name], placement)
        if domain.queued() and domain.next_round_at <= now:
            domain.next_round_at = now + MAX_ROUND_INTERVAL_SECONDS
            self._at(domain.next_round_at, lambda at: self._schedule_round(domain, at))

    def _start(self, now: float, job: Job, placement: Placement) -> None:
        job.placement, job.phase, job.attempt = placement, "starting", job.attempt + 1
        for member in placement:
            job.domain.free[member.worker] -= member.accelerators
            if job.domain.free[member.worker] < 0:
                raise AssertionError("a policy allocated accelerators twice")
        self._at(now + START_SECONDS, self._started, job, job.attempt)

    def _started(self, now: float, job: Job, attempt: int) -> None:
        if job.attempt != attempt or job.phase != "starting":
            return
        job.phase, job.attempt_started_at = "running", now
        job.started = now if job.started is None else job.started
        restore = RESTORE_SECONDS if job.checkpointed_seconds > 0 else 0.0
        self._at(
            now + restore + job.actual_run_time - job.checkpointed_seconds,
            self._finished,
            job,
            attempt,
        )
        self._schedule_round(job.domain, now)

    def _finished(self, now: float, job: Job, attempt: int) -> None:
        if job.attempt == attempt and job.phase == "running":
            self._release_workers(job, now)
            job.phase, job.finished = "finished", now
            del job.domain.jobs[job.job_id]
            job.domain.policy.observe_finished(job.spec, job.actual_run_time)

    def _checkpoint(self, now: float, job: Job, then: object = None) -> None:
        job.checkpointed_seconds += job.progress(now)
        job.phase = "checkpointing"
        self._at(now + CHECKPOINT_SECONDS, self._checkpointed, job, job.attempt, then)

    def _checkpointed(self, now: float, job: Job, attempt: int, then: object) -> None:
        if job.attempt == attempt and job.phase == "checkpointing":
            self._release_workers(job, now)
            if then is not None:
                then(now, job)

    def _release_workers(self, job: Job, now: float) -> None:
        for member in job.placement or ():
            job.domain.free[member.worker] += member.accelerators
        job.placement, job.phase, job.attempt = None, "queued", job.attempt + 1
        self._schedule_round(job.domain, now)

    def _transfer(self, now: float, job: Job) -> None:
        del job.domain.jobs[job.job_id]
        self._submit(now, job)

    def _drain(self, now: float) -> None:
        """Take the first domain out of service; jobs are checkpointed one after the other."""
        domain = self.domains[0]
        domain.draining = True
        for job in domain.queued():
            self._transfer(now, job)
        running = domain.active()
        ledger = GuaranteeLedger(domain.guarantees, running)
        self._guaranteed = {job.job_id for job in running if ledger.is_protected(job)}
        if self._orders_drain:
            estimator = domain.policy.estimator
            running = drain_order(running, domain.guarantees, estimator, now)
        for index, item in enumerate(running):
            at = now + index * CHECKPOINT_SECONDS
            if at + CHECKPOINT_SECONDS <= now + DRAIN_WINDOW_SECONDS:
                self._at(at, self._checkpoint_and_transfer, domain.jobs[item.job_id], domain)
        self._at(now + DRAIN_WINDOW_SECONDS, self._switch_off, domain)

    def _checkpoint_and_transfer(self, now: float, job: Job, domain: Domain) -> None:
        if job.domain is domain and job.phase == "running":
            self._checkpoint(now, job, self._transfer)

    def _switch_off(self, now: float, domain: Domain) -> None:
        for job in list(domain.jobs.values()):
            lost = job.progress(now) * job.spec.total_accelerators
            self.result.lost += lost
            if job.spec.urgency is URGENT or job.job_id in self._guaranteed:
                self.result.lost_guaranteed += lost
            self._release_workers(job, now)
            self._transfer(now, job)

    def _return(self, now: float) -> None:
        self.domains[0].draining = False
        for job in [job for domain in self.domains for job in domain.queued()]:
            self._transfer(now, job)
