"""A loop in virtual time that feeds scheduling policies, and the two workloads."""

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

ROUND = 0.25  # seconds between scheduling rounds
START = 0.1  # seconds from a decision to the start of a gang
CHECKPOINT = 0.5  # seconds that a checkpoint takes
RESTORE = 2.0  # seconds in which a restored job makes no progress
DUE = 10.0  # seconds after which a round runs although nothing changed
DRAIN_WINDOW = 3.0  # seconds from the order to leave until the domain is switched off
GANG = 8  # accelerators from which a job counts as a gang
NORMAL, URGENT = Urgency.NORMAL, Urgency.URGENT


@dataclass(eq=False)
class Job:
    """A job with its true run time."""

    job_id: JobId
    spec: JobSpec
    submitted: float
    actual: float
    cancel_at: float = math.inf
    done: float = 0.0
    attempt: int = 0
    phase: str = "queued"
    placement: Placement | None = None
    began: float = 0.0
    started: float | None = None
    finished: float | None = None
    entitled: bool = False
    domain: Domain | None = None

    def progress(self, now: float) -> float:
        """Return the seconds of work of this attempt."""
        restore = RESTORE if self.done > 0 else 0.0
        return max(0.0, now - self.began - restore) if self.phase == "running" else 0.0


@dataclass(eq=False)
class Domain:
    """A failure domain of one rack with its policy."""

    name: str
    policy: SchedulingPolicy
    free: dict[WorkerId, int]
    guarantees: tuple[Guarantee, ...]
    jobs: dict[JobId, Job] = field(default_factory=dict)
    draining: bool = False
    dirty: bool = False
    due: float = 0.0

    def workers(self) -> tuple[WorkerView, ...]:
        """Return the workers as a policy sees them."""
        rack = RackId(self.name)
        return tuple(WorkerView(name, rack, 8, free) for name, free in self.free.items())

    def active(self) -> list[RunningJob]:
        """Return the jobs that hold accelerators."""
        return [
            RunningJob(
                job.job_id,
                job.spec,
                job.placement,
                job.began if job.phase != "starting" else 0.0,
                job.phase == "running",
                job.done,
                job.phase == "checkpointing",
            )
            for job in self.jobs.values()
            if job.placement is not None
        ]

    def queued(self) -> list[Job]:
        """Return the waiting jobs."""
        return [job for job in self.jobs.values() if job.phase == "queued"]

    def entitles(self, spec: JobSpec) -> bool:
        """Return whether the account's urgent work stays inside its guarantee here."""
        urgent = sum(
            job.spec.total_accelerators
            for job in self.jobs.values()
            if job.spec.account == spec.account and job.spec.urgency is URGENT
        )
        sizes = [g.gang_size * g.accelerators for g in self.guarantees if g.account == spec.account]
        return urgent + spec.total_accelerators <= sum(sizes)

    def spare(self) -> int:
        """Return the free accelerators less those that are waited for."""
        waiting = sum(job.spec.total_accelerators for job in self.queued())
        return sum(self.free.values()) - waiting


@dataclass(frozen=True)
class Workload:
    """Jobs of two hours and the time at which the first domain leaves and returns."""

    jobs: list[Job]
    domains: tuple[str, ...]
    accounts: dict[AccountId, Account]
    guarantees: tuple[Guarantee, ...]
    leaves_at: float
    returns_at: float


