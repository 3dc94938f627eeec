"""What a scheduling round gets and what it decides."""

from __future__ import annotations

from dataclasses import dataclass, field

from chivefall.batch._job import BatchJob
from chivefall.batch._model import Incarnation, Queue, RunId, TaskKey
from chivefall.model import WorkerId

__all__ = ["Candidate", "GroupStart", "Plan"]


@dataclass(frozen=True)
class GroupStart:
    """Tasks of one group that start together."""

    job: BatchJob
    placements: tuple[tuple[TaskKey, WorkerId, Incarnation], ...]


@dataclass
class Plan:
    """What a round decided.

    Attributes
    ----------
    preemptions : list of RunId
        Runs that give way to urgent tasks.
    """

    starts: list[GroupStart] = field(default_factory=list)
    preemptions: list[RunId] = field(default_factory=list)


@dataclass(frozen=True)
class Candidate:
    """A job that may have tasks to start, with its queue."""

    job: BatchJob
    queue: Queue
