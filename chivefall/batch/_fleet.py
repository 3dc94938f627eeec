"""The workers as the leader knows them, and the room that is left on them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from chivefall.batch._model import Resources, RunId, StepSpec, WorkerEntry, WorkerStatus

if TYPE_CHECKING:
    from chivefall.model import DomainId, WorkerId

__all__ = ["Fleet", "Worker"]


MAX_DOUBLING_BAD_RUNS = 4  # above which further ones no longer double the time
MAX_AVOID_SECONDS = 12.0  # of one avoidance; grey workers recover after 5 to 10 s


@dataclass
class Worker:
    """One life of a worker and the runs that hold room on it.

    Attributes
    ----------
    runs : dict
        Steps of the runs that hold room, from their assignment until their end is known.
    synced : bool
        Whether the worker told this leader what it runs.
    suspect : bool
        Whether the last call to it failed.
    avoided_until : float
        Time until which no tasks start, in seconds since the epoch.
    bad_runs : int
        Failed, stalled or slow runs, less the runs done since; never below 0. A worker
        that fails half of its runs keeps a high count, where a count of failures in a
        row would often start again.
    earliest_exit : float
        Time by which a draining worker may be gone; infinite for others.
    """

    entry: WorkerEntry
    synced: bool = False
    suspect: bool = False
    listed: bool = True
    runs: dict[RunId, StepSpec] = field(default_factory=dict)
    used: Resources = field(default_factory=Resources)
    avoided_until: float = 0.0
    bad_runs: int = 0
    earliest_exit: float = float("inf")

    @property
    def worker_id(self) -> WorkerId:
        """Return the worker's id."""
        return self.entry.worker_id

    @property
    def free(self) -> Resources:
        """Return the room that no run holds."""
        return self.entry.capacity - self.used

    def allocate(self, run: RunId, step: StepSpec) -> None:
        """Take room for a run; has no effect if the run holds room already."""
        if run not in self.runs:
            self.runs[run] = step
            self.used += step.resources

    def record_bad_run(self, seconds: float, now: float) -> None:
        """Avoid the worker for a while, longer the more of its runs were bad."""
        self.bad_runs += 1
        factor = 2 ** (min(self.bad_runs, MAX_DOUBLING_BAD_RUNS) - 1)
        until = now + min(MAX_AVOID_SECONDS, seconds * factor)
        self.avoided_until = max(self.avoided_until, until)

    def record_good_run(self) -> None:
        """Note a run that was done; it makes up for one bad run."""
        self.bad_runs = max(0, self.bad_runs - 1)

    def release(self, run: RunId) -> bool:
        """Give a run's room back; return whether it held any."""
        step = self.runs.pop(run, None)
        if step is None:
            return False
        self.used -= step.resources
        return True


class Fleet:
    """All workers by id, and the domains that are out of service."""

    def __init__(self) -> None:
        self.workers: dict[WorkerId, Worker] = {}
        self.domains_out_of_service: frozenset[DomainId] = frozenset()

    def eligible_workers(self, step: StepSpec, service: str, now: float) -> list[Worker]:
        """Return the workers that may start tasks of a step, whatever room they have left."""
        return [
            worker
            for worker in self.workers.values()
            if self._is_eligible(worker, step, service, now)
        ]

    def _is_eligible(self, worker: Worker, step: StepSpec, service: str, now: float) -> bool:
        entry = worker.entry
        return (
            entry.service == service
            and entry.status is WorkerStatus.READY
            and worker.listed
            and worker.synced
            and not worker.suspect
            and now >= worker.avoided_until
            and entry.domain not in self.domains_out_of_service
            and (step.label is None or step.label in entry.labels)
        )
