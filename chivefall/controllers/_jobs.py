"""Jobs of the failure domain: records, queue and gangs."""

from __future__ import annotations

import secrets
from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec
from circuits import handler

from chivefall.controllers._base import Controller
from chivefall.model import (
    Accepted,
    AttemptId,
    Completed,
    Epoch,
    JobId,
    JobRecord,
    JobSpec,
    JobState,
    NotRun,
    NotRunReason,
    Outcome,
    Placement,
    TaskState,
    Unknown,
    WorkerId,
)
from chivefall.runtime import Future, gather
from chivefall.scheduling import ClusterView, QueuedJob, RunningJob, SchedulingPolicy
from chivefall.store import ABSENT, Listed, Store, Stored, Version, job_key, jobs_prefix
from chivefall.telemetry import LogEvent, log_event
from chivefall.workers import Accepted as TaskAccepted
from chivefall.workers import TaskReport, TaskShare

if TYPE_CHECKING:
    from chivefall.config import Settings
    from chivefall.controllers._document import DocumentController
    from chivefall.controllers._leader import LeaderController
    from chivefall.controllers._workers import WorkerController
    from chivefall.runtime import Clock

__all__ = ["JobController"]

ROUND_INTERVAL = 0.25  # seconds between scheduling rounds
RETRY_AFTER = 2.0  # seconds a caller should wait when the leader cannot take a job


class _Job:
    """A job's record and what this leader knows of its present attempt."""

    __slots__ = ("done", "record", "reports", "version")

    def __init__(self, record: JobRecord, version: Version) -> None:
        self.record = record
        self.version = version
        self.reports: dict[WorkerId, TaskReport] = {}
        self.done: Future[Outcome] = Future()


