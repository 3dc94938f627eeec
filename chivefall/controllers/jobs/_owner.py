"""Interface of the job controller for its helper classes."""

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
    """The part of the job controller that its helper classes depend on.

    Attributes
    ----------
    jobs : dict
        All jobs by id.
    records : JobRecords
        Reads and writes their records in the store.
    ready : bool
        Whether the records were loaded and matched with the workers' tasks.
    """

    jobs: dict[JobId, Job]
    records: JobRecords
    ready: bool

    @abstractmethod
    def run_task(self, coro: Coroutine[Future[Any], None, Any]) -> Future[Any]:
        """Run a coroutine and log an exception that it raises."""

    @abstractmethod
    def owns(self, job: Job) -> bool:
        """Return whether this instance still manages the job."""

    @abstractmethod
    def request_round(self) -> None:
        """Request a scheduling round."""

    @abstractmethod
    def observe_finished(self, record: JobRecord) -> None:
        """Report the run time of a job that succeeded to the scheduling policy."""

    @abstractmethod
    def announce_started(self, record: JobRecord) -> None:
        """Notify the other controllers that a job runs."""
