"""Interface for receiving run and worker changes from the fleet."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.batch import Checkpoint, EndKind, RunId

__all__ = ["RunListener"]


class RunListener(ABC):
    """Receives the changes of runs that workers report."""

    @abstractmethod
    def run_confirmed(self, run: RunId) -> None:
        """Record that the worker has reported the run."""

    @abstractmethod
    def run_progressed(self, run: RunId, checkpoint: Checkpoint, progress: float) -> None:
        """Record the progress that a worker reports for a run.

        ``progress`` is the completed fraction of the run, from 0 to 1.
        """

    @abstractmethod
    def run_ended(
        self, run: RunId, kind: EndKind, checkpoint: Checkpoint, acknowledge: Callable[[], None]
    ) -> None:
        """Apply the end of a run and call ``acknowledge`` once the result is written."""

    @abstractmethod
    def suspects_worker(self, run: RunId) -> bool:
        """Return whether a failure of the run speaks against its worker and not its task."""

    @abstractmethod
    def run_released(self, run: RunId) -> None:
        """Record that a run does not exist and can no longer start."""

    @abstractmethod
    def is_current_run(self, run: RunId) -> bool:
        """Return whether a run is the current run of its task."""

    @abstractmethod
    def should_stop(self, run: RunId) -> bool:
        """Return whether a run must be stopped if a worker reports it."""

    @abstractmethod
    def fleet_changed(self) -> None:
        """Handle a change of free resources or workers."""
