"""What the helpers of the job controller ask of it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from chivefall.controllers.jobs._records import JobRecords
    from chivefall.controllers.jobs._table import Job
    from chivefall.model import JobId, JobRecord
    from chivefall.runtime import Future

__all__ = ["JobOwner"]


class JobOwner(ABC):
    """The owner of the jobs; helpers depend on this and not on the controller.

    Attributes
    ----------
    jobs : dict
        All jobs by id.
    records : JobRecords
        Their records in the store.
    ready : bool
        Whether the records were loaded and matched with the workers' tasks.
    """

    jobs: dict[JobId, Job]
    records: JobRecords
    ready: bool

    @abstractmethod
    def run_task(self, coro: Coroutine[Future[Any], None, Any]) -> Future[Any]:
        """Run a coroutine and log an error that leaves it."""

    @abstractmethod
    def owns(self, job: Job) -> bool:
        """Return whether the job is still one of this owner's."""

    @abstractmethod
    def request_round(self) -> None:
        """Plan again soon."""

    @abstractmethod
    def observe_finished(self, record: JobRecord) -> None:
        """Learn from the run time of a finished job."""

    @abstractmethod
    def announce_started(self, record: JobRecord) -> None:
        """Tell other controllers that a job runs."""
