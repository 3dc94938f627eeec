"""What the leader knows of one life of a worker beyond its room."""

from __future__ import annotations

from dataclasses import dataclass, field

from chivefall.batch import EndSequence, RunId, Worker
from chivefall.workers import RunEnd

__all__ = ["Session"]

NO_END = EndSequence(0)
MAX_LEASE_SECONDS = 6.0  # an earlier leader gives 5.5 s on a clock that it may read too high
MIN_CLOCK_RATE = 0.98  # the platform lets a worker's clock run 2 % slow


@dataclass
class Session:
    """Lease, clock and reports of one life of a worker.

    Attributes
    ----------
    worker : Worker
        Entry and room.
    present_since : dict
        Time from which a report has to list a run, by run that holds room; absent
        while the start is not answered.
    acknowledged : EndSequence
        Highest end that is written to the store without a gap.
    told : EndSequence
        Highest end that the worker was told to forget.
    open_ends : dict
        Ends listed but not written yet.
    stopping : set of RunId
        Runs whose stop is ordered and not confirmed yet.
    deadline : float
        Highest lease end that was ever sent, on the worker's clock.
    polling, probe_planned, probe_due : bool
        Whether a poll runs, whether one is planned for a worker without runs, and
        whether that one is due.
    closed : bool
        Whether the life is over or this leadership ended.
    failures : int
        Calls without an answer since the last answer.
    """

    worker: Worker
    expected_since: dict[RunId, float] = field(default_factory=dict)
    acknowledged: EndSequence = NO_END
    acknowledgement_sent: EndSequence = NO_END
    _highest_written: EndSequence = NO_END
    unwritten_ends: dict[EndSequence, RunEnd] = field(default_factory=dict)
    lease_deadline: float = 0.0
    stopping: set[RunId] = field(default_factory=set)
    polling: bool = False
    probe_scheduled: bool = False
    probe_due: bool = False
    closed: bool = False
    failures: int = 0
    _clock_reading: tuple[float, float] | None = None

    def record_clock(self, clock: float, now: float) -> None:
        """Record the worker's clock in a reply that arrived now."""
        if self._clock_reading is None:
            # An earlier leader may have extended the leases just before this reply.
            self.lease_deadline = max(self.lease_deadline, clock + MAX_LEASE_SECONDS)
        self._clock_reading = (clock, now)

    def extend(self, seconds: float, now: float) -> float | None:
        """Return the lease end to send, on the worker's clock; None for no extension.

        A worker that does not answer gets no later end than the one it may have
        got already, so that its leases end at a known time.
        """
        if self._clock_reading is None:
            return None
        if self.failures:
            return self.lease_deadline if self.lease_deadline > self.worker_clock(now) else None
        deadline = self.worker_clock(now) + seconds
        self.lease_deadline = max(self.lease_deadline, deadline)
        return deadline

    def worker_clock(self, now: float) -> float:
        """Return the worker's clock, at most 2 % of the last interval too high."""
        if self._clock_reading is None:
            return 0.0
        clock, read_at = self._clock_reading
        return clock + now - read_at

    def leases_expired_at(self) -> float | None:
        """Return the time by which every lease that was sent has ended, or None if unknown.

        Late orders do not extend it, since a lease ends at a time on the worker's
        clock and not after a period.
        """
        if self._clock_reading is None:
            return None
        clock, read_at = self._clock_reading
        return read_at + max(0.0, self.lease_deadline - clock) / MIN_CLOCK_RATE

    def acknowledge(self, sequence: EndSequence) -> None:
        """Record that an end is written to the store."""
        self.unwritten_ends.pop(sequence, None)
        self._highest_written = max(self._highest_written, sequence)
        self.acknowledged = EndSequence(
            min(self.unwritten_ends, default=self._highest_written + 1) - 1
        )

    @property
    def needs_poll(self) -> bool:
        """Return whether the worker has to be asked again soon."""
        return bool(
            not self.worker.synced
            or self.probe_due
            or self.worker.suspect
            or self.worker.runs
            or self.unwritten_ends
            or self.acknowledgement_sent < self.acknowledged
        )
