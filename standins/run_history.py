"""Checks of what workers were told to run, for the fuzz test and the soak."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.batch import RunId
from chivefall.model import WorkerId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from chivefall.model import JobId

__all__ = ["LifeHistory", "Span", "late_starts", "repeated_runs", "spans_of"]


@dataclass
class LifeHistory:
    """What one life of a worker did.

    Attributes
    ----------
    events : list of tuple
        Time in seconds since the epoch, ``start``, ``noted`` or how the run ended, and the run.
    lapses : list of float
        Times at which the worker's lease ran out.
    """

    worker: WorkerId
    events: list[tuple[float, str, RunId]]
    lapses: list[float]


@dataclass
class Span:
    """One run as its worker saw it.

    Attributes
    ----------
    begin, end : float
        Seconds since the epoch.
    kind : str
        How it ended, or ``running``.
    noted : float or None
        When the scheduler took note of its end.
    lapsed : bool
        Whether the worker's lease lapsed between the end and its note.
    """

    run: RunId
    worker: WorkerId
    begin: float
    end: float = math.inf
    kind: str = "running"
    noted: float | None = None
    lapsed: bool = False


def spans_of(lives: Iterable[LifeHistory]) -> list[Span]:
    """Return all runs of the given lives of workers."""
    spans = []
    for life in lives:
        own: dict[RunId, Span] = {}
        for time, kind, run in life.events:
            if kind == "start":
                own[run] = Span(run, life.worker, time)
            elif kind == "noted":
                span = own[run]
                span.noted = time
                span.lapsed = any(span.end <= lapse <= time for lapse in life.lapses)
            else:
                own[run].end, own[run].kind = time, kind
        spans += own.values()
    return spans


def repeated_runs(spans: Iterable[Span]) -> Iterator[str]:
    """Yield the tasks that ran twice at once, or again after an end that was noted."""
    by_task: dict[tuple, list[Span]] = {}
    for span in spans:
        by_task.setdefault((span.run.job, span.run.task), []).append(span)
    for task, runs in by_task.items():
        runs.sort(key=lambda item: item.begin)
        for number, later in enumerate(runs):
            for earlier in runs[:number]:
                if earlier.end > later.begin:
                    yield f"two runs of {task} at once"
                if earlier.kind == "done" and earlier.noted is not None and not earlier.lapsed:
                    yield f"{task} was started after an end that was noted"


def late_starts(spans: Iterable[Span], limits: Mapping[JobId, float]) -> Iterator[str]:
    """Yield the jobs of which a task started after the time that is given for them."""
    for span in spans:
        if span.begin > limits.get(span.run.job, math.inf):
            yield f"{span.run.job} started at {span.begin:.2f} on {span.worker}"
