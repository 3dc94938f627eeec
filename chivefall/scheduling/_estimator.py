"""Correction of declared run times."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from chivefall.model import AccountId, JobSpec
    from chivefall.scheduling._cluster import RunningJob

__all__ = ["RunTimeEstimator"]

SAMPLES_PER_COMMAND = 20  # finished jobs kept for each account and command
ESTIMATE_QUANTILE = 0.5  # an estimate that is too short delays a reserved gang
MAX_COMMANDS = 2000  # accounts and commands kept; bounds the memory of a daemon
MIN_RUN_TIME_SECONDS = 0.1  # seconds; a declared run time of 0 carries no information


class RunTimeEstimator:
    """Learns how far the declared run times of a command are off.

    What it learned is lost with its process; without it, estimates are the
    declared run times, so a new leader decides safely and learns again.
    """

    def __init__(self) -> None:
        self._ratios: OrderedDict[tuple[AccountId, str], deque[float]] = OrderedDict()
        self._factors: dict[tuple[AccountId, str], float] = {}

    def observe_finished(self, spec: JobSpec, seconds: float) -> None:
        """Learn from the whole run time of a finished job."""
        key = (spec.account, spec.command)
        ratios = self._ratios.setdefault(key, deque(maxlen=SAMPLES_PER_COMMAND))
        self._ratios.move_to_end(key)
        ratios.append(max(seconds, MIN_RUN_TIME_SECONDS) / max(spec.run_time, MIN_RUN_TIME_SECONDS))
        self._factors[key] = sorted(ratios)[math.ceil(ESTIMATE_QUANTILE * len(ratios)) - 1]
        if len(self._ratios) > MAX_COMMANDS:
            oldest, _ = self._ratios.popitem(last=False)
            del self._factors[oldest]

    def corrected_run_time(self, spec: JobSpec) -> float:
        """Return the corrected run time of a whole job in seconds."""
        factor = self._factors.get((spec.account, spec.command), 1.0)
        return max(spec.run_time, MIN_RUN_TIME_SECONDS) * factor

    def remaining_seconds(self, job: RunningJob, now: float) -> float:
        """Return the estimated seconds until a running job ends.

        The estimate of a job that overruns doubles until it lies ahead.
        """
        estimate = self.corrected_run_time(job.spec)
        ran = job.checkpointed_seconds + (
            max(0.0, now - job.started_at) if job.started_at > 0 else 0.0
        )
        if ran >= estimate:
            estimate *= 2.0 ** (math.floor(math.log2(ran / estimate)) + 1)
        return estimate - ran
