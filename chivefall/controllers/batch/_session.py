"""Lease and polling state of one incarnation of a worker."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from chivefall.batch import MIN_CLOCK_RATE, EndSequence, RunId, Worker, WorkerEntry
from chivefall.controllers.batch._contact import ContactState
from chivefall.model import ConnectionId
from chivefall.runtime import Future
from chivefall.workers import (
    Acknowledgement,
    NoResponse,
    OrderAccepted,
    OrderOutcome,
    RunEnd,
)

__all__ = ["MAX_CALL_DELAY_SECONDS", "Session"]

NO_END = EndSequence(0)
MAX_CONNECTIONS = 8  # that may carry an acknowledgement; more are rarely open to one worker
MAX_UNSENT_ACKNOWLEDGEMENTS = 2  # in a row, until they are not bound to a connection
MAX_CALL_DELAY_SECONDS = 4.0  # from the sending of a call without a response to its execution
MAX_REORDERING_SECONDS = 5.0  # by which a response may be older than one received before it


@dataclass
class Session:
    """Lease, clock and reports of one incarnation of a worker.

    Attributes
    ----------
    worker : Worker
        Entry and allocated resources.
    max_lease : float
        Longest lease in seconds that an earlier leader may have granted.
    longest_lease : float
        Longest lease in seconds that the worker accepts; a deadline by the clock of its
        previous incarnation is in the far future for it, and is shortened to this lease.
    unread_leases_end : float or None
        Time by which all leases have expired if the worker's clock is never read, in seconds
        since the Unix epoch; None if it is unknown.
    expected_since : dict
        By run, the time in seconds since the Unix epoch from which requested reports
        must list it; absent while its start is not confirmed.
    unanswered_starts : set of RunId
        Runs with a start order that got no response so far. The worker may execute it until
        it has confirmed a stop of the run.
    unbound_starts : dict
        By run, the time in seconds since the Unix epoch of the latest start without response that
        may reach the next incarnation, as it was not sent over a connection that brought a report
        of this one.
    reported : set of RunId
        Runs that a report of this incarnation has listed.
    acknowledged : EndSequence
        Highest sequence up to which all ends are written to the store.
    acknowledgement_sent : EndSequence
        Highest sequence acknowledged to the worker, which may discard ends up to it.
    unwritten_ends : dict
        Reported ends that are not written yet.
    connections : deque of ConnectionId
        Latest connections over which reports of this incarnation came.
    unsent_acknowledgements : int
        Consecutive acknowledgements that were not sent, as no such connection was open.
    report_requested_at : float
        Time at which the last report was requested, in seconds since the Unix epoch.
    unbound_call_sent_at : float
        Time of the latest call with a lease end that may have reached the next incarnation, in
        seconds since the Unix epoch.
    lease_deadline : float
        Latest lease end sent so far, in seconds on the worker's clock.
    stopping : set of RunId
        Runs whose stop was requested and is not confirmed yet.
    stop_accepted : dict
        By run, the time until which a stop that the worker accepted may take, in seconds since
        the Unix epoch.
    polling, probe_scheduled, probe_due : bool
        Whether a poll is running, whether a probe of the idle worker is scheduled, and
        whether that probe is due.
    closed : bool
        Whether the incarnation or this leadership has ended.
    unconfirmed_entry : WorkerEntry or None
        Latest entry of another incarnation that no report has shown yet.
    unconfirmed_entry_at : float
        Time at which it was read, in seconds since the Unix epoch.
    failures : int
        Consecutive calls without a response.
    last_response_at : float
        Time of the last response, in seconds since the Unix epoch.
    last_outcome : str
        How the last call that failed, or was refused, ended; empty if none did since the
        last response.
    contact : ContactState
        Calls to the worker while it does not respond.
    """

    worker: Worker
    max_lease: float
    longest_lease: float
    contact: ContactState
    unread_leases_end: float | None = None
    expected_since: dict[RunId, float] = field(default_factory=dict)
    unanswered_starts: set[RunId] = field(default_factory=set)
    unbound_starts: dict[RunId, float] = field(default_factory=dict)
    reported: set[RunId] = field(default_factory=set)
    acknowledged: EndSequence = NO_END
    acknowledgement_sent: EndSequence = NO_END
    _written_ends: set[EndSequence] = field(default_factory=set)
    unwritten_ends: dict[EndSequence, RunEnd] = field(default_factory=dict)
    connections: deque[ConnectionId] = field(default_factory=lambda: deque(maxlen=MAX_CONNECTIONS))
    unsent_acknowledgements: int = 0
    report_requested_at: float = float("-inf")
    unbound_call_sent_at: float = float("-inf")
    lease_deadline: float = 0.0
    stopping: set[RunId] = field(default_factory=set)
    stop_accepted: dict[RunId, float] = field(default_factory=dict)
    polling: bool = False
    probe_scheduled: bool = False
    probe_due: bool = False
    closed: bool = False
    unconfirmed_entry: WorkerEntry | None = None
    unconfirmed_entry_at: float = float("-inf")
    failures: int = 0
    last_response_at: float = float("-inf")
    last_outcome: str = ""
    _clock_reading: tuple[float, float] | None = None
    _contact_regained: Future[None] | None = None

    def leaves_restart_to_reports(self, entry: WorkerEntry) -> bool:
        """Return whether an entry of another incarnation does not prove a restart.

        It may be a delayed write of an earlier incarnation, which has a higher number if the
        clock of the worker's machine stepped back in between.
        """
        current = self.worker.entry.incarnation
        may_be_delayed = self.worker.synced or entry.incarnation < current
        return bool(self.worker.runs) and entry.incarnation != current and may_be_delayed

    def hold_entry(self, entry: WorkerEntry, now: float) -> None:
        """Keep an entry until a report confirms or refutes it or the session is removed."""
        self.unconfirmed_entry, self.unconfirmed_entry_at = entry, now

    def refute_entry(self, requested_at: float) -> None:
        """Drop an entry that was read before a report of this incarnation was requested."""
        if requested_at > self.unconfirmed_entry_at:
            self.unconfirmed_entry = None

    def forget(self, run: RunId) -> None:
        """Release the resources of a run that has ended or does not exist."""
        self.worker.release(run)
        self.expected_since.pop(run, None)
        self.stop_accepted.pop(run, None)
        self.unanswered_starts.discard(run)
        self.unbound_starts.pop(run, None)
        self.reported.discard(run)

    def record_stop(self, run: RunId, stop_ends: float) -> None:
        """Record that the worker accepted a stop, which takes until ``stop_ends`` at most.

        From then on this incarnation refuses every start of the run, but the next one does not
        know of the stop.
        """
        self.stop_accepted[run] = stop_ends
        if run in self.unanswered_starts:
            # A start may have been executed between an earlier report and the stop.
            self.unanswered_starts.discard(run)
            last_start = self.unbound_starts.get(run, float("-inf")) + MAX_CALL_DELAY_SECONDS
            self.expected_since[run] = max(stop_ends, last_start)

    def runs_to_carry_over(self) -> list[RunId]:
        """Return the runs that may be at work in the next incarnation after a restart.

        Runs that were never sent cannot exist, and those that this incarnation has reported
        ended with it unless an unanswered start of them is still under way.
        """
        return [
            run
            for run in self.worker.runs
            if run in self.unanswered_starts
            or run in self.unbound_starts
            or (run in self.expected_since and run not in self.reported)
        ]

    def carry_over(self, previous: Session, now: float) -> None:
        """Take over the runs that the previous incarnation may have left to this one.

        An entry of a third incarnation is held back further, as it may be a later one.
        """
        entry = previous.unconfirmed_entry
        if entry is not None and entry.incarnation != self.worker.entry.incarnation:
            self.hold_entry(entry, previous.unconfirmed_entry_at)
        self.unbound_call_sent_at = previous.unbound_call_sent_at
        for run in previous.runs_to_carry_over():
            self.worker.allocate(run, previous.worker.runs[run])
            if run in previous.unanswered_starts or run in previous.unbound_starts:
                self.unanswered_starts.add(run)
            if run in previous.unbound_starts:
                self.unbound_starts[run] = previous.unbound_starts[run]
            if run in previous.expected_since or run in previous.stopping:
                self.expected_since[run] = now

    def record_restart(self, now: float) -> None:
        """Allow for leases that were sent by the clock of the previous incarnation.

        Calls that carry them may still be under way.
        """
        self.max_lease = self.longest_lease + MAX_CALL_DELAY_SECONDS
        if self._clock_reading is None:
            longest = self.longest_lease / MIN_CLOCK_RATE
            self.unread_leases_end = now + MAX_CALL_DELAY_SECONDS + longest
        else:
            self.lease_deadline = max(self.lease_deadline, self.worker_clock(now) + self.max_lease)

    def record_clock(self, clock: float, now: float) -> None:
        """Record the worker's clock, in seconds, from a response received at ``now``."""
        if self._clock_reading is None:
            # An earlier leader may have extended the leases just before this response.
            self.lease_deadline = max(self.lease_deadline, clock + self.max_lease)
        elif clock < self._clock_reading[0] - MAX_REORDERING_SECONDS:
            # The worker restarted, and no report has shown its new incarnation yet.
            self.lease_deadline = clock + self.longest_lease + MAX_CALL_DELAY_SECONDS
        self._clock_reading = (clock, now)

    def extend_leases(self, seconds: float, now: float) -> float | None:
        """Return the end of the leases to send, in seconds on the worker's clock, or None.

        An unresponsive worker is sent no later end than before, so that its leases
        expire at a known time. None means that no lease may be sent.
        """
        if self._clock_reading is None:
            return None
        if self.failures:
            return self.lease_deadline if self.lease_deadline > self.worker_clock(now) else None
        deadline = self.worker_clock(now) + seconds
        self.lease_deadline = max(self.lease_deadline, deadline)
        return deadline

    def record_response(self, now: float) -> None:
        """Record a response received at ``now``."""
        self.failures, self.last_outcome = 0, ""
        self.last_response_at = now
        self.contact.record_response()

    def next_contact(self) -> Future[None]:
        """Return a future that is done once a response has been recorded in full."""
        self._contact_regained = Future()
        return self._contact_regained

    def announce_contact(self) -> None:
        """Complete the future of ``next_contact``."""
        if self._contact_regained is not None:
            self._contact_regained.set_result(None)

    def record_failure(self, reason: str) -> None:
        """Record a call without a response, or one whose response shows no contact."""
        self.failures += 1
        self.last_outcome = reason

    def describe_contact(self, now: float) -> dict[str, float | str | None]:
        """Return the log fields on what is known of the worker: ages and times in seconds."""
        has_response = self.last_response_at > float("-inf")
        has_clock = self._clock_reading is not None
        return {
            "response_age": round(now - self.last_response_at, 3) if has_response else None,
            "lease_left": round(self.lease_deadline - self.worker_clock(now), 3)
            if has_clock
            else None,
            "failures": self.failures,
            "last_outcome": self.last_outcome,
        }

    def worker_clock(self, now: float) -> float:
        """Return the worker's clock, overestimated by at most 2 % of the time since it was read."""
        if self._clock_reading is None:
            return 0.0
        clock, read_at = self._clock_reading
        return clock + now - read_at

    def leases_expired_at(self) -> float | None:
        """Return the time by which all leases have expired, or None if it is unknown.

        A delayed start does not move this time, since a lease ends at a time on the worker's
        clock and not after a duration.
        """
        if self._clock_reading is None:
            return self.unread_leases_end
        clock, read_at = self._clock_reading
        return read_at + max(0.0, self.lease_deadline - clock) / MIN_CLOCK_RATE

    def has_unwritten_end(self, run: RunId) -> bool:
        """Return whether an end of the run was reported and is not written yet."""
        return any(end.run == run for end in self.unwritten_ends.values())

    def record_start_outcome(
        self, run: RunId, outcome: OrderOutcome, sent_at: float, *, is_repeated: bool
    ) -> None:
        """Record the outcome of a start; an earlier one that it repeats stays unanswered."""
        if isinstance(outcome, NoResponse) and outcome.sent:
            if self.record_unanswered_call(outcome, sent_at):
                self.unbound_starts[run] = sent_at
        elif isinstance(outcome, NoResponse | OrderAccepted) and not is_repeated:
            self.unanswered_starts.discard(run)

    def record_unanswered_call(self, outcome: NoResponse, sent_at: float) -> bool:
        """Record a call with a lease end, and return whether the next incarnation may have it.

        One over a connection that brought a report of this incarnation reaches no other.
        """
        is_unbound = outcome.sent and outcome.connection not in self.connections
        if is_unbound:
            self.unbound_call_sent_at = max(self.unbound_call_sent_at, sent_at)
        return is_unbound

    def unbound_starts_expired_at(self) -> float:
        """Return the time by which the leases of all unbound starts have expired.

        The worker may have restarted unnoticed before it executed them. For the clock of its
        next incarnation the lease ends that were sent are far away, so that it grants the
        longest lease from the execution of each call.
        """
        longest = self.longest_lease / MIN_CLOCK_RATE
        return self.unbound_call_sent_at + MAX_CALL_DELAY_SECONDS + longest

    def acknowledge(self, sequence: EndSequence) -> None:
        """Record that an end has been written to the store."""
        self.unwritten_ends.pop(sequence, None)
        self._written_ends.add(sequence)
        first_unwritten = min(self.unwritten_ends, default=max(self._written_ends) + 1)
        self.acknowledged = EndSequence(max(self.acknowledged, first_unwritten - 1))
        self._written_ends = {item for item in self._written_ends if item > self.acknowledged}

    def is_recorded(self, sequence: EndSequence) -> bool:
        """Return whether an end was recorded from an earlier report.

        An end that is written is listed until all ends before it are written, too.
        """
        return (
            sequence <= self.acknowledged
            or sequence in self.unwritten_ends
            or sequence in self._written_ends
        )

    def record_report(self, connection: ConnectionId | None, requested_at: float) -> None:
        """Record the connection of a report of this incarnation and the time of its request."""
        self.report_requested_at = requested_at
        if connection is not None and connection not in self.connections:
            self.connections.append(connection)

    @property
    def awaits_acknowledgement(self) -> bool:
        """Return whether the worker still lists ends that are written."""
        return self.acknowledgement_sent < self.acknowledged

    def next_acknowledgement(self) -> Acknowledgement | None:
        """Return the acknowledgement for the next poll, or None.

        Each is sent until the worker has received it and not again, so that a call that is
        executed late acknowledges no more than it has to.
        """
        if not self.awaits_acknowledgement:
            return None
        if (
            self.unsent_acknowledgements >= MAX_UNSENT_ACKNOWLEDGEMENTS
            and self._starts_precede_last_report()
        ):
            return Acknowledgement(self.acknowledged, None)
        if not self.connections:
            return None
        return Acknowledgement(self.acknowledged, frozenset(self.connections))

    def _starts_precede_last_report(self) -> bool:
        """Return whether all runs began before the last report was requested.

        They end with this incarnation, so the next one has no ends unless starts are sent.
        """
        return not self.unanswered_starts and all(
            self.expected_since.get(run, float("inf")) <= self.report_requested_at
            for run in self.worker.runs
        )

    @property
    def is_over(self) -> bool:
        """Return whether an unresponsive worker has no runs and is unlisted or listed anew."""
        is_listed = self.worker.listed and self.unconfirmed_entry is None
        return not is_listed and not self.worker.runs

    @property
    def is_busy(self) -> bool:
        """Return whether the worker may have runs or ends that matter."""
        return bool(self.worker.runs or self.unwritten_ends or self.awaits_acknowledgement)

    @property
    def needs_poll(self) -> bool:
        """Return whether the worker must be polled again now."""
        return bool(not self.worker.synced or self.probe_due or self.worker.suspect or self.is_busy)
