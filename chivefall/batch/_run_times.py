"""How long runs take against what their callers declare, learned for each queue."""

from __future__ import annotations

from collections import defaultdict, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from chivefall.batch._model import QueueId

__all__ = ["RunTimes"]

KEPT = 40  # run times of a queue that are remembered
NEEDED = 8  # below which nothing is concluded
HIGH_SHARE = 0.9  # of the remembered run times lie below the usual bound
MIN_DECLARED_SECONDS = 0.05  # shorter declarations say nothing


class RunTimes:
    """Ratios of actual to declared run times of the last runs of each queue.

    Declared times are off by a factor that differs among queues. Where they are
    close, a run that takes much longer than usual tells of a slow worker.
    """

    def __init__(self) -> None:
        self._ratios: dict[QueueId, deque[float]] = defaultdict(lambda: deque(maxlen=KEPT))

    def note(self, queue: QueueId, declared: float, actual: float) -> None:
        """Remember the run time of a run that is done, in seconds."""
        if declared >= MIN_DECLARED_SECONDS:
            self._ratios[queue].append(actual / declared)

    def usual_bound(self, queue: QueueId, declared: float) -> float | None:
        """Return the seconds that few runs exceed, or None if too little is known."""
        ratios = self._ratios.get(queue, ())
        if len(ratios) < NEEDED or declared < MIN_DECLARED_SECONDS:
            return None
        return declared * sorted(ratios)[int(HIGH_SHARE * (len(ratios) - 1))]
