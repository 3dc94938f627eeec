"""Takeover of a failure domain's jobs by a new leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.controllers.jobs._table import Job, final_outcome
from chivefall.model import JobState
from chivefall.runtime import sleep
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from chivefall.controllers._leader import LeaderController
    from chivefall.controllers.jobs._lifecycle import JobLifecycle
    from chivefall.controllers.jobs._owner import JobOwner
    from chivefall.controllers.workers._workers import WorkerController
    from chivefall.model import Epoch, WorkerId
    from chivefall.runtime import Clock
    from chivefall.workers import TaskReport

__all__ = ["Takeover"]

MAX_REPORT_WAIT_SECONDS = 10.0  # limit of the wait for the workers' reports
POLL_INTERVAL_SECONDS = 0.5  # for reads of the records and checks of the reports


class Takeover:
    """Loads the job records and matches them with the tasks that the workers report."""

    def __init__(
        self,
        jobs: JobOwner,
        clock: Clock,
        leader: LeaderController,
        workers: WorkerController,
        lifecycle: JobLifecycle,
    ) -> None:
        self._jobs = jobs
        self._clock = clock
        self._leader = leader
        self._workers = workers
        self._lifecycle = lifecycle

    async def run(self, epoch: Epoch) -> None:
        """Load the records, then adopt or release each attempt according to the reports."""
        while (loaded := await self._jobs.records.load()) is None:
            await sleep(self._clock, POLL_INTERVAL_SECONDS)
            if self._leader.epoch != epoch:
                return
        deadline = self._clock.now() + MAX_REPORT_WAIT_SECONDS
        while not self._workers.all_reported(epoch) and self._clock.now() < deadline:
            await sleep(self._clock, POLL_INTERVAL_SECONDS)
        if self._leader.epoch != epoch:
            return
        for record, version in loaded:
            job = self._jobs.jobs[record.job_id] = Job(record, version)
            job.committed = job.confirmed = record.attempt is not None
            job.queued_at = self._clock.now()
            if record.state.is_final:
                job.outcome.set_result(final_outcome(record))
        self._jobs.ready = True
        log_event(LogEvent.RECORDS_LOADED, records=len(loaded), epoch=epoch)
        self._match_tasks()
        for job in list(self._jobs.jobs.values()):
            if job.record.state in (JobState.STARTING, JobState.CHECKPOINTING):
                self._lifecycle.adopt(job)
            else:
                self._lifecycle.apply_reports(job)
        self._workers.drop_finished_tasks()
        self._jobs.request_round()

    def _match_tasks(self) -> None:
        """Assign the reports to the jobs of their tasks, and stop all other tasks."""
        for (name, _), task in self._workers.tasks().items():
            job = self._jobs.jobs.get(task.job_id)
            if job is not None and job.record.attempt == task.attempt:
                job.record_report(name, task)
            else:
                self.stop_unknown_task(name, task)

    def stop_unknown_task(self, worker: WorkerId, report: TaskReport) -> None:
        """Stop an unfinished task that belongs to no current attempt of a job."""
        if self._workers.has_unfinished_task(worker, report.attempt):
            log_event(LogEvent.UNKNOWN_TASK_STOPPED, attempt=report.attempt, worker=worker)
            self._jobs.run_task(self._workers.stop_task(worker, report.attempt))
