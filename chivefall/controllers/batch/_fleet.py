"""Controller for the workers of the region: polling, run leases, starts and stops."""

from __future__ import annotations

import itertools
from dataclasses import replace
from typing import TYPE_CHECKING

from chivefall.batch import (
    LEASE_EXTENSION_GRACE_SECONDS,
    START_ATTEMPTS,
    DisplacementReason,
    EndKind,
    Fleet,
    Incarnation,
    RunId,
    StopCause,
    StopReason,
    Worker,
    WorkerStatus,
)
from chivefall.controllers._base import Controller
from chivefall.controllers.batch._contact import (
    ContactState,
    may_release,
    next_attempt,
    release_due_at,
)
from chivefall.controllers.batch._mirror import PrefixMirror
from chivefall.controllers.batch._session import MAX_CALL_DELAY_SECONDS, Session
from chivefall.errors import MessageError
from chivefall.runtime import sleep, wait_for
from chivefall.telemetry import LogEvent, log_event
from chivefall.workers import (
    IncarnationMismatch,
    NoResponse,
    NotSent,
    OrderAccepted,
    OrderPermission,
    OrderRefusalReason,
    OrderRefused,
    RunOrder,
    RunReport,
)

if TYPE_CHECKING:
    from chivefall.batch import (
        BatchTiming,
        Checkpoint,
        EndSequence,
        PlatformCodec,
        StepSpec,
        WorkerEntry,
    )
    from chivefall.controllers._leader import LeaderController
    from chivefall.controllers.batch._contact import ContactAttempt
    from chivefall.controllers.batch._run_listener import RunListener
    from chivefall.model import Epoch, WorkerId
    from chivefall.runtime import Clock
    from chivefall.store import Entry, Store, Version
    from chivefall.telemetry import BatchMetrics
    from chivefall.workers import (
        Acknowledgement,
        OrderOutcome,
        RenewalOutcome,
        RunClient,
        RunEnd,
    )

__all__ = ["FleetController"]

WATCH_INTERVAL_SECONDS = 0.4  # between watches of worker entries; every heartbeat changes one
RETRY_DELAY_SECONDS = 0.4  # between orders or polls that were refused or got no response
MAX_LOGGED_KEY_LENGTH = 200  # characters; other programs choose the keys of their entries
MAX_PENDING_END_AGE_SECONDS = 60.0  # shorter than jobs are kept, as a job's id may be used again
MAX_LOGGED_ENDS = 10  # of a report that is not used
MAX_PROBES_PER_SECOND = 150.0  # of idle workers; each call takes the leader 0.5 ms
MAX_POLLS_PER_SECOND = 250.0  # of workers with runs, unless ends of runs are reported earlier
MIN_PROBE_INTERVAL_SECONDS = 1.0  # between calls to an idle worker
FAILED_RUN_AVOID_SECONDS = 0.5  # no starts after a failed run; doubled per earlier bad run
SLOW_RUN_AVOID_SECONDS = 3.0  # no starts after a stalled or slow run; doubled likewise
REFUSAL_AVOID_SECONDS = 2.0  # no starts after one was refused for lack of resources or health
ACKNOWLEDGE_CHECK_INTERVAL_SECONDS = 0.05  # between checks whether ends have been written


def _acknowledgement_delay(session: Session) -> float:
    """Return the seconds until the next poll after an acknowledgement that was not sent."""
    # The connections may have been in use once, or the worker closes each after its response.
    repetitions = session.unsent_acknowledgements - 1
    return min(RETRY_DELAY_SECONDS, ACKNOWLEDGE_CHECK_INTERVAL_SECONDS * repetitions)


