"""A batch job with what the leader still has to write and to do about it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from chivefall.batch import BatchJob, JobState
from chivefall.store import ABSENT, Version

__all__ = ["TrackedJob"]


@dataclass
class TrackedJob:
    """A job of the leader.

    Attributes
    ----------
    version : Version
        The store's version of the recorded progress; ABSENT without a record.
    attempted : list of bytes
        Records that were sent since then and may have been written.
    once_written : list
        Actions that wait until the present state is written.
    is_waiting : bool
        Whether the key that counts the job as pending exists.
    final_since : float or None
        Time from which the job changes no more.
    """

    job: BatchJob
    version: Version = ABSENT
    dirty: bool = False
    unconfirmed_writes: list[bytes] = field(default_factory=list)
    on_written: list[Callable[[], None]] = field(default_factory=list)
    has_waiting_key: bool = True
    observed_state: JobState = JobState.QUEUED
    final_since: float | None = None

    @property
    def has_unconfirmed_write(self) -> bool:
        """Return whether the job's present state is not known to be written."""
        return self.dirty or bool(self.unconfirmed_writes)
