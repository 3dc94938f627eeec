"""State transitions of a job: start, reports, interruption and end of its attempts."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from chivefall.controllers.jobs._attempts import (
    AttemptDecision,
    decide_attempt,
    next_record_after_release,
    succeeded_record,
)
from chivefall.controllers.jobs._gangs import GangCommands
from chivefall.controllers.jobs._table import Job, final_outcome, task_shares_of, workers_of
from chivefall.model import AttemptId, JobRecord, JobState, TaskState
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.config import Settings
    from chivefall.controllers.jobs._owner import JobOwner
    from chivefall.controllers.workers._workers import WorkerController
    from chivefall.model import Placement
    from chivefall.runtime import Clock

__all__ = ["START_RETRY_DELAY_SECONDS", "JobLifecycle"]

START_RETRY_DELAY_SECONDS = 1.0  # before the next start of a job whose gang did not start


class JobLifecycle:
    """Carries out the state transitions of the jobs of a job controller."""

    def __init__(
        self,
        jobs: JobOwner,
        clock: Clock,
        cfg: Settings,
        workers: WorkerController,
        may_start: Callable[[float], bool],
    ) -> None:
        self._jobs = jobs
        self._clock = clock
        self._workers = workers
        self._gangs = GangCommands(clock, cfg.timing, workers, jobs.run_task, may_start, jobs.owns)

    def adopt(self, job: Job) -> None:
        """Continue or release an attempt that a previous leader started."""
        decision = decide_attempt(job.record, job.reports, self._workers.lost())
        if decision is AttemptDecision.ADOPT:
            job.busy = True
            log_event(LogEvent.JOB_ADOPTED, job=job.record.job_id, attempt=job.record.attempt)
            self._jobs.run_task(self._confirm(job))
        else:
            self.interrupt(job)

    def apply_reports(self, job: Job) -> None:
        """Finish or interrupt a running job if its reports or lost workers require it."""
        if job.busy or job.record.state is not JobState.RUNNING:
            return
        decision = decide_attempt(job.record, job.reports, self._workers.lost())
        if decision is AttemptDecision.SUCCEED:
            self.update_record(job, succeeded_record(job.record, job.reports, self._clock.now()))
        elif decision is not AttemptDecision.ADOPT:
            self.interrupt(job)

    def interrupt(self, job: Job, checkpoint: bool = False) -> None:
        """Checkpoint or stop a whole gang, then queue or end the job."""
        if job.busy or not workers_of(job.record):
            return
        job.busy = True
        log_event(LogEvent.JOB_INTERRUPTED, job=job.record.job_id, checkpoint=checkpoint)
        self._jobs.run_task(self._release(job, checkpoint))

    async def start(self, job: Job, placement: Placement) -> None:
        """Record a new attempt and start its gang."""
        number = job.record.attempts + 1
        attempt = AttemptId(f"{job.record.job_id}.{number}.{secrets.token_hex(4)}")
        job.record = job.record.with_state(
            JobState.STARTING, attempt=attempt, attempts=number, placement=placement
        )
        job.busy, job.committed, job.confirmed = True, False, False
        job.reports.clear()
        for name, share in task_shares_of(job.record).items():
            self._workers.mark_reserved(name, share)
        saved = self._jobs.records.save(job)
        if job.recorded and not await saved:
            return
        if self._jobs.owns(job):
            await self._start_gang(job)
        else:
            await self._release(job)

    async def _start_gang(self, job: Job) -> None:
        if await self._gangs.start(job):
            self._mark_running(job)
        elif self._jobs.owns(job):
            log_event(LogEvent.JOB_START_FAILED, job=job.record.job_id)
            await self._release(job)

    async def _confirm(self, job: Job) -> None:
        if await self._gangs.confirm(job):
            self._mark_running(job)
        else:
            await self._release(job)

    def _mark_running(self, job: Job) -> None:
        job.busy = False
        job.avoid.clear()
        job.record = job.record.with_state(JobState.RUNNING, started_at=self._clock.now())
        self._jobs.records.save(job)
        log_event(LogEvent.JOB_STARTED, job=job.record.job_id, attempt=job.record.attempt)
        self._jobs.announce_started(job.record)
        self.apply_reports(job)
        # Now that the job runs, it can be checkpointed to free capacity for a queued one.
        self._jobs.request_round()

    async def _release(self, job: Job, checkpoint: bool = False) -> None:
        if checkpoint:
            job.record = job.record.with_state(JobState.CHECKPOINTING)
            self._jobs.records.save(job)
            await self._gangs.checkpoint(job)
        await self._gangs.release(job)
        if not self._jobs.owns(job):
            return
        now = self._clock.now()
        self._record_failures(job, now)
        job.busy = False
        self.update_record(
            job, next_record_after_release(job.record, job.reports, job.committed, now)
        )
        if not checkpoint:
            job.not_before = now + START_RETRY_DELAY_SECONDS

    def update_record(self, job: Job, record: JobRecord) -> None:
        """Replace and store a job's record, and notify its callers if it ended."""
        if record.state is JobState.SUCCEEDED:
            for name in workers_of(record):
                self._workers.quarantine.record_success(name)
            self._jobs.observe_finished(record)
        job.record = record
        job.queued_at = self._clock.now()
        self._jobs.records.save(job)
        if record.state.is_final:
            log_event(LogEvent.JOB_FINISHED, job=record.job_id, state=record.state.value)
            job.outcome.set_result(final_outcome(record))
        self._jobs.request_round()

    def _record_failures(self, job: Job, now: float) -> None:
        for name in workers_of(job.record):
            report = job.reports.get(name)
            if report is not None and report.state is TaskState.FAILED:
                if self._workers.quarantine.record_failure(name, job.record.job_id, now):
                    log_event(LogEvent.WORKER_QUARANTINED, worker=name)
            else:
                self._workers.quarantine.end_probe(name)
