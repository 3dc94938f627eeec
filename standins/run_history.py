"""Histories of runs on workers and checks of them, for the fuzz test and the soak test."""

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
    """Events of one incarnation of a worker.

    Attributes
    ----------
    events : list of tuple
        Unix time in seconds; kind of the event; and the run. The kind is ``start``, ``noted``
        (the scheduler acknowledged the end) or the value of the end's :class:`EndKind`.
    lapses : list of float
        Unix times in seconds at which the lease of the worker expired.
    """

    worker: WorkerId
    events: list[tuple[float, str, RunId]]
    lapses: list[float]


@dataclass
class RunSpan:
    """Time span of one run on its worker.

    Attributes
    ----------
    begin, end : float
        Unix times in seconds.
    kind : str
        Value of the :class:`EndKind` of its end, or ``running``.
    acknowledged_at : float or None
        Unix time in seconds at which the scheduler acknowledged its end.
    lapsed : bool
        Whether the lease of the worker expired between the end and its acknowledgement.
    """

    run: RunId
    worker: WorkerId
    begin: float
    end: float = math.inf
    kind: str = "running"
    acknowledged_at: float | None = None
    lapsed: bool = False


def run_spans(histories: Iterable[IncarnationHistory]) -> list[RunSpan]:
    """Return the spans of all runs in the histories."""
    spans = []
    for history in histories:
        by_run: dict[RunId, RunSpan] = {}
        for time, kind, run in history.events:
            if kind == "start":
                by_run[run] = RunSpan(run, history.worker, time)
            elif kind == "noted":
                span = by_run[run]
                span.acknowledged_at = time
                span.lapsed = any(span.end <= lapse <= time for lapse in history.lapses)
            else:
                by_run[run].end, by_run[run].kind = time, kind
        spans += by_run.values()
    return spans


def repeated_runs(spans: Iterable[RunSpan]) -> Iterator[str]:
    """Yield a message for each concurrent or repeated run of a task.

    Two runs of a task must not overlap, and none may start after the scheduler
    acknowledged a success, unless the lease of that worker expired in between.
    """
    by_task: dict[tuple, list[RunSpan]] = {}
    for span in spans:
        by_task.setdefault((span.run.job, span.run.task), []).append(span)
    for task, runs in by_task.items():
        runs.sort(key=lambda item: item.begin)
        for number, later in enumerate(runs):
            for earlier in runs[:number]:
                if earlier.end > later.begin:
                    yield f"two runs of {task} overlap"
                if (
                    earlier.kind == "done"
                    and earlier.acknowledged_at is not None
                    and not earlier.lapsed
                ):
                    yield f"{task} was started again after its success was acknowledged"


def late_starts(spans: Iterable[RunSpan], limits: Mapping[JobId, float]) -> Iterator[str]:
    """Yield a message for each run that started after the time limit of its job."""
    for span in spans:
        if span.begin > limits.get(span.run.job, math.inf):
            yield f"{span.run.job} started at {span.begin:.2f} on {span.worker}"
