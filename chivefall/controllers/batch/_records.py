"""A batch job with the leader's pending writes for it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from chivefall.batch import BatchJob, JobState
from chivefall.store import ABSENT, Version

__all__ = ["TrackedJob"]


@dataclass
class TrackedJob:
    """A job that the leader manages.

    Attributes
    ----------
    version : Version
        The store's version of the progress record; ABSENT if there is none.
    dirty : bool
        Whether the current state has not been sent to the store yet.
    unacknowledged_writes : list of bytes
        Records sent since that version that may have been written.
    on_written : list
        Callbacks to run once the current state is written.
    has_waiting_key : bool
        Whether the store has the key that counts the job as pending.
    awaits_begin : bool
        Whether the job counts as pending although tasks were assigned, because no run of it
        is known to have begun.
    logged_state : JobState
        Last written or read state; a change from it is logged and measured.
    final_since : float or None
        Time at which a final state was written or read, in seconds since the Unix
        epoch, or the time of the last attempt to delete the job.
    """

    job: BatchJob
    version: Version = ABSENT
    dirty: bool = False
    unacknowledged_writes: list[bytes] = field(default_factory=list)
    on_written: list[Callable[[], None]] = field(default_factory=list)
    has_waiting_key: bool = True
    awaits_begin: bool = False
    logged_state: JobState = JobState.QUEUED
    final_since: float | None = None

    @property
    def is_pending(self) -> bool:
        """Return whether the job counts as pending."""
        return self.job.state is JobState.QUEUED or (
            self.awaits_begin and not self.job.state.is_final
        )

    @property
    def has_pending_write(self) -> bool:
        """Return whether the write of the job's current state is not confirmed."""
        return self.dirty or bool(self.unacknowledged_writes)