@dataclass
class Figures:
    """What one run measured; times in seconds, work in accelerator-seconds."""

    jobs: list[Job]
    preemptions: int = 0
    moves: int = 0
    kept: float = 0.0
    lost: float = 0.0
    lost_entitled: float = 0.0
    broken: float = 0.0
    free_while_waiting: float = 0.0
    used_while_queued: float = 0.0
    room_while_queued: float = 0.0

    def times(self, urgency: Urgency, least: int = 1) -> list[float]:
        """Return the completion times of the finished jobs of a kind."""
        return [
            job.finished - job.submitted
            for job in self.jobs
            if job.finished is not None
            and job.spec.urgency is urgency
            and job.spec.total_accelerators >= least
        ]

    @property
    def rejected(self) -> int:
        """Return the number of rejected jobs."""
        return sum(job.phase == "rejected" for job in self.jobs)

    @property
    def unfinished(self) -> int:
        """Return the jobs that neither ended nor were cancelled or rejected."""
        return sum(
            job.finished is None and job.cancel_at == math.inf and job.phase != "rejected"
            for job in self.jobs
        )

    @property
    def fragmentation(self) -> float:
        """Return the part of the free room outside wholly free workers while a gang waits."""
        return self.broken / max(1.0, self.free_while_waiting)

    @property
    def use_while_queued(self) -> float:
        """Return the part of the room that worked while jobs waited and a domain was away."""
        return self.used_while_queued / max(1.0, self.room_while_queued)

    @property
    def urgent_delays(self) -> list[float]:
        """Return the start delays of the urgent jobs that a guarantee covered."""
        return [
            math.inf if job.started is None else job.started - job.submitted
            for job in self.jobs
            if job.entitled and job.cancel_at == math.inf
        ]

    @property
    def longest_wait(self) -> float:
        """Return the longest wait of a large gang."""
        return max(
            job.started - job.submitted
            for job in self.jobs
            if job.spec.total_accelerators >= 32 and job.started is not None
        )

    def line(self, name: str) -> str:
        """Return the figures in one line."""

        def both(times: list[float]) -> str:
            return f"{fmean(times):7.1f}/{quantiles(times, n=20)[-1]:7.1f}"

        return (
            f"{name:10} mean/p95 urgent {both(self.times(URGENT))} s, gangs"
            f" {both(self.times(NORMAL, GANG))} s, all {both(self.times(NORMAL))} s;"
            f" fragmentation {self.fragmentation:.3f}, preemptions {self.preemptions},"
            f" moves {self.moves}, rejected {self.rejected}, longest wait of a large gang"
            f" {self.longest_wait:.0f} s, urgent in guarantee started after at most"
            f" {max(self.urgent_delays):.2f} s; while a domain left and returned"
            f" {self.kept:.0f} done, {self.lost:.0f} lost, of that {self.lost_entitled:.0f}"
            f" guaranteed or urgent, {self.use_while_queued:.3f} of the room in use while jobs wait"
        )


