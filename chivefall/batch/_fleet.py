"""The workers as the leader knows them, and the room that is left on them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from chivefall.batch._model import Resources, RunId, StepSpec, WorkerEntry, WorkerStatus

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.model import DomainId, WorkerId

__all__ = ["Fleet", "Placed", "Worker"]


@dataclass(frozen=True)
class Placed:
    """Room that a run holds, from its assignment until its end is known."""

    room: Resources
    priority: int
    step: StepSpec


@dataclass
class Worker:
    """One life of a worker and the runs that hold room on it.

    Attributes
    ----------
    synced : bool
        Whether the worker told this leader what it runs.
    suspect : bool
        Whether the last call to it failed.
    failures, successes : int
        Ends of runs since the last change of suspicion.
    """

    entry: WorkerEntry
    synced: bool = False
    suspect: bool = False
    listed: bool = True
    placed: dict[RunId, Placed] = field(default_factory=dict)
    used: Resources = field(default_factory=Resources)
    avoided_until: float = 0.0

    @property
    def worker_id(self) -> WorkerId:
        """Return the worker's id."""
        return self.entry.worker_id

    @property
    def free(self) -> Resources:
        """Return the room that no run holds."""
        return self.entry.capacity - self.used

    def hold(self, run: RunId, placed: Placed) -> None:
        """Take room for a run; has no effect if the run holds room already."""
        if run not in self.placed:
            self.placed[run] = placed
            self.used += placed.room

    def release(self, run: RunId) -> bool:
        """Give a run's room back; return whether it held any."""
        placed = self.placed.pop(run, None)
        if placed is None:
            return False
        self.used -= placed.room
        return True


class Fleet:
    """All workers by id, and the domains that are out of service."""

    def __init__(self) -> None:
        self.workers: dict[WorkerId, Worker] = {}
        self.domains_out: frozenset[DomainId] = frozenset()

    def usable(self, step: StepSpec, service: str, now: float) -> list[Worker]:
        """Return the workers that may start tasks of a step, whatever room they have left."""
        return [
            worker
            for worker in self.workers.values()
            if self._may_start(worker, step, service, now)
        ]

    def _may_start(self, worker: Worker, step: StepSpec, service: str, now: float) -> bool:
        entry = worker.entry
        return (
            entry.service == service
            and entry.status is WorkerStatus.READY
            and worker.listed
            and worker.synced
            and not worker.suspect
            and now >= worker.avoided_until
            and entry.domain not in self.domains_out
            and (step.label is None or step.label in entry.labels)
        )

    def runs_of(self, workers: Iterable[WorkerId]) -> list[RunId]:
        """Return the runs that hold room on some workers."""
        return [run for name in workers for run in self.workers[name].placed]
