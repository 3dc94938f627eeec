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

__all__ = ["IncarnationHistory", "RunSpan", "late_starts", "repeated_runs", "run_spans"]


@dataclass
class IncarnationHistory:
    """What one incarnation of a worker did.

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
class RunSpan:
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
    acknowledged_at: float | None = None
    lapsed: bool = False


def run_spans(histories: Iterable[IncarnationHistory]) -> list[RunSpan]:
    """Return all runs of the given incarnations of workers."""
    spans = []
    for history in histories:
        own: dict[RunId, RunSpan] = {}
        for time, kind, run in history.events:
            if kind == "start":
                own[run] = RunSpan(run, history.worker, time)
            elif kind == "noted":
                span = own[run]
                span.acknowledged_at = time
                span.lapsed = any(span.end <= lapse <= time for lapse in history.lapses)
            else:
                own[run].end, own[run].kind = time, kind
        spans += own.values()
    return spans


def repeated_runs(spans: Iterable[RunSpan]) -> Iterator[str]:
    """Yield the tasks that ran twice at once, or again after an end that was noted."""
    by_task: dict[tuple, list[RunSpan]] = {}
    for span in spans:
        by_task.setdefault((span.run.job, span.run.task), []).append(span)
    for task, runs in by_task.items():
        runs.sort(key=lambda item: item.begin)
        for number, later in enumerate(runs):
            for earlier in runs[:number]:
                if earlier.end > later.begin:
                    yield f"two runs of {task} at once"
                if (
                    earlier.kind == "done"
                    and earlier.acknowledged_at is not None
                    and not earlier.lapsed
                ):
                    yield f"{task} was started after an end that was noted"


def late_starts(spans: Iterable[RunSpan], limits: Mapping[JobId, float]) -> Iterator[str]:
    """Yield the jobs of which a task started after the time that is given for them."""
    for span in spans:
        if span.begin > limits.get(span.run.job, math.inf):
            yield f"{span.run.job} started at {span.begin:.2f} on {span.worker}"
