"""Jobs of the failure domain: queue, scheduling rounds and takeover."""

from __future__ import annotations

import secrets
from collections import defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING

from circuits import handler

from chivefall.controllers._base import Controller
from chivefall.controllers.jobs._lifecycle import START_RETRY_DELAY_SECONDS, JobLifecycle
from chivefall.controllers.jobs._owner import JobOwner
from chivefall.controllers.jobs._records import MAX_RECORD_BYTES, JobRecords, encode_record
from chivefall.controllers.jobs._rounds import RoundTimer, build_cluster_view
from chivefall.controllers.jobs._table import Job, WaitReply, workers_of
from chivefall.controllers.jobs._takeover import Takeover
from chivefall.events import job_rejected, job_started
from chivefall.model import (
    Accepted,
    Epoch,
    JobId,
    JobRecord,
    JobSpec,
    JobState,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    WorkerId,
    WorkerState,
)
from chivefall.runtime import wait_for
from chivefall.store import ABSENT, Store
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from chivefall.config import Settings
    from chivefall.controllers._leader import LeaderController
    from chivefall.controllers.document._document import DocumentController
    from chivefall.controllers.workers._workers import WorkerController
    from chivefall.model import Placement
    from chivefall.runtime import Clock
    from chivefall.scheduling import ClusterView, SchedulingPolicy
    from chivefall.workers import TaskReport

__all__ = ["JobController"]

RETRY_AFTER_SECONDS = 2.0  # retry hint for callers of an instance that does not lead
FINISHED_JOB_RETENTION_SECONDS = 86_400.0
CLEANUP_INTERVAL_SECONDS = 60.0
MAX_DELETIONS_PER_CLEANUP = 10  # the target of 3,200 jobs a day needs 2.3 deletions a minute
RECORD_TIMEOUT_SECONDS = 2.0  # wait for the record of a transferred job to be stored
MAX_ROUND_INTERVAL_SECONDS = 10.0  # while jobs are queued; run-time estimates change slowly
CANCEL_WAIT_SECONDS = 10.0  # a cancellation not stored by then is reported as Unknown