class Loop:
    """Runs a workload through one policy for each domain."""

    def __init__(self, workload: Workload, make_policy: type[SchedulingPolicy]) -> None:
        self.workload = workload
        self.figures = Figures([replace(job) for job in workload.jobs])
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
        self._ordered_drain = make_policy is GuaranteePolicy

    def run(self) -> Figures:
        """Return the figures after the last job has ended."""
        for job in self.figures.jobs:
            self._at(job.submitted, self._submit, job)
        self._at(self.workload.leaves_at, self._leave)
        self._at(self.workload.returns_at, self._return)
        while self._events:
            now = self._events[0][0]
            self._measure(now)
            while self._events and self._events[0][0] <= now:
                _, _, action, *args = heapq.heappop(self._events)
                action(now, *args)
        return self.figures

    def _at(self, when: float, action: object, *args: object) -> None:
        heapq.heappush(self._events, (when, next(self._order), action, *args))

    def _measure(self, now: float) -> None:
        """Add what the time since the last event contributed."""
        seconds, self._measured = now - self._measured, now
        for domain in self.domains:
            waiting = any(j.spec.total_accelerators >= GANG for j in domain.queued())
            if not domain.draining and waiting:
                free = sum(domain.free.values())
                whole = sum(room for room in domain.free.values() if room == 8)
                self.figures.free_while_waiting += free * seconds
                self.figures.broken += (free - whole) * seconds
            moving = self.workload.leaves_at < now <= self.workload.returns_at + 600
            if moving and not domain.draining and domain.queued():
                self.figures.room_while_queued += 8 * len(domain.free) * seconds
                self.figures.used_while_queued += seconds * sum(
                    job.spec.total_accelerators
                    for job in domain.jobs.values()
                    if job.progress(now) > 0
                )
            if moving:
                self.figures.kept += seconds * sum(
                    job.spec.total_accelerators
                    for job in domain.jobs.values()
                    if job.progress(now) > 0
                )

    def _touch(self, domain: Domain, now: float) -> None:
        if not domain.dirty:
            domain.dirty = True
            self._at((math.floor(now / ROUND) + 1) * ROUND, self._round, domain)

    def _submit(self, now: float, job: Job) -> None:
        domain = max((d for d in self.domains if not d.draining), key=Domain.spare)
        accounts = self.workload.accounts
        if not isinstance(domain.policy, GuaranteePolicy) and infeasibility_reason(
            job.spec, domain.workers(), accounts
        ):
            job.phase = "rejected"  # The baselines know no impossible jobs.
            return
        if job.spec.urgency is URGENT and job.started is None:
            job.entitled = domain.entitles(job.spec)
        job.domain, domain.jobs[job.job_id] = domain, job
        if job.cancel_at >= now and job.cancel_at < math.inf:
            self._at(job.cancel_at, self._cancel, job)
        self._touch(domain, now)

    def _cancel(self, now: float, job: Job) -> None:
        if job.finished is None and job.job_id in job.domain.jobs:
            self._leave_workers(job, now)
            del job.domain.jobs[job.job_id]

    def _round(self, now: float, domain: Domain) -> None:
        domain.dirty = False
        queued = tuple(
            QueuedJob(job.job_id, job.spec, job.submitted, job.done) for job in domain.queued()
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
        self.figures.preemptions += len(plan.preemptions)
        self.figures.moves += len(plan.moves)
        for name, placement in plan.starts:
            self._start(now, domain.jobs[name], placement)
        if domain.queued() and domain.due <= now:
            domain.due = now + DUE
            self._at(domain.due, lambda at: self._touch(domain, at))

    def _start(self, now: float, job: Job, placement: Placement) -> None:
        job.placement, job.phase, job.attempt = placement, "starting", job.attempt + 1
        for member in placement:
            job.domain.free[member.worker] -= member.accelerators
            if job.domain.free[member.worker] < 0:
                raise AssertionError("a policy gave accelerators away twice")
        self._at(now + START, self._started, job, job.attempt)

    def _started(self, now: float, job: Job, attempt: int) -> None:
        if job.attempt != attempt or job.phase != "starting":
            return
        job.phase, job.began = "running", now
        job.started = now if job.started is None else job.started
        restore = RESTORE if job.done > 0 else 0.0
        self._at(now + restore + job.actual - job.done, self._finished, job, attempt)
        self._touch(job.domain, now)

    def _finished(self, now: float, job: Job, attempt: int) -> None:
        if job.attempt == attempt and job.phase == "running":
            self._leave_workers(job, now)
            job.phase, job.finished = "finished", now
            del job.domain.jobs[job.job_id]
            job.domain.policy.observe_finished(job.spec, job.actual)

    def _checkpoint(self, now: float, job: Job, then: object = None) -> None:
        job.done += job.progress(now)
        job.phase = "checkpointing"
        self._at(now + CHECKPOINT, self._checkpointed, job, job.attempt, then)

    def _checkpointed(self, now: float, job: Job, attempt: int, then: object) -> None:
        if job.attempt == attempt and job.phase == "checkpointing":
            self._leave_workers(job, now)
            if then is not None:
                then(now, job)

    def _leave_workers(self, job: Job, now: float) -> None:
        for member in job.placement or ():
            job.domain.free[member.worker] += member.accelerators
        job.placement, job.phase, job.attempt = None, "queued", job.attempt + 1
        self._touch(job.domain, now)

    def _transfer(self, now: float, job: Job) -> None:
        del job.domain.jobs[job.job_id]
        self._submit(now, job)

    def _leave(self, now: float) -> None:
        """Take the first domain out of service; one job is checkpointed at a time."""
        domain = self.domains[0]
        domain.draining = True
        for job in domain.queued():
            self._transfer(now, job)
        running = domain.active()
        ledger = GuaranteeLedger(domain.guarantees, running)
        self._guaranteed = {job.job_id for job in running if ledger.is_protected(job)}
        if self._ordered_drain:
            estimator = domain.policy.estimator
            running = drain_order(running, domain.guarantees, estimator, now)
        for index, item in enumerate(running):
            at = now + index * CHECKPOINT
            if at + CHECKPOINT <= now + DRAIN_WINDOW:
                self._at(at, self._drain_one, domain.jobs[item.job_id], domain)
        self._at(now + DRAIN_WINDOW, self._switch_off, domain)

    def _drain_one(self, now: float, job: Job, domain: Domain) -> None:
        if job.domain is domain and job.phase == "running":
            self._checkpoint(now, job, self._transfer)

    def _switch_off(self, now: float, domain: Domain) -> None:
        for job in list(domain.jobs.values()):
            lost = job.progress(now) * job.spec.total_accelerators
            self.figures.lost += lost
            if job.spec.urgency is URGENT or job.job_id in self._guaranteed:
                self.figures.lost_entitled += lost
            self._leave_workers(job, now)
            self._transfer(now, job)

    def _return(self, now: float) -> None:
        self.domains[0].draining = False
        for job in [job for domain in self.domains for job in domain.queued()]:
            self._transfer(now, job)
