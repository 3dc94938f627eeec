"""Timer of the scheduling rounds, and the cluster view passed to the policy."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from chivefall.document import guarantee_shares
from chivefall.model import JobState, WorkerState
from chivefall.scheduling import ClusterView, QueuedJob, RunningJob, WorkerView

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from chivefall.config import Settings
    from chivefall.controllers.jobs._table import Job
    from chivefall.controllers.workers._workers import WorkerController
    from chivefall.model import Document
    from chivefall.runtime import Clock, TimerHandle

__all__ = ["RoundTimer", "build_cluster_view"]

ROUND_DELAY_SECONDS = 0.05  # changes within this time share one round


class RoundTimer:
    """Runs scheduling rounds on request and when the previous round asked for the next.

    Parameters
    ----------
    action : callable
        Runs a round; returns the time at which the next one is due, or None.
    """

    def __init__(self, clock: Clock, action: Callable[[float], float | None]) -> None:
        self._clock = clock
        self._action = action
        self._timer: TimerHandle | None = None

    def request(self) -> None:
        """Request a round; requests within ROUND_DELAY_SECONDS share one."""
        self._schedule(self._clock.now() + ROUND_DELAY_SECONDS)

    def _schedule(self, due: float) -> None:
        if self._timer is not None:
            if self._timer.due <= due:
                return
            self._timer.cancel()
        self._timer = self._clock.call_later(due - self._clock.now(), self._run)

    def _run(self) -> None:
        self._timer = None
        due = self._action(self._clock.now())
        if due is not None:
            self._schedule(due)


def build_cluster_view(
    cfg: Settings,
    document: Document,
    workers: WorkerController,
    jobs: Iterable[Job],
    now: float,
) -> ClusterView:
    """Return the state of the failure domain for the scheduling policy."""
    queued, running = [], []
    for job in jobs:
        record = job.record
        if _can_start(job, now):
            avoid = tuple({*record.failed_workers, *job.avoid})
            queued.append(
                QueuedJob(record.job_id, record.spec, record.submitted_at, record.progress, avoid)
            )
        elif record.placement is not None and not record.state.is_final:
            running.append(_running_job(job))
    return ClusterView(
        tuple(_as_schedulable(view) for view in workers.views()),
        tuple(queued),
        tuple(running),
        guarantee_shares(document, cfg.failure_domain),
        document.accounts,
        draining=not document.is_in_service(cfg.failure_domain),
    )


def _running_job(job: Job) -> RunningJob:
    record = job.record
    starting = record.state is JobState.STARTING
    return RunningJob(
        record.job_id,
        record.spec,
        record.placement,
        0.0 if starting else record.started_at,
        checkpointable=not (starting or job.busy) and record.spec.idempotent,
        checkpointed_seconds=record.progress,
        checkpointing=job.busy and not starting,
    )


def _can_start(job: Job, now: float) -> bool:
    idle = job.record.state is JobState.QUEUED and not job.busy
    return idle and not job.rejected and job.not_before <= now


def _as_schedulable(view: WorkerView) -> WorkerView:
    """Return an empty worker on probation as healthy, so that one job is started to probe it."""
    if view.state is WorkerState.PROBATION and view.free == view.accelerators:
        return replace(view, state=WorkerState.HEALTHY)
    return view
