"""Input and result of a scheduling round."""

from __future__ import annotations

from dataclasses import dataclass, field

from chivefall.batch._job import BatchJob
from chivefall.batch._model import Incarnation, Queue, RunId, TaskKey
from chivefall.model import JobId, WorkerId

__all__ = ["Candidate", "GroupStart", "Plan"]


@dataclass(frozen=True)
class GroupStart:
    """Tasks of one group that start together.

    Attributes
    ----------
    placements : tuple
        Task, worker and incarnation of the worker for each start.
    """

    job: BatchJob
    placements: tuple[tuple[TaskKey, WorkerId, Incarnation], ...]


@dataclass
class Plan:
    """Decisions of a round.

    Attributes
    ----------
    preemptions : list of RunId
        Runs to stop for urgent tasks.
    preempted_for : dict
        For each of these runs, the urgent job and the work that all stops for it lose, in
        core-seconds.
    complete : bool
        Whether stops were considered for all groups; if not, another round is due at once.
    errors : dict
        Unexpected error of each job that could not be planned.
    """

    starts: list[GroupStart] = field(default_factory=list)
    preemptions: list[RunId] = field(default_factory=list)
    preempted_for: dict[RunId, tuple[JobId, float]] = field(default_factory=dict)
    complete: bool = True
    errors: dict[JobId, Exception] = field(default_factory=dict)


@dataclass(frozen=True)
class Candidate:
    """A job that may have tasks to start, with its current queue."""

    job: BatchJob
    queue: Queue
