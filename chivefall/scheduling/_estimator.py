"""Estimates of run times from declared and observed ones."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from chivefall.model import AccountId, JobSpec
    from chivefall.scheduling._cluster import RunningJob

__all__ = ["RunTimeEstimator"]

SAMPLES_PER_COMMAND = 20  # most recent finished jobs of each account and command
ESTIMATE_QUANTILE = 0.5  # of observed/declared ratios; low estimates delay reserved gangs
MAX_COMMANDS = 2000  # pairs of account and command; bounds the memory use
MIN_RUN_TIME_SECONDS = 0.1  # replaces declared run times of 0, which would give no ratio


class RunTimeEstimator:
    """Corrects declared run times by the observed run times of the same command.

    The observations are kept in memory only. A new leader starts without them and
    uses the declared run times, which is safe.
    """

    def __init__(self) -> None:
        self._ratios: OrderedDict[tuple[AccountId, str], deque[float]] = OrderedDict()
        self._factors: dict[tuple[AccountId, str], float] = {}

    def observe_finished(self, spec: JobSpec, seconds: float) -> None:
        """Record the total run time of a finished job."""
        key = (spec.account, spec.command)
        ratios = self._ratios.setdefault(key, deque(maxlen=SAMPLES_PER_COMMAND))
        self._ratios.move_to_end(key)
        ratios.append(max(seconds, MIN_RUN_TIME_SECONDS) / max(spec.run_time, MIN_RUN_TIME_SECONDS))
        self._factors[key] = sorted(ratios)[math.ceil(ESTIMATE_QUANTILE * len(ratios)) - 1]
        if len(self._ratios) > MAX_COMMANDS:
            oldest, _ = self._ratios.popitem(last=False)
            del self._factors[oldest]

    def corrected_run_time(self, spec: JobSpec) -> float:
        """Return the estimated total run time of a job in seconds."""
        factor = self._factors.get((spec.account, spec.command), 1.0)
        return max(spec.run_time, MIN_RUN_TIME_SECONDS) * factor

    def remaining_seconds(self, job: RunningJob, now: float) -> float:
        """Return the estimated seconds until a running job ends.

        If a job has run for longer than its estimated run time, the estimate is doubled
        until it exceeds the time that the job has run.
        """
        estimate = self.corrected_run_time(job.spec)
        ran = job.checkpointed_seconds + (
            max(0.0, now - job.started_at) if job.started_at > 0 else 0.0
        )
        if ran >= estimate:
            estimate *= 2.0 ** (math.floor(math.log2(ran / estimate)) + 1)
        return estimate - ran
