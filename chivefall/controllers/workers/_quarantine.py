"""Quarantine of workers on which different jobs keep failing."""

from __future__ import annotations

from dataclasses import dataclass, field

from chivefall.model import JobId, WorkerId, WorkerState

__all__ = ["Quarantine"]

FAILURES_TO_QUARANTINE = 3  # consecutive failures, of different jobs
FAILURE_WEIGHT_TO_QUARANTINE = 2.0  # three jobs that each failed on 2 workers weigh only 1.5
FIRST_PROBE_DELAY_SECONDS = 60.0  # doubled after each failed probe
MAX_PROBE_DELAY_SECONDS = 3600.0
FAILED_WORKERS_TO_CLEAR = 3  # failures of a job on so many workers are blamed on the job
MAX_TRACKED_FAILED_JOBS = 1000


@dataclass
class _FailureHistory:
    """Failed jobs of a worker since its last success, and its probes.

    Attributes
    ----------
    probe_delay : float
        Seconds from the start of a quarantine to the next probe.
    probe_at : float or None
        Time of the next probe; None while the worker is not in quarantine.
    """

    failed_jobs: list[JobId] = field(default_factory=list)
    probe_delay: float = FIRST_PROBE_DELAY_SECONDS
    probe_at: float | None = None
    probe_running: bool = False


class Quarantine:
    """Failures of each worker and the quarantine that follows from them.

    A failure weighs less the more workers the same job failed on, because the job
    itself may be at fault.
    """

    def __init__(self) -> None:
        self._workers: dict[WorkerId, _FailureHistory] = {}
        self._failed_on: dict[JobId, set[WorkerId]] = {}

    def record_success(self, worker: WorkerId) -> None:
        """Record a share that succeeded, which ends the worker's quarantine."""
        self._workers.pop(worker, None)

    def record_failure(self, worker: WorkerId, job: JobId, now: float) -> bool:
        """Record a share that failed.

        Returns whether this starts a quarantine, or a new one after a failed probe.
        """
        failed_on = self._failed_on.setdefault(job, set())
        failed_on.add(worker)
        while len(self._failed_on) > MAX_TRACKED_FAILED_JOBS:
            del self._failed_on[next(iter(self._failed_on))]
        history = self._workers.setdefault(worker, _FailureHistory())
        history.failed_jobs = [item for item in history.failed_jobs if item != job] + [job]
        history.failed_jobs = history.failed_jobs[-FAILURES_TO_QUARANTINE:]
        if len(failed_on) >= FAILED_WORKERS_TO_CLEAR:
            self._clear(job)
            return False
        if history.probe_running:
            history.probe_running = False
            history.probe_delay = min(MAX_PROBE_DELAY_SECONDS, history.probe_delay * 2)
        elif history.probe_at is not None or not self._exceeds_limit(history):
            return False
        history.probe_at = now + history.probe_delay
        return True

    def start_probe(self, worker: WorkerId) -> None:
        """Record that a job was started on a worker on probation."""
        history = self._workers.get(worker)
        if history is not None and history.probe_at is not None:
            history.probe_running = True

    def state(self, worker: WorkerId, now: float) -> WorkerState:
        """Return HEALTHY, QUARANTINED or, when a probe is due, PROBATION."""
        history = self._workers.get(worker)
        if history is None or history.probe_at is None:
            return WorkerState.HEALTHY
        if history.probe_running or now < history.probe_at:
            return WorkerState.QUARANTINED
        return WorkerState.PROBATION

    def next_probe(self, now: float) -> float | None:
        """Return the earliest time after ``now`` at which a probe becomes due."""
        times = [h.probe_at for h in self._workers.values() if h.probe_at and h.probe_at > now]
        return min(times, default=None)

    def end_probe(self, worker: WorkerId) -> None:
        """Record that a probe ended without a result, so that another one may start."""
        history = self._workers.get(worker)
        if history is not None:
            history.probe_running = False

    def _exceeds_limit(self, history: _FailureHistory) -> bool:
        weight = sum(1 / len(self._failed_on.get(job, (0,))) for job in history.failed_jobs)
        return (
            len(history.failed_jobs) >= FAILURES_TO_QUARANTINE
            and weight >= FAILURE_WEIGHT_TO_QUARANTINE
        )

    def _clear(self, job: JobId) -> None:
        """Remove a job that failed on many workers from all histories."""
        for worker, history in list(self._workers.items()):
            if job in history.failed_jobs:
                history.failed_jobs.remove(job)
                if len(history.failed_jobs) < FAILURES_TO_QUARANTINE:
                    del self._workers[worker]
