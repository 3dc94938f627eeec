"""The leader's scheduler: batch jobs, scheduling rounds and progress records."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from circuits import handler

from chivefall.batch import (
    BatchJob,
    Candidate,
    JobState,
    Queue,
    RecordedEnd,
    RunId,
    StepSpec,
    StopCause,
    StopReason,
    Submission,
    decode_ends,
    decode_submission,
    find_displacements,
    restore_progress,
)
from chivefall.controllers._base import Controller
from chivefall.controllers.batch._admission import AdmissionControl
from chivefall.controllers.batch._mirror import PrefixMirror
from chivefall.controllers.batch._prevented_jobs import PreventedJobs
from chivefall.controllers.batch._progress_writer import ProgressWriter
from chivefall.controllers.batch._records import TrackedJob
from chivefall.controllers.batch._run_listener import RunListener
from chivefall.controllers.batch._unapplied_ends import UnappliedEnds
from chivefall.errors import MessageError
from chivefall.model import JobId
from chivefall.runtime import sleep
from chivefall.store import (
    BATCH_JOBS_PREFIX,
    WAITING_PREFIX,
    BatchPart,
    Listed,
    Stored,
    Version,
    batch_key,
    batch_prefix,
    parse_batch_key,
    parse_waiting_key,
)
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.batch import BatchPolicy, BatchTiming, Checkpoint, EndKind, GroupStart, Plan
    from chivefall.controllers._leader import LeaderController
    from chivefall.controllers.batch._catalog import CatalogController
    from chivefall.controllers.batch._fleet import FleetController
    from chivefall.model import Epoch, WorkerId
    from chivefall.runtime import Clock
    from chivefall.store import Entry, TransactionalStore
    from chivefall.telemetry import BatchMetrics

__all__ = ["BatchScheduler"]

ROUND_DELAY_SECONDS = 0.01  # combines changes that arrive together into one round
ROUND_INTERVAL_SECONDS = 0.25  # for decisions that depend only on time
WATCH_INTERVAL_SECONDS = 0.03  # between watches of the jobs, which change with each commit
MISSED_CHECK_INTERVAL_SECONDS = 0.5  # between checks for jobs missed by the watch
MAX_UNCONFIRMED_SECONDS = 1.0  # from an assignment until the job counts as pending again
JOBS_PER_REMOVAL = 7  # 4 keys a job; a store transaction takes 32 entries
LOAD_TIMEOUT_SECONDS = 8.0  # for a new leader to read the jobs; 2 MB take 3 s at 5 Mbit/s


class BatchScheduler(Controller, RunListener):
    """Manages the jobs while this instance leads; records assignments before it starts runs.

    Attributes
    ----------
    jobs : dict
        All jobs by id; empty while another instance leads.
    """

    def __init__(
        self,
        clock: Clock,
        store: TransactionalStore,
        policy: BatchPolicy,
        catalog: CatalogController,
        leader: LeaderController,
        fleet: FleetController,
        metrics: BatchMetrics,
        timing: BatchTiming,
    ) -> None:
        super().__init__(clock)
        self._timing = timing
        self._metrics = metrics
        self._store = store
        self._policy = policy
        self._catalog = catalog
        self._leader = leader
        self._fleet = fleet
        self._epoch: Epoch | None = None
        self._loaded = False
        self._round_scheduled = False
        self._last_round_seconds = 0.0
        self._writer = ProgressWriter(clock, store, leader, self.run_task, self._record_written)
        self._unapplied_ends = UnappliedEnds(
            clock, store, leader, metrics, self.run_task, self._read_job, self._apply_end
        )
        self._prevented_jobs = PreventedJobs(store, leader, self.run_task, timing.job_retention)
        self._admission = AdmissionControl(store, leader, self.run_task)
        self._checking_missed = False
        self._next_missed_check = 0.0
        self._ignored_jobs: set[JobId] = set()
        self._assigned_at: dict[JobId, float] = {}
        self.jobs: dict[JobId, TrackedJob] = {}
        catalog.on_change(self.fleet_changed)

    def start(self) -> None:
        """Start periodic rounds; they do nothing while another instance leads."""
        self.every(ROUND_INTERVAL_SECONDS, self._tick)

    @property
    def is_idle(self) -> bool:
        """Return whether no write is pending."""
        return self._writer.is_idle

    # Leadership

    @handler("leadership_gained", channel="*")
    def _on_leadership_gained(self, epoch: Epoch) -> None:
        self._close()
        self._epoch = epoch
        self._writer.open(epoch)
        self._unapplied_ends.open(epoch)
        self._prevented_jobs.open(epoch)
        self._admission.open(epoch)
        mirror = PrefixMirror(
            self.clock,
            self._store,
            BATCH_JOBS_PREFIX,
            lambda *change: self._apply(epoch, *change),
            lambda: self._is_current(epoch),
            self._timing.watch_wait,
            WATCH_INTERVAL_SECONDS,
        )
        self.run_task(self._read_jobs(epoch, mirror))
        self.clock.call_later(LOAD_TIMEOUT_SECONDS, lambda: self._check_load_timeout(epoch))

    def _check_load_timeout(self, epoch: Epoch) -> None:
        """Step down if the jobs have not been read, so that another instance can lead."""
        if self._is_current(epoch) and not self._loaded and self._catalog.is_loaded:
            self._leader.step_down("jobs could not be read from the store in time")

    async def _read_jobs(self, epoch: Epoch, mirror: PrefixMirror) -> None:
        """Read and watch the jobs once the catalog with their queues is loaded."""
        while self._is_current(epoch) and not self._catalog.is_loaded:
            await sleep(self.clock, ROUND_INTERVAL_SECONDS)
        await mirror.run()

    @handler("leadership_lost", channel="*")
    def _on_leadership_lost(self, _reason: str) -> None:
        self._close()

    def _close(self) -> None:
        self._epoch, self._loaded = None, False
        self.jobs, self._ignored_jobs, self._assigned_at = {}, set(), {}
        self._writer.close()
        self._unapplied_ends.close()
        self._prevented_jobs.close()
        self._admission.close()
        self._fleet.close()

    def _is_current(self, epoch: Epoch) -> bool:
        return self._epoch == epoch and not self.is_stopped

    # Records in the store

    def _apply(
        self, epoch: Epoch, entries: tuple[Entry, ...], deleted: tuple[str, ...], is_snapshot: bool
    ) -> None:
        del deleted  # only this leader deletes records
        if not self._is_current(epoch):
            return
        added = self._apply_entries(entries)
        if is_snapshot and not self._loaded:
            self._loaded = True
            log_event(LogEvent.BATCH_LOADED, epoch=epoch, jobs=len(self.jobs))
            # Worker reports can only be evaluated once all job records are loaded.
            self._fleet.open(epoch, self)
            for tracked in self.jobs.values():
                self._adopt_active_runs(tracked.job)
        elif self._loaded:
            for job_id in added:
                if self.jobs[job_id].job.started:
                    self._adopt_active_runs(self.jobs[job_id].job)
        self._request_round()

    def _apply_entries(self, entries: tuple[Entry, ...]) -> set[JobId]:
        """Apply changed records and return the jobs that were added and are valid."""
        parts: dict[BatchPart, list[tuple[JobId, Entry]]] = {part: [] for part in BatchPart}
        for entry in entries:
            parsed = parse_batch_key(entry.key)
            if parsed is not None:
                parts[parsed[1]].append((JobId(parsed[0]), entry))
        added = {job_id for job_id, entry in parts[BatchPart.SPEC] if self._add(job_id, entry)}
        if not self._loaded:
            added = set(self.jobs)  # also those of a load that was interrupted by an error
        for job_id, entry in parts[BatchPart.PROGRESS]:
            if job_id in added:
                self._restore(job_id, entry)
        for job_id, entry in parts[BatchPart.ENDS]:
            if job_id in added:
                self._apply_stored_ends(job_id, entry)
        for job_id, _ in parts[BatchPart.CANCEL]:
            self._apply_cancel(job_id)
        for job_id in added:
            # Pages of a list are no snapshot, so a key may be read before its job.
            if job_id in self.jobs and self._prevented_jobs.discard(job_id):
                self._cancel(self.jobs[job_id])
        return added & self.jobs.keys()

    def _read_job(self, job_id: JobId, entries: tuple[Entry, ...]) -> bool:
        """Read a job from its keys and return whether it is managed from now on."""
        self._apply(self._epoch, entries, (), False)
        return job_id in self.jobs

    def _add(self, job_id: JobId, entry: Entry) -> bool:
        """Add a job and return whether it is new and valid."""
        if job_id in self.jobs or job_id in self._ignored_jobs:
            return False
        try:
            submission = decode_submission(entry.value)
            if submission.job_id != job_id:
                raise MessageError("the record is that of another job", "remove the key")
        except MessageError as exc:
            self._ignore_job(job_id, entry.key, str(exc))
            return False
        queue = self._current_queue(submission)
        self.jobs[job_id] = TrackedJob(BatchJob(submission, queue.max_attempts))
        log_event(
            LogEvent.BATCH_JOB_READ,
            job=job_id,
            queue=queue.name,
            priority=queue.priority,
            account=submission.account,
            age=round(self.clock.now() - submission.submitted_at, 3),
            occurrences=submission.spec.occurrences,
            steps=[_describe_step(step) for step in submission.spec.steps],
        )
        return True

    def _ignore_job(self, job_id: JobId, key: str, reason: str) -> None:
        """Do not schedule a job with an invalid record while this instance leads."""
        self._ignored_jobs.add(job_id)
        self._metrics.invalid_entries.inc({"kind": "job"})
        log_event(LogEvent.BATCH_RECORD_INVALID, key=key, reason=reason)

    def _restore(self, job_id: JobId, entry: Entry) -> None:
        tracked = self.jobs.get(job_id)
        if tracked is None:
            return
        try:
            restore_progress(tracked.job, entry.value)
        except MessageError as exc:
            # What the job's tasks did is unknown, so none of them may start.
            del self.jobs[job_id]
            self._ignore_job(job_id, entry.key, str(exc))
            return
        tracked.version = Version(entry.version)
        tracked.logged_state = tracked.job.state
        tracked.has_waiting_key = False
        if tracked.logged_state.is_final:
            tracked.final_since = self.clock.now()

    def _apply_stored_ends(self, job_id: JobId, entry: Entry) -> None:
        """Apply the ends that were stored while a record of the job was invalid."""
        tracked = self.jobs.get(job_id)
        if tracked is None:
            return
        try:
            ends = decode_ends(job_id, entry.value)
        except MessageError as exc:
            del self.jobs[job_id]
            self._ignore_job(job_id, entry.key, str(exc))
            return
        for end in ends:
            self.run_ended(end.run, end.kind, end.checkpoint, lambda: None)
        # If the key is not removed, the next leader applies the ends again without effect.
        self._writer.schedule_write(tracked, lambda: self._remove_ends(entry))

    def _remove_ends(self, entry: Entry) -> None:
        self.run_task(self._store.delete(entry.key, entry.version))

    def _apply_end(self, end: RecordedEnd, acknowledge: Callable[[], None]) -> None:
        self.run_ended(end.run, end.kind, end.checkpoint, acknowledge)

    def _apply_cancel(self, job_id: JobId) -> None:
        if job_id in self.jobs:
            self._cancel(self.jobs[job_id])
        elif job_id not in self._ignored_jobs:
            self._prevented_jobs.add(job_id, self.clock.now())

    def _cancel(self, tracked: TrackedJob) -> None:
        if tracked.job.state.is_final:
            return
        tracked.job.cancelled = True
        self._writer.schedule_write(tracked)
        self._stop_all(tracked.job)

    def _adopt_active_runs(self, job: BatchJob) -> None:
        for task in job.active_tasks():
            assignment = task.assignment
            run = RunId(job.job_id, task.key, assignment.number)
            task.started_at = task.reported_at = self.clock.now()
            self._fleet.adopt(run, job.step_of(task.key), assignment.worker, assignment.incarnation)
        if not job.begun and not job.state.is_final:
            self._assigned_at[job.job_id] = self.clock.now()
        if job.state.is_final:
            self._stop_all(job)

    def _current_queue(self, submission: Submission) -> Queue:
        """Return a job's queue from the catalog, or as submitted if it has been removed."""
        return self._catalog.catalog.queues.get(submission.queue.name, submission.queue)

    def _check_missed_jobs(self, now: float) -> None:
        """Read waiting jobs missed by the watch, which may stall for a second."""
        if self._checking_missed or now < self._next_missed_check or not self._can_plan(now):
            return
        self._next_missed_check = now + MISSED_CHECK_INTERVAL_SECONDS
        self._checking_missed = True
        epoch = self._epoch
        done = self.run_task(self._read_missed_jobs(epoch))
        done.add_done_callback(lambda _: setattr(self, "_checking_missed", False))

    async def _read_missed_jobs(self, epoch: Epoch) -> None:
        listed = await self._store.list(WAITING_PREFIX)
        if not isinstance(listed, Listed) or not self._is_current(epoch):
            return
        for entry in listed.entries:
            job_id = parse_waiting_key(entry.key)
            if job_id in self.jobs:
                self._remove_stale_key(self.jobs[job_id])
            if job_id in self.jobs or job_id in self._ignored_jobs:
                continue
            found = await self._store.list(batch_prefix(job_id))
            if not isinstance(found, Listed) or not self._is_current(epoch):
                return
            self._apply(epoch, found.entries, (), False)
            if job_id not in self.jobs and job_id not in self._ignored_jobs:
                # Both keys are created together, so a key without a job has another writer.
                self._ignore_job(job_id, entry.key, "the store has no job with this id")

    def _remove_stale_key(self, tracked: TrackedJob) -> None:
        """Remove the waiting key of a job that an earlier leader counted as pending again."""
        if not (tracked.is_pending or tracked.has_waiting_key or tracked.has_pending_write):
            tracked.has_waiting_key = True
            self._writer.schedule_write(tracked)

    # Scheduling rounds

    def fleet_changed(self) -> None:
        """Request a round after a change of free resources, workers or the catalog."""
        self._fleet.fleet.domains_out_of_service = self._catalog.domains_out_of_service
        self._request_round()

    def _tick(self, now: float) -> None:
        self._remove_expired(now)
        if self._loaded:
            self._admission.update((tracked.job for tracked in self.jobs.values()), now)
        self._displace(now)
        self._count_unconfirmed_jobs(now)
        self._check_missed_jobs(now)
        self._request_round()

    def _request_round(self) -> None:
        if self._epoch is None or self._round_scheduled:
            return
        self._round_scheduled = True
        # Other work of the loop gets at least as much time as the rounds.
        delay = max(ROUND_DELAY_SECONDS, self._last_round_seconds)
        self.clock.call_later(delay, self._run_round)

    def _run_round(self) -> None:
        self._round_scheduled = False
        now = self.clock.now()
        if not self._can_plan(now):
            return
        self._fleet.fleet.domains_out_of_service = self._catalog.domains_out_of_service
        accounts = self._catalog.catalog.accounts.values()
        guarantees = {item.name: item.guaranteed_accelerators for item in accounts}
        plan = self._policy.plan(self._candidates(), self._fleet.fleet, now, guarantees)
        self._last_round_seconds = self.clock.now() - now
        self._metrics.round_seconds.observe({}, self._last_round_seconds)
        for job_id, exc in plan.errors.items():
            log_event(
                LogEvent.UNHANDLED_ERROR, controller="BatchPolicy", job=job_id, error=repr(exc)
            )
        if plan.starts or plan.preemptions:
            self._execute(plan, now)
        if not plan.complete:
            self._request_round()

    def _displace(self, now: float) -> None:
        """Stop runs that would finish earlier on another worker, and avoid slow workers."""
        if not self._can_plan(now):
            return
        jobs = (tracked.job for tracked in self.jobs.values())
        for displacement in find_displacements(jobs, self._fleet.fleet, now, self._timing):
            log_event(
                LogEvent.RUN_DISPLACED,
                run=str(displacement.run),
                worker=displacement.worker,
                reason=displacement.reason.value,
                progress=round(displacement.progress, 2),
            )
            self._metrics.displacements.inc({"reason": displacement.reason.value})
            self._fleet.avoid(displacement.worker, displacement.reason, now)
            cause = {"why": displacement.reason.value, "progress": round(displacement.progress, 2)}
            self._stop(displacement.run, StopCause(StopReason.DISPLACED, cause))

    def _can_plan(self, now: float) -> bool:
        """Return whether jobs, workers and catalog are current and starts can be recorded."""
        return (
            self._epoch is not None
            and self._loaded
            and self._fleet.is_loaded
            and self._leader.lease_is_valid(now)
            and self._catalog.is_fresh(now)
        )

    def _candidates(self) -> list[Candidate]:
        return [
            Candidate(tracked.job, self._current_queue(tracked.job.submission))
            for tracked in self.jobs.values()
        ]

    def _execute(self, plan: Plan, now: float) -> None:
        log_event(
            LogEvent.ROUND_PLANNED,
            starts=[[start.job.job_id, len(start.placements)] for start in plan.starts],
            stops=len(plan.preemptions),
            stops_for=sorted({job_id for job_id, _ in plan.preempted_for.values()}),
            catalog=self._catalog.catalog.version,
            catalog_age=round(self._catalog.age(now), 3),
            jobs=len(self.jobs),
        )
        for start in plan.starts:
            self._assign(start, now)
        for run in plan.preemptions:
            job_id, lost = plan.preempted_for[run]
            self.jobs[run.job].job.record_preemption(run, now)
            inputs = {"beneficiary": job_id, "lost_core_seconds": round(lost, 1)}
            self._stop(run, StopCause(StopReason.PREEMPTED, inputs))

    def _assign(self, start: GroupStart, now: float) -> None:
        job = start.job
        runs = job.assign(start.placements, now)
        for run, (key, worker, _) in zip(runs, start.placements, strict=True):
            self._fleet.reserve(worker, run, job.step_of(key))
        tracked = self.jobs[job.job_id]
        if not job.begun:
            self._assigned_at[job.job_id] = now
        epoch = self._epoch
        assignments = [
            (run, worker) for run, (_, worker, _) in zip(runs, start.placements, strict=True)
        ]
        self._writer.schedule_write(tracked, lambda: self._send_starts(epoch, job, assignments))

    def _send_starts(self, epoch: Epoch, job: BatchJob, assignments: list) -> None:
        if not self._is_current(epoch):
            return
        for run, worker in assignments:
            task = job.task(run.task)
            if job.state.is_final or task.stopping:
                self._fleet.cancel_reservation(worker, run)
                self.run_released(run)
            else:
                self.run_task(self._start_run(epoch, job, run, worker))

    async def _start_run(self, epoch: Epoch, job: BatchJob, run: RunId, worker: WorkerId) -> None:
        task = job.task(run.task)
        payload = job.submission.spec.payload
        is_running = await self._fleet.start_run(worker, run, payload, task.checkpoint, epoch)
        if not self._is_current(epoch):
            return  # The next leader adopts the run.
        if not is_running and job.step_of(run.task).gang:
            self._stop_gang(job, run)
        elif is_running and (task.stopping or job.state.is_final):
            self._fleet.stop_run(worker, run, StopCause(StopReason.DECIDED_EARLIER))

    def _count_unconfirmed_jobs(self, now: float) -> None:
        """Count jobs as pending again whose starts no worker has confirmed in time."""
        for job_id, assigned_at in list(self._assigned_at.items()):
            tracked = self.jobs.get(job_id)
            if tracked is None or tracked.job.begun or tracked.job.state.is_final:
                del self._assigned_at[job_id]
            elif now - assigned_at > MAX_UNCONFIRMED_SECONDS:
                del self._assigned_at[job_id]
                self._await_begin(tracked)

    def _await_begin(self, tracked: TrackedJob) -> None:
        """Count a job as pending until a run of it has begun."""
        if not tracked.awaits_begin:
            tracked.awaits_begin = True
            self._writer.schedule_write(tracked)

    def _record_begin(self, tracked: TrackedJob) -> None:
        if tracked.job.begun and tracked.awaits_begin:
            tracked.awaits_begin = False
            self._writer.schedule_write(tracked)

    def _stop_gang(self, job: BatchJob, run: RunId) -> None:
        """Stop the other members of a gang if one member cannot run."""
        cause = StopCause(StopReason.GANG_MEMBER_LOST, {"member": str(run)})
        for member in job.group(run.task.occurrence, run.task.step):
            if member.assignment is not None and member.assignment.number == run.number:
                self._stop(RunId(run.job, member.key, run.number), cause)

    def _stop_all(self, job: BatchJob) -> None:
        cause = StopCause(StopReason.JOB_ENDED, {"state": job.state.value})
        for task in job.active_tasks():
            self._stop(RunId(job.job_id, task.key, task.assignment.number), cause)

    def _stop(self, run: RunId, cause: StopCause) -> None:
        tracked = self.jobs.get(run.job)
        task = tracked.job.task(run.task) if tracked is not None else None
        if task is None or task.assignment is None or task.stopping:
            return
        task.stopping = True
        inputs = {
            **cause.inputs,
            "seconds": round(self.clock.now() - task.started_at, 2),
            "report_age": round(self.clock.now() - task.reported_at, 2),
        }
        self._fleet.stop_run(task.assignment.worker, run, replace(cause, inputs=inputs))

    # Changes of runs (RunListener)

    def _task_of(self, run: RunId):
        tracked = self.jobs.get(run.job)
        return None if tracked is None else tracked.job.task(run.task)

    def is_current_run(self, run: RunId) -> bool:
        """Return whether a run is the current run of its task."""
        task = self._task_of(run)
        return (
            task is not None
            and task.assignment is not None
            and task.assignment.number == run.number
        )

    def should_stop(self, run: RunId) -> bool:
        """Return whether a run must be stopped."""
        tracked = self.jobs.get(run.job)
        task = self._task_of(run)
        return task is not None and (
            task.stopping or tracked.job.is_superfluous(run) or tracked.job.state.is_final
        )

    def run_confirmed(self, run: RunId) -> None:
        """Record that the worker has reported the run."""
        tracked = self.jobs.get(run.job)
        if tracked is not None:
            tracked.job.confirm_running(run.task, run.number, self.clock.now())
            self._record_begin(tracked)

    def run_progressed(self, run: RunId, checkpoint: Checkpoint, progress: float) -> None:
        """Record the progress that a worker reports for a run."""
        tracked = self.jobs.get(run.job)
        if tracked is not None:
            tracked.job.record_progress(run, checkpoint, progress, self.clock.now())

    def run_ended(
        self, run: RunId, kind: EndKind, checkpoint: Checkpoint, acknowledge: Callable[[], None]
    ) -> None:
        """Apply the end of a run and call ``acknowledge`` once the result is written."""
        tracked = self.jobs.get(run.job)
        if tracked is None:
            self._unapplied_ends.add(RecordedEnd(run, kind, checkpoint), acknowledge)
            return
        was_current = self.is_current_run(run)
        if tracked.job.end_run(run, kind, checkpoint, self.clock.now()):
            if not was_current:
                self._stop_superfluous_runs(tracked.job, run)
            self._record_begin(tracked)
            self._log_retry_delay(tracked.job, run)
            if tracked.job.state is JobState.FAILED:
                self._stop_all(tracked.job)
            self._writer.schedule_write(tracked, acknowledge)
        elif tracked.has_pending_write:
            # The end may have been applied already, and the write under way may be the last one.
            self._writer.schedule_write(tracked, acknowledge)
        else:
            acknowledge()

    def _stop_superfluous_runs(self, job: BatchJob, done: RunId) -> None:
        """Stop the later runs of a task that a released run has finished."""
        cause = StopCause(StopReason.TASK_DONE, {"done": str(done)})
        for run in job.superfluous_runs(done):
            self._stop(run, cause)

    def _log_retry_delay(self, job: BatchJob, run: RunId) -> None:
        task, now = job.task(run.task), self.clock.now()
        if task.earliest_retry > now:
            log_event(
                LogEvent.RETRY_DELAYED,
                run=str(run),
                delay=round(task.earliest_retry - now, 2),
                failures=task.early_failures,
            )

    def suspects_worker(self, run: RunId) -> bool:
        """Return whether a failure of the run speaks against its worker and not its task."""
        tracked = self.jobs.get(run.job)
        if tracked is None or tracked.job.task(run.task) is None:
            return True
        return tracked.job.suspects_worker(run.task, self.clock.now())

    def run_released(self, run: RunId) -> None:
        """Record that a run does not exist and can no longer start."""
        tracked = self.jobs.get(run.job)
        if tracked is None or not tracked.job.release(run.task, run.number):
            return
        if tracked.job.step_of(run.task).gang:
            self._stop_gang(tracked.job, run)
        if not tracked.job.begun:
            self._await_begin(tracked)
        self._writer.schedule_write(tracked)
        self._request_round()

    # Written states

    def _record_written(self, tracked: TrackedJob, state: JobState) -> None:
        if state is not tracked.logged_state:
            tracked.logged_state = state
            self._observe_latency(tracked, state)
            log_event(
                LogEvent.BATCH_JOB_STATE,
                job=tracked.job.job_id,
                state=state.value,
                queue=tracked.job.submission.queue.name,
                seconds=round(self.clock.now() - tracked.job.submission.submitted_at, 3),
            )
        if state.is_final and tracked.final_since is None:
            tracked.final_since = self.clock.now()

    def _observe_latency(self, tracked: TrackedJob, state: JobState) -> None:
        submission = tracked.job.submission
        labels = {"priority": str(self._current_queue(submission).priority)}
        seconds = self.clock.now() - submission.submitted_at
        if state is JobState.RUNNING:
            self._metrics.start_seconds.observe(labels, seconds)
        elif state.is_final:
            self._metrics.completion_seconds.observe({**labels, "state": state.value}, seconds)

    def _remove_expired(self, now: float) -> None:
        """Delete final jobs after the retention period."""
        if not self._can_plan(now):
            return
        self._prevented_jobs.remove_expired(now)
        expired = [
            tracked
            for tracked in self.jobs.values()
            if tracked.final_since is not None
            and now - tracked.final_since > self._timing.job_retention
            and not tracked.job.active_tasks()
            and not tracked.dirty
        ][:JOBS_PER_REMOVAL]
        for tracked in expired:
            tracked.final_since = now  # retried after another period if the call fails
        if expired:
            self.run_task(self._delete(self._epoch, expired))

    async def _delete(self, epoch: Epoch, expired: list[TrackedJob]) -> None:
        conditions: dict[str, Version] = {self._leader.key: Version(epoch)}
        removes = [batch_key(tracked.job.job_id, part) for tracked in expired for part in BatchPart]
        outcome = await self._store.transact(conditions, (), removes)
        if isinstance(outcome, Stored) and self._is_current(epoch):
            for tracked in expired:
                self.jobs.pop(tracked.job.job_id, None)


def _describe_step(step: StepSpec) -> str:
    """Return a summary of a step for the log: tasks, resources, run time and constraints."""
    resources = step.resources
    kind = "gang" if step.gang else "tasks"
    location = step.data_rack or ("one rack" if step.same_rack else "anywhere")
    return (
        f"{step.count} {kind} of {resources.cpu}m {resources.memory}MB {resources.accelerators}acc "
        f"{step.run_time:.3g}s at {location} label {step.label or '-'} "
        f"max {step.max_per_worker or '-'} checkpoints {'yes' if step.checkpointed else 'no'}"
    )