class JobController(Controller, JobOwner):
    """Accepts, schedules and finishes the jobs of the failure domain while this instance leads."""

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
        self._policy = policy
        self._document = document
        self._leader = leader
        self._workers = workers
        self.jobs: dict[JobId, Job] = {}
        self.ready = False
        self.records = JobRecords(clock, store, cfg.failure_domain, self.run_task, leader.step_down)
        self._rounds = RoundTimer(clock, self._round)
        self._lifecycle = JobLifecycle(self, clock, cfg, workers, self._may_start)
        self._takeover = Takeover(self, clock, leader, workers, self._lifecycle)

    def start(self) -> None:
        """Start the periodic deletion of old records; changes trigger the scheduling rounds."""
        self.every(CLEANUP_INTERVAL_SECONDS, lambda now: self.run_task(self._clean_up(now)))

    async def submit(self, spec: JobSpec, wait: bool = False) -> Outcome:
        """Record a job and queue it.

        Returns
        -------
        Accepted
            The job is recorded, or the store is down but the job is idempotent and
            its caller waits.
        NotRun
            Nothing was recorded.
        Unknown
            The store did not confirm whether the job is recorded.
        """
        if not self._leader.leads or not self.ready:
            return NotRun(
                NotRunReason.NO_LEADER,
                "this instance does not lead its domain",
                RETRY_AFTER_SECONDS,
            )
        epoch = self._leader.epoch
        job_id = JobId(f"{self._cfg.failure_domain}.{secrets.token_hex(8)}")
        record = JobRecord(job_id, spec, submitted_at=self.clock.now())
        data = encode_record(record)
        if len(data) > MAX_RECORD_BYTES:
            detail = f"the job record has {len(data)} bytes; at most {MAX_RECORD_BYTES} are allowed"
            return NotRun(NotRunReason.BAD_REQUEST, detail)
        created = await self.records.create(record)
        if isinstance(created, int) and not self._leader.lease_is_valid(self.clock.now()):
            return await self.records.withdraw(job_id, created)
        if self._leader.epoch != epoch:
            return created
        if not isinstance(created, int) and not (spec.idempotent and wait):
            return created
        job = self.jobs[job_id] = Job(record, created if isinstance(created, int) else ABSENT)
        if not job.recorded:
            job.unconfirmed_writes.append(data)
            self.records.save(job)
        log_event(LogEvent.JOB_ACCEPTED, job=job_id, account=spec.account, recorded=job.recorded)
        self._rounds.request()
        return Accepted(job_id)

    async def wait(self, job_id: JobId, seconds: float) -> WaitReply:
        """Wait for up to ``seconds`` for a job to end or to move to another domain."""
        if not self.ready:
            return WaitReply()
        job = self.jobs.get(job_id)
        if job is None:
            return WaitReply(Unknown(f"job {job_id} is not known to its leader"))
        outcome = await wait_for(self.clock, job.outcome, seconds, None)
        moved = job.record.moved_to if job.record.state is JobState.MOVED else None
        return WaitReply(outcome, moved)

    def status(self, job_id: JobId) -> JobRecord | None:
        """Return a job's record."""
        job = self.jobs.get(job_id)
        return job.record if job else None

    async def cancel(self, job_id: JobId) -> JobRecord | Unknown | None:
        """Cancel a job and return its final record, or None if there is no such job.

        A finished job is left unchanged. The result is Unknown if the final
        state was not stored in time.
        """
        job = self.jobs.get(job_id)
        if job is None or job.record.state.is_final:
            return job.record if job else None
        log_event(LogEvent.JOB_CANCEL_REQUESTED, job=job_id)
        job.record = replace(job.record, cancel_requested=True)
        self._rounds.request()
        deadline = self.clock.now() + CANCEL_WAIT_SECONDS
        await wait_for(self.clock, job.outcome, CANCEL_WAIT_SECONDS, None)
        remaining = max(0.0, deadline - self.clock.now())
        if job.record.state.is_final and await wait_for(self.clock, job.saved, remaining, False):
            return job.record
        return Unknown(f"the final state of job {job_id} is not recorded yet")

    def capacity_summary(self) -> tuple[int, ...]:
        """Return the free accelerators, the most in one rack, and the number of queued jobs."""
        racks: dict[str, int] = defaultdict(int)
        for worker in self._workers.views():
            if worker.state is WorkerState.HEALTHY:
                racks[worker.rack] += worker.free
        queued = sum(1 for job in self.jobs.values() if job.record.state is JobState.QUEUED)
        return (sum(racks.values()), max(racks.values(), default=0), queued)

    @handler("leadership_gained")
    def _on_leadership_gained(self, epoch: Epoch) -> None:
        self.ready = False
        self.run_task(self._takeover.run(epoch))

    @handler("leadership_lost")
    def _on_leadership_lost(self, _reason: str) -> None:
        self.ready = False
        self.records.reset()
        jobs, self.jobs = self.jobs, {}
        for job in jobs.values():
            job.outcome.set_result(None)

    @handler("document_adopted", "workers_changed")
    def _on_change(self, *_: object) -> None:
        self._rounds.request()

    @handler("task_reported")
    def _on_task_reported(self, worker: WorkerId, report: TaskReport) -> None:
        if not self.ready:
            return
        job = self.jobs.get(report.job_id)
        if job is not None and job.record.attempt == report.attempt:
            job.record_report(worker, report)
            self._lifecycle.apply_reports(job)
        else:
            self._takeover.stop_unknown_task(worker, report)

    @handler("worker_lost")
    def _on_worker_lost(self, worker: WorkerId) -> None:
        for job in list(self.jobs.values()):
            if worker in workers_of(job.record):
                self._lifecycle.apply_reports(job)

    def owns(self, job: Job) -> bool:
        """Return whether this instance still manages a job."""
        return self._leader.leads and self.jobs.get(job.record.job_id) is job

    def observe_finished(self, record: JobRecord) -> None:
        """Report the run time of a job that succeeded to the scheduling policy."""
        seconds = record.progress + record.finished_at - record.started_at
        self._policy.observe_finished(record.spec, max(0.0, seconds))

    def announce_started(self, record: JobRecord) -> None:
        """Notify the other controllers that a job runs."""
        self.fire(job_started(record))

    def drain_order(self, now: float) -> tuple[JobId, ...]:
        """Return the running jobs in the order in which a drain checkpoints them."""
        return self._policy.drain_order(self._view(now), now)

    def _view(self, now: float) -> ClusterView:
        document = self._document.document
        return build_cluster_view(self._cfg, document, self._workers, self.jobs.values(), now)

    def request_round(self) -> None:
        """Request a scheduling round."""
        self._rounds.request()

    def update_record(self, job: Job, record: JobRecord) -> None:
        """Replace and store a job's record, and notify its callers if it ended."""
        self._lifecycle.update_record(job, record)

    def reject(self, job: Job, reason: str) -> None:
        """Fail a job that no failure domain can run."""
        now = self.clock.now()
        self.update_record(
            job, job.record.with_state(JobState.FAILED, error=reason, finished_at=now)
        )

    def checkpoint(self, job_id: JobId) -> None:
        """Checkpoint a running job and queue it again."""
        self._lifecycle.interrupt(self.jobs[job_id], checkpoint=True)

    async def accept_transfer(self, record: JobRecord, previous: Job | None) -> Outcome:
        """Record and queue a job that was transferred from another failure domain.

        Parameters
        ----------
        previous : Job or None
            The same job from before it moved away; its record is replaced.
        """
        epoch = self._leader.epoch
        if previous is None:
            version = await self.records.create(record)
            if not isinstance(version, int):
                return version
            if self._leader.epoch != epoch or not self._leader.lease_is_valid(self.clock.now()):
                return Unknown(
                    "the leader stepped down or lost its lease while it recorded the job"
                )
            job = self.jobs[record.job_id] = Job(record, version)
            job.saved.set_result(True)
        else:
            job = self.jobs[record.job_id] = Job(record, previous.version)
            if not await wait_for(
                self.clock, self.records.save(job), RECORD_TIMEOUT_SECONDS, False
            ):
                return Unknown("the job is not recorded yet")
        job.queued_at = self.clock.now()
        log_event(LogEvent.JOB_ACCEPTED, job=record.job_id, account=record.spec.account)
        self._rounds.request()
        return Accepted(record.job_id)

    def _may_start(self, now: float) -> bool:
        in_service = self._document.document.is_in_service(self._cfg.failure_domain)
        return self._leader.leads and in_service and self._document.may_start_tasks(now)

    def _round(self, now: float) -> float | None:
        """Run a scheduling round and return the time at which the next one is due, if any."""
        if not self.ready or not self._leader.leads:
            return None
        self._process_cancellations(now)
        leaving = self._workers.leaving()
        for job in list(self.jobs.values()):
            movable = job.record.state is JobState.RUNNING and job.record.spec.idempotent
            if movable and leaving.intersection(workers_of(job.record)):
                self._lifecycle.interrupt(job, checkpoint=True)
        view = self._view(now)
        waiting = any(job.record.state is JobState.QUEUED for job in self.jobs.values())
        if not waiting and not view.draining:
            return None
        plan = self._policy.plan(view, now)
        for job_id, reason in plan.rejections.items():
            self.jobs[job_id].rejected = True
            self.fire(job_rejected(job_id, reason))
        for job_id in dict.fromkeys((*plan.preemptions, *plan.moves)):
            if self.jobs[job_id].record.state is JobState.RUNNING:
                self._lifecycle.interrupt(self.jobs[job_id], checkpoint=True)
        if not self._may_start(now):
            return now + START_RETRY_DELAY_SECONDS
        self._start_planned(plan.starts, now)
        return self._next_round(now)

    def _next_round(self, now: float) -> float:
        """Return the time of the next round if no change triggers one before."""
        due = [
            job.not_before
            for job in self.jobs.values()
            if job.record.state is JobState.QUEUED and job.not_before > now
        ]
        probe = self._workers.quarantine.next_probe(now)
        if probe is not None:
            due.append(probe)
        return min([now + MAX_ROUND_INTERVAL_SECONDS, *due])

    def _start_planned(self, starts: tuple[tuple[JobId, Placement], ...], now: float) -> None:
        quarantine = self._workers.quarantine
        for job_id, placement in starts:
            names = {member.worker for member in placement}
            states = {quarantine.state(name, now) for name in names}
            if WorkerState.QUARANTINED in states:
                continue  # another job of this plan already probes one of the workers
            for name in names:
                quarantine.start_probe(name)
            self.run_task(self._lifecycle.start(self.jobs[job_id], placement))

    def _process_cancellations(self, now: float) -> None:
        for job in list(self.jobs.values()):
            record = job.record
            if not record.cancel_requested or record.state.is_final or job.busy:
                continue
            if record.state is JobState.QUEUED:
                self._lifecycle.update_record(
                    job, record.with_state(JobState.CANCELLED, finished_at=now)
                )
            elif record.state is JobState.RUNNING:
                self._lifecycle.interrupt(job)

    async def _clean_up(self, now: float) -> None:
        """Delete records whose retention time has passed, a few at a time."""
        expired = [
            job
            for job in self.jobs.values()
            if job.record.state.is_final
            and job.record.finished_at < now - FINISHED_JOB_RETENTION_SECONDS
            and not job.saving
        ]
        for job in expired[:MAX_DELETIONS_PER_CLEANUP]:
            if await self.records.delete(job):
                self.jobs.pop(job.record.job_id, None)