class FleetController(Controller):
    """Tracks the workers and extends the leases of their runs while this instance leads.

    Attributes
    ----------
    is_loaded : bool
        Whether all worker entries have been read since this instance became leader.
    fleet : Fleet
        The workers with their free resources, as input for placement.
    """

    def __init__(
        self,
        clock: Clock,
        store: Store,
        client: RunClient,
        codec: PlatformCodec,
        leader: LeaderController,
        metrics: BatchMetrics,
        timing: BatchTiming,
    ) -> None:
        super().__init__(clock)
        self._timing = timing
        self._metrics = metrics
        self._store = store
        self._client = client
        self._codec = codec
        self._leader = leader
        self._listener: RunListener | None = None
        self._sessions: dict[WorkerId, Session] = {}
        self._session_numbers = itertools.count()
        self._removed_at: dict[WorkerId, float] = {}
        self._orphans: dict[WorkerId, list[tuple[RunId, StepSpec, Incarnation]]] = {}
        self._invalid_entries: dict[str, Version] = {}
        self._pending_ends: dict[RunId, tuple[float, RunEnd]] = {}
        self._epoch: Epoch | None = None
        self.is_loaded = False
        self.fleet = Fleet()

    def start(self) -> None:
        """Do nothing; the scheduler calls ``open`` when this instance becomes leader."""

    def open(self, epoch: Epoch, listener: RunListener) -> None:
        """Start to watch the workers and to manage their runs under an epoch."""
        self.close()
        self._epoch, self._listener = epoch, listener
        mirror = PrefixMirror(
            self.clock,
            self._store,
            self._codec.worker_prefix,
            lambda *change: self._apply(epoch, *change),
            lambda: self._is_current(epoch),
            self._timing.watch_wait,
            WATCH_INTERVAL_SECONDS,
        )
        self._apply_pending_ends()
        self.run_task(mirror.run())

    def _apply_pending_ends(self) -> None:
        """Apply the successes that were reported to this instance earlier and are not written.

        They stay true under every leader, and their workers may be out of reach.
        """
        oldest = self.clock.now() - MAX_PENDING_END_AGE_SECONDS
        self._pending_ends = {
            run: item for run, item in self._pending_ends.items() if item[0] > oldest
        }
        for end in [end for _, end in self._pending_ends.values()]:
            self._apply_pending_end(end)

    def _apply_pending_end(self, end: RunEnd) -> None:
        reported_at, _ = self._pending_ends[end.run]
        log_event(
            LogEvent.PENDING_END_APPLIED,
            run=str(end.run),
            kind=end.kind.value,
            age=round(self.clock.now() - reported_at, 3),
        )
        self._listener.run_ended(
            end.run, end.kind, end.checkpoint, lambda: self._pending_ends.pop(end.run, None)
        )

    def _keep_success(self, end: RunEnd) -> None:
        """Apply a success that was reported outside a session of the present leadership.

        Without a leadership it waits for the next one. Other ends only free a worker.
        """
        if end.kind is EndKind.DONE and end.run not in self._pending_ends:
            self._pending_ends[end.run] = (self.clock.now(), end)
            if self._epoch is not None and not self.is_stopped:
                self._apply_pending_end(end)

    def close(self) -> None:
        """Stop managing runs and remove all workers."""
        self._epoch = None
        for session in self._sessions.values():
            session.closed = True
        self._sessions, self._orphans, self._removed_at = {}, {}, {}
        self.is_loaded = False
        self.fleet = Fleet()

    def _permission(self, epoch: Epoch, now: float) -> OrderPermission | None:
        """Return the permission to send orders decided under ``epoch``, or None if it ran out."""
        if not self._is_current(epoch) or not self._leader.lease_is_valid(now):
            return None
        return OrderPermission(epoch, self._leader.valid_until)

    def _is_current(self, epoch: Epoch) -> bool:
        return self._epoch == epoch and not self.is_stopped

    # Worker entries in the store

    def _apply(
        self, epoch: Epoch, entries: tuple[Entry, ...], deleted: tuple[str, ...], is_snapshot: bool
    ) -> None:
        if not self._is_current(epoch):
            return
        seen, removed = set(), {self._codec.worker_id(key) for key in deleted}
        for item in entries:
            entry = self._decode_entry(item)
            if entry is None:
                removed.add(self._codec.worker_id(item.key))
            else:
                seen.add(entry.worker_id)
                self._record_entry(entry)
        keys = {item.key for item in entries} if is_snapshot else self._invalid_entries.keys()
        self._invalid_entries = {
            key: version
            for key, version in self._invalid_entries.items()
            if key in keys and key not in deleted
        }
        if is_snapshot:
            removed |= self._sessions.keys() - seen
        for worker_id in removed:
            self._record_unlisted(worker_id)
        if is_snapshot and not self.is_loaded:
            self.is_loaded = True
            self._schedule_orphan_release(epoch)
        self._listener.fleet_changed()

    def _decode_entry(self, item: Entry) -> WorkerEntry | None:
        """Return a worker's entry, or None if it describes no usable worker."""
        try:
            entry = self._codec.decode_worker(item.key, item.value)
        except MessageError as exc:
            # Watches and lists repeat entries, so each revision is reported once.
            if self._invalid_entries.get(item.key) != item.version:
                self._invalid_entries[item.key] = item.version
                self._metrics.invalid_entries.inc({"kind": "worker"})
                log_event(
                    LogEvent.WORKER_ENTRY_INVALID,
                    key=item.key[:MAX_LOGGED_KEY_LENGTH],
                    version=item.version,
                    reason=str(exc),
                )
            return None
        self._invalid_entries.pop(item.key, None)
        return entry

    def _record_entry(self, entry: WorkerEntry) -> None:
        session = self._sessions.get(entry.worker_id)
        if session is not None and session.leaves_restart_to_reports(entry):
            session.hold_entry(entry, self.clock.now())
            return
        self._accept_entry(session, entry)

    def _accept_entry(self, session: Session | None, entry: WorkerEntry) -> None:
        if session is not None and session.worker.entry.incarnation != entry.incarnation:
            session = self._replace_session(session, entry)
        elif session is None:
            session = self._add_session(entry)
            self._adopt_orphans(session)
        elif session.worker.entry.status is not entry.status:
            log_event(
                LogEvent.FLEET_CHANGED,
                worker=entry.worker_id,
                change=entry.status.value,
                remaining=entry.remaining,
            )
        session.worker.entry = entry
        session.worker.listed = True
        session.worker.earliest_exit = float("inf")
        if entry.status is WorkerStatus.DRAINING:
            session.worker.earliest_exit = self.clock.now() + entry.remaining
        self._ensure_polling(session)

    def _add_session(self, entry: WorkerEntry) -> Session:
        contact = ContactState(next(self._session_numbers))
        longest_lease = self._timing.longest_lease
        session = Session(Worker(entry), self._timing.max_lease, longest_lease, contact)
        now = self.clock.now()
        if now - self._removed_at.pop(entry.worker_id, float("-inf")) < MAX_CALL_DELAY_SECONDS:
            # Calls of the earlier session may still be under way.
            session.record_restart(now)
        self._sessions[entry.worker_id] = session
        self.fleet.workers[entry.worker_id] = session.worker
        log_event(
            LogEvent.FLEET_CHANGED,
            worker=entry.worker_id,
            change="joined",
            rack=entry.rack,
            domain=entry.domain,
            incarnation=entry.incarnation,
        )
        return session

    def _replace_session(self, previous: Session, entry: WorkerEntry) -> Session:
        """Return a session for the next incarnation of a worker that restarted under its id.

        Orders name a worker by its id, so starts may have reached the new incarnation before
        it was noticed. Such runs keep their resources until its reports show whether they
        exist; the others ended with the previous incarnation.
        """
        now = self.clock.now()
        self._close_session(previous)
        session = self._add_session(entry)
        session.record_restart(now)
        session.carry_over(previous, now)
        for run in session.worker.runs:
            log_event(
                LogEvent.RUN_CARRIED_OVER,
                run=str(run),
                worker=entry.worker_id,
                incarnation=entry.incarnation,
                unanswered=run in session.unanswered_starts,
                acknowledged=previous.acknowledged,
            )
        for run in [run for run in previous.worker.runs if run not in session.worker.runs]:
            self._release(previous, run, "worker restarted")
        return session

    def _record_restart(self, session: Session, incarnation: Incarnation) -> None:
        """Handle a report of another incarnation than the one that the worker's entry names.

        Until the entry follows, its capacity and labels may be those of the previous
        incarnation, so nothing is placed on the worker.
        """
        entry = session.unconfirmed_entry
        if entry is not None and entry.incarnation == incarnation:
            self._accept_entry(session, entry)
            return
        entry = replace(session.worker.entry, incarnation=incarnation)
        session = self._replace_session(session, entry)
        session.worker.listed = False
        if session.worker.runs:
            self._ensure_polling(session)
        else:
            self._remove_session(session)

    def _record_unlisted(self, worker_id: WorkerId) -> None:
        session = self._sessions.get(worker_id)
        if session is None:
            return
        session.unconfirmed_entry = None
        if not session.worker.listed:
            return
        session.worker.listed = False
        log_event(
            LogEvent.FLEET_CHANGED,
            worker=worker_id,
            change="unlisted",
            runs=len(session.worker.runs),
        )
        if session.needs_poll:
            self._ensure_polling(session)
        else:
            self._remove_session(session)

    def _remove_session(self, session: Session) -> None:
        """Remove a session without runs, and apply the entry that waited for its reports.

        The entry may not change again for long, so without it the worker would stay unknown.
        """
        worker_id, entry = session.worker.worker_id, session.unconfirmed_entry
        is_current = self._sessions.get(worker_id) is session
        self._close_session(session)
        if is_current and entry is not None:
            self._record_entry(entry)

    def _close_session(self, session: Session) -> None:
        session.closed = True
        worker_id = session.worker.worker_id
        if self._sessions.get(worker_id) is session:
            del self._sessions[worker_id]
            del self.fleet.workers[worker_id]
            now = self.clock.now()
            removed = {**self._removed_at, worker_id: now}
            self._removed_at = {
                name: at for name, at in removed.items() if now - at < MAX_CALL_DELAY_SECONDS
            }

    def _end_incarnation(self, session: Session, reason: str) -> None:
        """Release all runs of an incarnation that has ended, and remove its session.

        Another worker responds at its address, so unlike after a restart under its id no
        process there can have accepted its starts.
        """
        for run in list(session.worker.runs):
            self._release(session, run, reason)
        self._remove_session(session)

    def _release(self, session: Session, run: RunId, reason: str, **inputs: float) -> None:
        """Release a run that no longer exists; ``inputs`` of the decision are logged."""
        session.forget(run)
        log_event(
            LogEvent.RUN_RELEASED,
            run=str(run),
            worker=session.worker.worker_id,
            incarnation=session.worker.entry.incarnation,
            acknowledged=session.acknowledgement_sent,
            reason=reason,
            **session.describe_contact(self.clock.now()),
            **inputs,
        )
        self._listener.run_released(run)

    # Runs assigned by an earlier leader

    def adopt(self, run: RunId, step: StepSpec, worker: WorkerId, incarnation: Incarnation) -> None:
        """Take over a recorded run; the worker's report shows whether it exists."""
        session = self._sessions.get(worker)
        if session is None:
            self._orphans.setdefault(worker, []).append((run, step, incarnation))
            if self.is_loaded:
                self._schedule_orphan_release(self._epoch)
        elif not session.has_unwritten_end(run):
            self._adopt_run(session, run, step, incarnation)

    def _adopt_run(
        self, session: Session, run: RunId, step: StepSpec, incarnation: Incarnation
    ) -> None:
        if session.worker.entry.incarnation != incarnation:
            # The start may have reached the worker after its restart.
            session.record_restart(self.clock.now())
        session.worker.allocate(run, step)
        session.expected_since[run] = float("-inf")
        self._ensure_polling(session)

    def _adopt_orphans(self, session: Session) -> None:
        worker_id = session.worker.worker_id
        for run, step, incarnation in self._orphans.pop(worker_id, ()):
            # The first poll may find that the worker has restarted and replace the session.
            self.adopt(run, step, worker_id, incarnation)

    def _schedule_orphan_release(self, epoch: Epoch) -> None:
        def release() -> None:
            if not self._is_current(epoch):
                return
            for runs in self._orphans.values():
                for run, _, _ in runs:
                    log_event(
                        LogEvent.RUN_RELEASED,
                        run=str(run),
                        reason="worker not listed since the takeover",
                    )
                    self._listener.run_released(run)
            self._orphans = {}
            for session in list(self._sessions.values()):
                # The leases of a restarted worker have an end of their own.
                if not session.worker.synced and session.unread_leases_end is None:
                    session.unread_leases_end = self.clock.now()

        self.clock.call_later(self._timing.orphan_timeout, release)

    # Polling of workers

    def _ensure_polling(self, session: Session) -> None:
        if not session.polling and not session.closed and session.needs_poll:
            session.polling = True
            self.run_task(self._poll_while_busy(session)).add_done_callback(
                lambda _: self._on_poll_done(session)
            )

    def _on_poll_done(self, session: Session) -> None:
        session.polling = False
        if not session.worker.listed and not session.needs_poll:
            self._remove_session(session)
        elif session.needs_poll:
            # Delayed so that a recurring error does not monopolize the loop.
            self.clock.call_later(
                ACKNOWLEDGE_CHECK_INTERVAL_SECONDS, lambda: self._ensure_polling(session)
            )
        elif not session.closed:
            self._schedule_probe(session)

    def _probe_interval(self) -> float:
        """Return the seconds between two probes of an idle worker."""
        return max(MIN_PROBE_INTERVAL_SECONDS, len(self._sessions) / MAX_PROBES_PER_SECOND)

    def _poll_wait(self, session: Session, acknowledgement: Acknowledgement | None) -> float:
        """Return the wait of a poll in seconds, longer the more workers are polled."""
        if not session.worker.synced or not session.worker.runs:
            return 0.0
        if acknowledgement is None and session.awaits_acknowledgement:
            return 0.0  # A report is needed first, over a connection for the acknowledgement.
        wait = max(self._timing.poll_wait, len(self._sessions) / MAX_POLLS_PER_SECOND)
        return min(wait, self._timing.max_poll_wait)

    def _schedule_probe(self, session: Session) -> None:
        """Schedule a poll of an idle worker, so that a lost connection is detected early."""
        if session.probe_scheduled:
            return
        session.probe_scheduled = True
        epoch = self._epoch

        def probe() -> None:
            session.probe_scheduled = False
            if self._epoch == epoch and not session.closed and not self.is_stopped:
                session.probe_due = True
                self._ensure_polling(session)

        self.clock.call_later(self._probe_interval(), probe)

    async def _poll_while_busy(self, session: Session) -> None:
        epoch, acknowledges = self._epoch, True
        while session.needs_poll and self._is_managed(session, epoch):
            if not self._may_extend_leases(self.clock.now()):
                # Runs are not released unasked, and none can start while the store is away.
                await sleep(self.clock, RETRY_DELAY_SECONDS)
                if self._is_managed(session, epoch) and session.is_over:
                    self._remove_session(session)
                continue
            if session.failures:
                await self._regain_contact(session, epoch)
                continue
            sent_at = self.clock.now()
            acknowledgement = session.next_acknowledgement() if acknowledges else None
            is_bound = acknowledgement is None or acknowledgement.connections is not None
            session.worker.accepts_starts = is_bound
            deadline = session.extend_leases(self._timing.run_lease, sent_at)
            outcome = await self._client.renew_leases(
                session.worker.entry,
                OrderPermission(epoch, self._lease_extensions_end()),
                deadline,
                acknowledgement,
                self._poll_wait(session, acknowledgement),
            )
            session.worker.accepts_starts = True
            self._log_invalid_report(session, outcome)
            if not self._is_managed(session, epoch):
                self._record_unused_report(session, outcome, sent_at)
                return
            acknowledges = not isinstance(outcome, NotSent)
            if not acknowledges:
                # A report over a new connection shows whether the worker has restarted.
                session.unsent_acknowledgements += 1
                await sleep(self.clock, _acknowledgement_delay(session))
                continue
            if isinstance(outcome, RunReport) and acknowledgement is not None:
                self._record_acknowledged(session, acknowledgement.sequence)
            self._record_outcome(session, outcome, sent_at, deadline)
            if not isinstance(outcome, RunReport):
                if not session.failures:
                    await sleep(self.clock, RETRY_DELAY_SECONDS)
            elif deadline is not None:
                # Without a lease end in this poll the leases may end before the next one.
                await self._wait_for_end_writes(session)

    def _is_managed(self, session: Session, epoch: Epoch | None) -> bool:
        """Return whether this instance still leads under ``epoch`` and the session is open."""
        return not session.closed and self._is_current(epoch)

    def _record_outcome(
        self, session: Session, outcome: RenewalOutcome, sent_at: float, deadline: float | None
    ) -> None:
        """Record the outcome of a poll that sent ``deadline`` as the end of the leases."""
        session.probe_due = False
        if isinstance(outcome, RunReport):
            self._record_report(session, outcome, sent_at)
            return
        if isinstance(outcome, NoResponse) and deadline is not None:
            session.record_unanswered_call(outcome, sent_at)
        self._record_failure(session, outcome, sent_at)

    # Contact with workers that do not respond

    async def _regain_contact(self, session: Session, epoch: Epoch | None) -> None:
        """Send the next call to an unresponsive worker once it is due.

        Its response is not waited for, as the call after it may be the first over a path that
        is back. A response ends the wait, so that the leases are extended at once.
        """
        now, expired_at = self.clock.now(), session.leases_expired_at()
        suspects = sum(1 for item in self._sessions.values() if item.failures)
        attempt = next_attempt(session.contact, suspects, expired_at, now, is_busy=session.is_busy)
        wake_at = attempt.at
        if session.worker.runs and expired_at is not None:
            release_at = release_due_at(session.contact, expired_at)
            wake_at = min(wake_at, release_at) if now < release_at else wake_at
        await wait_for(self.clock, session.next_contact(), wake_at - now, None)
        if not self._is_managed(session, epoch) or not session.failures:
            return
        self._release_expired(session)
        now = self.clock.now()
        if now < attempt.at or not self._is_managed(session, epoch):
            return
        if session.contact.may_call:
            session.contact.record_call(session.leases_expired_at(), now)
            self.run_task(self._call_suspect(session, epoch, attempt))
        session.contact.record_attempt(now)

    async def _call_suspect(
        self, session: Session, epoch: Epoch | None, attempt: ContactAttempt
    ) -> None:
        """Poll an unresponsive worker over a new connection."""
        sent_at = self.clock.now()
        deadline = session.extend_leases(self._timing.run_lease, sent_at)
        session.contact.calls_under_way += 1
        try:
            outcome = await self._client.renew_leases(
                session.worker.entry,
                OrderPermission(epoch, self._lease_extensions_end()),
                deadline,
                None,
                0.0,
                attempt.mode,
            )
        finally:
            session.contact.calls_under_way -= 1
        self._log_invalid_report(session, outcome)
        if not self._is_managed(session, epoch):
            self._record_unused_report(session, outcome, sent_at)
            return
        if self._is_outdated(session, outcome, sent_at):
            self._record_unused_report(session, outcome, sent_at)
            if isinstance(outcome, NoResponse) and deadline is not None:
                session.record_unanswered_call(outcome, sent_at)
            return
        self._record_outcome(session, outcome, sent_at, deadline)
        if not session.failures:
            session.announce_contact()

    @staticmethod
    def _is_outdated(session: Session, outcome: RenewalOutcome, sent_at: float) -> bool:
        """Return whether a response that came before shows a later state of the worker."""
        if isinstance(outcome, NoResponse):
            return sent_at <= session.last_response_at
        is_fenced = (
            isinstance(outcome, OrderRefused) and outcome.reason is OrderRefusalReason.FENCED
        )
        return not is_fenced and sent_at < session.report_requested_at

    @staticmethod
    def _record_acknowledged(session: Session, sequence: EndSequence) -> None:
        """Record that a worker received the acknowledgement of the ends up to ``sequence``."""
        session.unsent_acknowledgements = 0
        if sequence > session.acknowledgement_sent:
            log_event(
                LogEvent.ENDS_ACKNOWLEDGED,
                worker=session.worker.worker_id,
                incarnation=session.worker.entry.incarnation,
                after=session.acknowledgement_sent,
                up_to=sequence,
            )
            session.acknowledgement_sent = sequence

    def _may_extend_leases(self, now: float) -> bool:
        """Return whether run leases may be extended even if another leader may exist."""
        return now < self._lease_extensions_end()

    def _lease_extensions_end(self) -> float:
        return self._leader.valid_until + LEASE_EXTENSION_GRACE_SECONDS

    async def _wait_for_end_writes(self, session: Session) -> None:
        """Wait briefly for ends to be written, so that the next poll acknowledges them."""
        limit = self.clock.now() + self._timing.poll_wait
        while session.unwritten_ends and not session.closed and self.clock.now() < limit:
            await sleep(self.clock, ACKNOWLEDGE_CHECK_INTERVAL_SECONDS)

    @staticmethod
    def _log_invalid_report(session: Session, outcome: RenewalOutcome) -> None:
        """Log a response to a poll that cannot be used."""
        if isinstance(outcome, NoResponse) and outcome.is_invalid:
            log_event(
                LogEvent.REPORT_INVALID,
                worker=session.worker.worker_id,
                incarnation=session.worker.entry.incarnation,
                reason=outcome.reason,
                runs=len(session.worker.runs),
            )

    def _record_unused_report(
        self, session: Session, outcome: RenewalOutcome, sent_at: float
    ) -> None:
        """Record the successes in a report that is not used otherwise.

        It arrived after the end of its session or leadership, or after a later report.
        """
        if isinstance(outcome, RunReport):
            for end in outcome.ends:
                self._keep_success(end)
            log_event(
                LogEvent.REPORT_NOT_USED,
                worker=session.worker.worker_id,
                incarnation=outcome.incarnation,
                reason=self._unused_reason(session),
                running=len(outcome.running),
                ends=[str(end.run) for end in outcome.ends[:MAX_LOGGED_ENDS]],
                age=round(self.clock.now() - sent_at, 3),
            )

    def _unused_reason(self, session: Session) -> str:
        if session.closed:
            return "session closed"
        if self._epoch is None or self.is_stopped:
            return "leadership ended"
        return "a report requested later was recorded"

    def _record_report(self, session: Session, report: RunReport, sent_at: float) -> None:
        worker = session.worker
        if report.incarnation not in (worker.entry.incarnation, Incarnation(0)):
            self._record_restart(session, report.incarnation)
            return
        session.record_report(report.connection, sent_at)
        if report.incarnation == worker.entry.incarnation:
            session.refute_entry(sent_at)
        session.record_clock(report.clock, self.clock.now())
        self._record_response(session)
        was_synced, worker.synced = worker.synced, True
        for status in report.running:
            self._record_running(session, status.run)
            self._listener.run_progressed(status.run, status.checkpoint, status.progress)
        listed = {status.run for status in report.running}
        for end in sorted(report.ends, key=lambda end: end.sequence):
            listed.add(end.run)
            self._record_end(session, end)
        if report.is_complete:
            self._release_unlisted(session, listed, sent_at)
        if not was_synced:
            self._listener.fleet_changed()

    def _release_unlisted(self, session: Session, listed: set[RunId], sent_at: float) -> None:
        """Release the runs that a report requested at ``sent_at`` had to list and did not."""
        for run in list(session.worker.runs):
            # A report requested before the run was expected does not prove its absence.
            if run in listed or session.expected_since.get(run, float("inf")) > sent_at:
                continue
            if run in session.unanswered_starts:
                cause = StopCause(StopReason.START_UNCERTAIN)
                self.stop_run(session.worker.worker_id, run, cause)
            else:
                self._release(
                    session,
                    run,
                    "not listed in the worker's report",
                    reported=run in session.reported,
                    report_age=round(self.clock.now() - sent_at, 3),
                )

    def _record_running(self, session: Session, run: RunId) -> None:
        if not self._listener.is_current_run(run):
            permission = self._permission(self._epoch, self.clock.now())
            if permission is None:
                return  # The next report shows the run again.
            self._metrics.stops.inc({"reason": StopReason.UNKNOWN_RUN.value})
            log_event(LogEvent.UNKNOWN_RUN_STOPPED, run=str(run), worker=session.worker.worker_id)
            self.run_task(self._client.stop(session.worker.entry, run, permission))
            return
        if run not in session.expected_since:
            session.expected_since[run] = self.clock.now()
        session.reported.add(run)
        self._listener.run_confirmed(run)
        stop_ends = session.stop_accepted.get(run, float("-inf"))
        if self._listener.should_stop(run) and self.clock.now() > stop_ends:
            # The worker may not have been listed yet when the stop was decided.
            self.stop_run(session.worker.worker_id, run, StopCause(StopReason.DECIDED_EARLIER))

    def _record_end(self, session: Session, end: RunEnd) -> None:
        if session.is_recorded(end.sequence):
            return
        session.unwritten_ends[end.sequence] = end
        session.forget(end.run)
        log_event(
            LogEvent.RUN_ENDED,
            run=str(end.run),
            worker=session.worker.worker_id,
            incarnation=session.worker.entry.incarnation,
            kind=end.kind.value,
            sequence=end.sequence,
            current=self._listener.is_current_run(end.run),
        )
        self._metrics.run_ends.inc({"kind": end.kind.value})
        self._record_result(session, end)
        if end.kind is EndKind.DONE:
            self._pending_ends[end.run] = (self.clock.now(), end)

        def record_written() -> None:
            self._pending_ends.pop(end.run, None)
            session.acknowledge(end.sequence)

        self._listener.run_ended(end.run, end.kind, end.checkpoint, record_written)
        self._listener.fleet_changed()

    def _record_result(self, session: Session, end: RunEnd) -> None:
        """Count a good run, or avoid the worker for a while after a failed one."""
        worker = session.worker
        if end.kind is EndKind.DONE:
            worker.record_good_run()
        elif end.kind is EndKind.FAILED and self._listener.suspects_worker(end.run):
            worker.record_bad_run(FAILED_RUN_AVOID_SECONDS, self.clock.now())

    def _record_response(self, session: Session) -> None:
        session.record_response(self.clock.now())
        if session.worker.suspect:
            session.worker.suspect = False
            log_event(LogEvent.WORKER_ANSWERS, worker=session.worker.worker_id)
            self._listener.fleet_changed()

    def _record_failure(self, session: Session, outcome: RenewalOutcome, sent_at: float) -> None:
        if isinstance(outcome, IncarnationMismatch):
            self._end_incarnation(session, "another incarnation of the worker responded")
            return
        if isinstance(outcome, OrderRefused) and outcome.reason is OrderRefusalReason.FENCED:
            self._leader.step_down("a worker has seen a higher epoch")
            return
        self._mark_suspect(session, str(getattr(outcome, "reason", "")))
        is_local = isinstance(outcome, NoResponse) and outcome.is_local
        session.contact.record_failure(sent_at, is_local=is_local)
        self._release_expired(session)

    def _mark_suspect(self, session: Session, reason: str) -> None:
        """Exclude a worker from placement until it responds again."""
        session.record_failure(reason)
        if not session.worker.suspect:
            session.worker.suspect = True
            log_event(
                LogEvent.WORKER_SUSPECTED,
                worker=session.worker.worker_id,
                reason=reason,
                runs=len(session.worker.runs),
            )

    def _release_expired(self, session: Session) -> None:
        """Release the runs of a worker if all their leases have certainly expired."""
        if session.is_over:
            self._remove_session(session)
            return
        now = self.clock.now()
        if not may_release(session.contact, session.leases_expired_at(), now):
            return
        starts_expired = now > session.unbound_starts_expired_at()
        expired = [
            run
            for run in session.worker.runs
            if starts_expired or run not in session.unbound_starts
        ]
        reason = "lease expired while the worker was unreachable"
        if not session.worker.synced:
            reason = "worker not reached since the takeover"
        for run in expired:
            self._release(session, run, reason)
        if session.is_over:
            self._remove_session(session)
        if expired:
            self._listener.fleet_changed()

    def avoid(self, worker_id: WorkerId, reason: DisplacementReason, now: float) -> None:
        """Exclude a worker from placement for a while after a stalled or slow run."""
        worker = self.fleet.workers.get(worker_id)
        if worker is not None and reason is not DisplacementReason.LEAVING:
            worker.record_bad_run(SLOW_RUN_AVOID_SECONDS, now)

    # Starting and stopping runs

    def reserve(self, worker_id: WorkerId, run: RunId, step: StepSpec) -> None:
        """Reserve resources for a run that is about to be recorded."""
        self.fleet.workers[worker_id].allocate(run, step)

    def cancel_reservation(self, worker_id: WorkerId, run: RunId) -> None:
        """Free the resources of a run whose start was never sent."""
        worker = self.fleet.workers.get(worker_id)
        if worker is not None:
            worker.release(run)

    async def start_run(
        self, worker_id: WorkerId, run: RunId, payload: str, checkpoint: Checkpoint, epoch: Epoch
    ) -> bool:
        """Start a run recorded under ``epoch`` and return whether it is known to be running.

        Otherwise the run is released, either at once or after a confirmed stop. After the end
        of that leadership nothing is sent or released; the next leader adopts the run.
        """
        session = self._sessions.get(worker_id)
        if session is None or run not in session.worker.runs or not self._is_current(epoch):
            return False
        for attempt in range(START_ATTEMPTS):
            now = self.clock.now()
            permission = self._permission(epoch, now)
            deadline = None
            if permission is not None:
                deadline = session.extend_leases(self._timing.run_lease, now)
            if deadline is None and attempt == 0:
                # Nothing was sent, so the run cannot exist.
                reason = "worker became unresponsive" if permission else "leader lease ended"
                self._release(session, run, f"{reason} before the start")
                return False
            if deadline is None or self._must_stop(session, run):
                break
            order = RunOrder(run, payload, deadline, checkpoint)
            is_repeated = run in session.unanswered_starts
            session.unanswered_starts.add(run)
            outcome = await self._client.start(session.worker.entry, order, permission)
            if not self._is_current(epoch):
                return False
            addressed, session = session, self._sessions.get(worker_id)
            if session is None or run not in session.worker.runs:
                return False
            session.record_start_outcome(run, outcome, now, is_repeated=is_repeated)
            if isinstance(outcome, OrderAccepted):
                if session is addressed:
                    session.record_clock(outcome.clock, self.clock.now())
                    self._record_response(session)
                self._record_started(session, run)
                return True
            if session is not addressed:
                break  # Whether the start reached the previous or the new incarnation is unknown.
            if not isinstance(outcome, NoResponse):
                self._record_refusal(session, run, outcome, is_first=not is_repeated)
                return False
        self._mark_suspect(session, "no response to a start")
        self._stop_uncertain_run(session, run, "no response to a start")
        return False

    def _must_stop(self, session: Session, run: RunId) -> bool:
        """Return whether a stop of a run was decided, so that its start is not repeated."""
        return run in session.stopping or self._listener.should_stop(run)

    def _stop_uncertain_run(self, session: Session, run: RunId, reason: str) -> None:
        """Stop a run that the worker may still start, so that it can be released."""
        worker_id = session.worker.worker_id
        log_event(LogEvent.RUN_UNCERTAIN, run=str(run), worker=worker_id, reason=reason)
        self.stop_run(worker_id, run, StopCause(StopReason.START_UNCERTAIN))
        self._ensure_polling(session)

    def _record_started(self, session: Session, run: RunId) -> None:
        session.expected_since[run] = self.clock.now()
        log_event(LogEvent.RUN_STARTED, run=str(run), worker=session.worker.worker_id)
        self._listener.run_confirmed(run)
        self._ensure_polling(session)
        session.announce_contact()

    def _record_refusal(
        self, session: Session, run: RunId, outcome: OrderOutcome, *, is_first: bool
    ) -> None:
        """Handle the refusal of an attempt to start a run.

        A refusal concerns that attempt only. The worker may still execute an earlier one that
        got no response, unless the refusal shows that it no longer accepts the run.
        """
        log_event(
            LogEvent.RUN_NOT_STARTED,
            run=str(run),
            worker=session.worker.worker_id,
            outcome=repr(outcome),
        )
        if isinstance(outcome, IncarnationMismatch):
            self._end_incarnation(session, "another incarnation of the worker responded")
            return
        if outcome.reason is OrderRefusalReason.FENCED:
            self._leader.step_down("a worker has seen a higher epoch")
            return
        session.worker.avoided_until = self.clock.now() + REFUSAL_AVOID_SECONDS
        if outcome.reason is OrderRefusalReason.OUTDATED:
            # The run may have existed and ended; the next report shows this.
            session.unanswered_starts.discard(run)
            session.expected_since[run] = self.clock.now()
            self._ensure_polling(session)
        elif is_first:
            session.forget(run)
            self._listener.run_released(run)
        else:
            self._stop_uncertain_run(session, run, "refused after a start without response")

    def stop_run(self, worker_id: WorkerId, run: RunId, cause: StopCause) -> None:
        """Stop a run, retrying until the worker confirms it or the run is released."""
        session = self._sessions.get(worker_id)
        if session is not None and run not in session.stopping:
            session.stopping.add(run)
            self._metrics.stops.inc({"reason": cause.reason.value})
            done = self.run_task(self._stop_until_confirmed(session, run, cause))
            done.add_done_callback(lambda _: session.stopping.discard(run))

    async def _stop_until_confirmed(self, session: Session, run: RunId, cause: StopCause) -> None:
        epoch = self._epoch
        while run in session.worker.runs and not session.closed and self._is_current(epoch):
            permission = self._permission(epoch, self.clock.now())
            if permission is not None:
                log_event(
                    LogEvent.RUN_STOPPED,
                    run=str(run),
                    worker=session.worker.worker_id,
                    reason=cause.reason.value,
                    **cause.inputs,
                )
                outcome = await self._client.stop(session.worker.entry, run, permission)
                if isinstance(outcome, OrderAccepted):
                    session.record_stop(run, self.clock.now() + self._timing.stop_completion)
                    break
                if session.closed or not self._is_current(epoch):
                    return
                if isinstance(outcome, IncarnationMismatch):
                    self._end_incarnation(session, "another incarnation of the worker responded")
                    return
                if isinstance(outcome, OrderRefused):
                    if outcome.reason is OrderRefusalReason.FENCED:
                        self._leader.step_down("a worker has seen a higher epoch")
                        return
                    log_event(
                        LogEvent.RUN_NOT_STOPPED,
                        run=str(run),
                        worker=session.worker.worker_id,
                        outcome=repr(outcome),
                    )
            await sleep(self.clock, RETRY_DELAY_SECONDS)
        if run in session.worker.runs and not session.closed:
            # The stop fences the run: if a report requested after the longest stop time
            # does not list the run, it has ended or will never start.
            now = self.clock.now()
            session.expected_since.setdefault(run, now + self._timing.stop_completion)
            self._ensure_polling(session)
