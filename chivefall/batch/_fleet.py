"""Workers of the region as the scheduler sees them, and their free resources."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from chivefall.batch._model import Resources, RunId, StepSpec, WorkerEntry, WorkerStatus

if TYPE_CHECKING:
    from chivefall.model import DomainId, WorkerId

__all__ = ["Fleet", "Worker"]


MAX_DOUBLING_BAD_RUNS = 4  # further bad runs no longer double the time
MAX_AVOID_SECONDS = 12.0  # degraded workers recover after 5 to 10 s


@dataclass
class Worker:
    """One incarnation of a worker and the runs that use its resources.

    Attributes
    ----------
    synced : bool
        Whether this leader has received a report of the worker's runs.
    suspect : bool
        Whether the last call to the worker failed.
    listed : bool
        Whether the platform lists the worker.
    accepts_starts : bool
        Whether starts may be sent; not while an acknowledgement is that may reach the next
        incarnation.
    runs : dict
        Step of each run that uses resources, from its assignment until its end is known.
    used : Resources
        Sum of the resources of these runs.
    avoided_until : float
        Time until which no tasks start here, in seconds since the Unix epoch.
    bad_runs : int
        Failed, stalled or slow runs minus successful ones, at least 0. Successes do not
        reset the count, so it stays high for a worker that fails half of its runs.
    earliest_exit : float
        Earliest time at which a draining worker may exit, in seconds since the Unix epoch;
        infinite for others.
    """

    entry: WorkerEntry
    synced: bool = False
    suspect: bool = False
    listed: bool = True
    accepts_starts: bool = True
    runs: dict[RunId, StepSpec] = field(default_factory=dict)
    used: Resources = field(default_factory=Resources)
    avoided_until: float = 0.0
    bad_runs: int = 0
    earliest_exit: float = float("inf")

    @property
    def worker_id(self) -> WorkerId:
        """Return the id of the worker."""
        return self.entry.worker_id

    @property
    def free(self) -> Resources:
        """Return the resources that no run uses."""
        return self.entry.capacity - self.used

    def allocate(self, run: RunId, step: StepSpec) -> None:
        """Allocate the resources of a run; has no effect if they are allocated already."""
        if run not in self.runs:
            self.runs[run] = step
            self.used += step.resources

    def record_bad_run(self, avoid_seconds: float, now: float) -> None:
        """Avoid the worker for ``avoid_seconds``, doubled with each bad run up to a limit."""
        self.bad_runs += 1
        factor = 2 ** (min(self.bad_runs, MAX_DOUBLING_BAD_RUNS) - 1)
        until = now + min(MAX_AVOID_SECONDS, avoid_seconds * factor)
        self.avoided_until = max(self.avoided_until, until)

    def record_good_run(self) -> None:
        """Record a successful run, which cancels out one bad run."""
        self.bad_runs = max(0, self.bad_runs - 1)

    def release(self, run: RunId) -> bool:
        """Release the resources of a run; return False if it had none."""
        step = self.runs.pop(run, None)
        if step is None:
            return False
        self.used -= step.resources
        return True


class Fleet:
    """All workers by id, and the failure domains that are out of service."""

    def __init__(self) -> None:
        self.workers: dict[WorkerId, Worker] = {}
        self.domains_out_of_service: frozenset[DomainId] = frozenset()

    def eligible_workers(
        self, step: StepSpec, service: str, now: float, *, include_avoided: bool = False
    ) -> list[Worker]:
        """Return the workers on which tasks of a step may start, regardless of free resources.

        Parameters
        ----------
        include_avoided : bool
            Whether to include workers that are avoided for a while after failed runs.
        """
        return [
            worker
            for worker in self.workers.values()
            if self._is_eligible(worker, step, service)
            and (include_avoided or now >= worker.avoided_until)
        ]

    def _is_eligible(self, worker: Worker, step: StepSpec, service: str) -> bool:
        entry = worker.entry
        return (
            entry.service == service
            and entry.status is WorkerStatus.READY
            and worker.listed
            and worker.synced
            and not worker.suspect
            and worker.accepts_starts
            and entry.domain not in self.domains_out_of_service
            and (step.label is None or step.label in entry.labels)
        )
