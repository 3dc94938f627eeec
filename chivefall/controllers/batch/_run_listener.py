"""Interface for what workers report of runs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.batch import Checkpoint, EndKind, RunId

__all__ = ["RunListener"]


class RunListener(ABC):
    """Learns what happens to runs."""

    @abstractmethod
    def run_confirmed(self, run: RunId) -> None:
        """Note that a run was seen on its worker."""

    @abstractmethod
    def run_progressed(self, run: RunId, checkpoint: Checkpoint, share: float) -> None:
        """Note what a worker reports of a run."""

    @abstractmethod
    def run_ended(
        self, run: RunId, kind: EndKind, checkpoint: Checkpoint, acknowledge: Callable[[], None]
    ) -> None:
        """Apply an end, and acknowledge it as soon as nothing of it has to be written."""

    @abstractmethod
    def run_released(self, run: RunId) -> None:
        """Note that a run does not exist and never will."""

    @abstractmethod
    def is_current_run(self, run: RunId) -> bool:
        """Return whether a run is the current one of its task."""

    @abstractmethod
    def should_stop(self, run: RunId) -> bool:
        """Return whether a run is to end, so that a stop is ordered when it is seen."""

    @abstractmethod
    def fleet_changed(self) -> None:
        """Note that room or workers changed."""