class JobController(Controller):
    """Accepts, starts and finishes jobs while this instance leads."""

    def __init__(
        self,
        clock: Clock,
        cfg: Settings,
        store: Store,
        policy: SchedulingPolicy,
        document: DocumentController,
        leader: LeaderController,
        workers: WorkerController,
    ) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._store = store
        self._policy = policy
        self._document = document
        self._leader = leader
        self._workers = workers
        self._jobs: dict[JobId, _Job] = {}
        self._ready = False

    def start(self) -> None:
        """Begin scheduling rounds."""
        self.every(ROUND_INTERVAL, self._round)

    async def submit(self, spec: JobSpec) -> Outcome:
        """Record a job and queue it.

        Returns
        -------
        Accepted
            The job is recorded.
        NotRun
            Nothing was recorded.
        Unknown
            The store did not say whether the job is recorded.
        """
        if not self._leader.leads or not self._ready:
            return NotRun(
                NotRunReason.NO_LEADER, "this instance does not lead its domain", RETRY_AFTER
            )
        now = self.clock.now()
        job_id = JobId(f"{self._cfg.failure_domain}.{secrets.token_hex(8)}")
        record = JobRecord(job_id, spec, submitted_at=now)
        key = job_key(self._cfg.failure_domain, job_id)
        outcome = await self._store.put(key, msgspec.json.encode(record), ABSENT)
        if not isinstance(outcome, Stored):
            return NotRun(NotRunReason.STORE_UNAVAILABLE, "the job cannot be recorded", RETRY_AFTER)
        self._jobs[job_id] = _Job(record, outcome.version)
        log_event(LogEvent.JOB_ACCEPTED, job=job_id, account=spec.account)
        self._round(now)
        return Accepted(job_id)

    async def wait(self, job_id: JobId) -> Outcome:
        """Wait for a job's final state and return its outcome."""
        job = self._jobs.get(job_id)
        if job is None:
            return Unknown(f"job {job_id} is not known here")
        return await job.done

    def status(self, job_id: JobId) -> JobRecord | None:
        """Return a job's record."""
        job = self._jobs.get(job_id)
        return job.record if job else None

    def capacity_digest(self) -> tuple[int, ...]:
        """Return free accelerators, the largest free block of a rack and the queue length."""
        racks: dict[str, int] = defaultdict(int)
        for worker in self._workers.views():
            racks[worker.rack] += worker.free
        queued = sum(1 for job in self._jobs.values() if job.record.state is JobState.QUEUED)
        return (sum(racks.values()), max(racks.values(), default=0), queued)

    @handler("leadership_gained")
    def _on_leadership_gained(self, epoch: Epoch) -> None:
        self._ready = False
        self.run_task(self._load_records(epoch))

    @handler("leadership_lost")
    def _on_leadership_lost(self, reason: str) -> None:
        self._ready = False
        for job in self._jobs.values():
            job.done.set_result(Unknown(f"the leader stepped down: {reason}"))
        self._jobs.clear()

    @handler("task_reported")
    def _on_task_reported(self, worker: WorkerId, report: TaskReport) -> None:
        job = self._jobs.get(report.job_id)
        if job is None or job.record.attempt != report.attempt:
            return
        job.reports[worker] = report
        self._check_finished(job)

    async def _load_records(self, epoch: Epoch) -> None:
        listed = await self._store.list(jobs_prefix(self._cfg.failure_domain))
        if not isinstance(listed, Listed) or self._leader.epoch != epoch:
            return
        for entry in listed.entries:
            record = msgspec.json.decode(entry.value, type=JobRecord)
            self._jobs[record.job_id] = _Job(record, entry.version)
        self._ready = True

    def _round(self, now: float) -> None:
        if not self._ready or not self._leader.leads or not self._document.is_fresh(now):
            return
        plan = self._policy.plan(self._view(), now)
        for job_id, placement in plan.starts:
            job = self._jobs[job_id]
            attempt = AttemptId(f"{job_id}.{job.record.attempts + 1}.{secrets.token_hex(4)}")
            job.record = job.record.with_state(
                JobState.STARTING,
                attempt=attempt,
                attempts=job.record.attempts + 1,
                placement=placement,
            )
            job.reports.clear()
            self.run_task(self._start(job, placement))

    def _view(self) -> ClusterView:
        queued, running = [], []
        for job in self._jobs.values():
            record = job.record
            if record.state is JobState.QUEUED:
                queued.append(QueuedJob(record.job_id, record.spec, record.submitted_at))
            elif record.state in (JobState.STARTING, JobState.RUNNING):
                running.append(
                    RunningJob(record.job_id, record.spec, record.placement, record.started_at)
                )
        document = self._document.document
        return ClusterView(
            self._workers.views(),
            tuple(queued),
            tuple(running),
            document.guarantees,
            document.accounts,
            draining=not document.is_in_service(self._cfg.failure_domain),
        )

    async def _start(self, job: _Job, placement: Placement) -> None:
        shares = _shares(job.record, placement)
        attempt = job.record.attempt
        steps = (
            lambda name: self._workers.reserve(name, shares[name]),
            lambda name: self._workers.commit(name, attempt),
            lambda name: self._workers.confirm(name, attempt),
        )
        await self._save(job)
        for step in steps:
            outcomes = await gather([self.run_task(step(name)) for name in shares])
            if not all(isinstance(outcome, TaskAccepted) for outcome in outcomes):
                await self._release(job, shares)
                return
        job.record = job.record.with_state(JobState.RUNNING, started_at=self.clock.now())
        log_event(LogEvent.JOB_STARTED, job=job.record.job_id, workers=len(shares))
        self._check_finished(job)

    async def _release(self, job: _Job, shares: dict[WorkerId, TaskShare]) -> None:
        attempt = job.record.attempt
        log_event(LogEvent.JOB_START_FAILED, job=job.record.job_id, attempt=attempt)
        await gather([self.run_task(self._workers.stop_task(name, attempt)) for name in shares])
        job.record = job.record.with_state(JobState.QUEUED, attempt=None, placement=None)

    def _check_finished(self, job: _Job) -> None:
        record = job.record
        if record.state is not JobState.RUNNING:
            return
        names = {member.worker for member in record.placement}
        reports = [job.reports[name] for name in names if name in job.reports]
        if any(report.state is TaskState.FAILED for report in reports):
            self._finish(job, JobState.FAILED)
        elif len(reports) == len(names) and all(
            report.state is TaskState.SUCCEEDED for report in reports
        ):
            self._finish(job, JobState.SUCCEEDED)

    def _finish(self, job: _Job, state: JobState) -> None:
        answers = {name: report.answer for name, report in sorted(job.reports.items())}
        job.record = job.record.with_state(state, finished_at=self.clock.now(), answer=answers)
        log_event(LogEvent.JOB_FINISHED, job=job.record.job_id, state=state.value)
        self.run_task(self._save(job))
        if state is JobState.SUCCEEDED:
            job.done.set_result(Completed({"job": job.record.job_id, "answer": answers}))
        else:
            job.done.set_result(Unknown("the job failed"))

    async def _save(self, job: _Job) -> None:
        key = job_key(self._cfg.failure_domain, job.record.job_id)
        outcome = await self._store.put(key, msgspec.json.encode(job.record), job.version)
        if isinstance(outcome, Stored):
            job.version = outcome.version


def _shares(record: JobRecord, placement: Placement) -> dict[WorkerId, TaskShare]:
    """Return the part of the gang that each worker runs."""
    indices: dict[WorkerId, list[int]] = defaultdict(list)
    accelerators: dict[WorkerId, int] = defaultdict(int)
    for index, member in enumerate(placement):
        indices[member.worker].append(index)
        accelerators[member.worker] += member.accelerators
    spec = record.spec
    return {
        name: TaskShare(
            record.attempt,
            record.job_id,
            spec.account,
            spec.command,
            spec.payload,
            tuple(members),
            spec.gang_size,
            accelerators[name],
            record.checkpoint,
            spec.run_time,
        )
        for name, members in indices.items()
    }
