"""Conditional writes of the progress of batch jobs to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.batch import encode_progress
from chivefall.runtime import sleep
from chivefall.store import (
    ABSENT,
    BatchPart,
    Mismatch,
    Put,
    Stored,
    Version,
    batch_key,
    waiting_key,
)
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from chivefall.batch import JobState
    from chivefall.controllers._leader import LeaderController
    from chivefall.controllers.batch._records import TrackedJob
    from chivefall.model import Epoch, JobId
    from chivefall.runtime import Clock, Future
    from chivefall.store import TransactionalStore

__all__ = ["ProgressWriter"]

JOBS_PER_COMMIT = 10  # a job uses up to 3 of the 32 entries that a transaction may have
RETRY_DELAY_SECONDS = 0.1  # after an unconfirmed write


class ProgressWriter:
    """Writes the progress of changed jobs, several per transaction and one transaction at a time.

    Each transaction requires the leader key at this epoch and the progress
    version that this leader last wrote or read. A delayed write or a write by an
    earlier leader therefore has no effect.

    Parameters
    ----------
    run_task : callable
        Runs a coroutine and logs any exception it raises.
    record_written : callable
        Called with a job and the state that was written.
    """

    def __init__(
        self,
        clock: Clock,
        store: TransactionalStore,
        leader: LeaderController,
        run_task: Callable[[Coroutine[Any, Any, None]], Future[None]],
        record_written: Callable[[TrackedJob, JobState], None],
    ) -> None:
        self._clock = clock
        self._store = store
        self._leader = leader
        self._run_task = run_task
        self._record_written = record_written
        self._epoch: Epoch | None = None
        self._changed: dict[JobId, TrackedJob] = {}
        self._writing = False

    @property
    def is_idle(self) -> bool:
        """Return whether no write is pending."""
        return not self._writing and not self._changed

    def open(self, epoch: Epoch) -> None:
        """Start writing under an epoch."""
        self._epoch, self._changed = epoch, {}

    def close(self) -> None:
        """Stop writing and drop pending writes."""
        self._epoch, self._changed = None, {}

    def schedule_write(
        self, tracked: TrackedJob, on_written: Callable[[], None] | None = None
    ) -> None:
        """Schedule a write of a job's progress and call ``on_written`` after it succeeds."""
        tracked.dirty = True
        self._changed[tracked.job.job_id] = tracked
        if on_written is not None:
            tracked.on_written.append(on_written)
        if not self._writing and self._epoch is not None:
            self._schedule_writing(self._epoch, 0.0)

    def _schedule_writing(self, epoch: Epoch, delay: float) -> None:
        self._writing = True
        self._clock.call_later(
            delay,
            lambda: self._run_task(self._write_all(epoch)).add_done_callback(self._on_writing_done),
        )

    def _on_writing_done(self, _: Future[None]) -> None:
        self._writing = False
        if self._epoch is not None and self._changed:
            self._schedule_writing(self._epoch, RETRY_DELAY_SECONDS)

    async def _write_all(self, epoch: Epoch) -> None:
        while self._epoch == epoch and self._changed:
            changed = list(self._changed.values())[:JOBS_PER_COMMIT]
            if not await self._write(epoch, changed):
                await sleep(self._clock, RETRY_DELAY_SECONDS)

    async def _write(self, epoch: Epoch, changed: list[TrackedJob]) -> bool:
        """Write the progress of some jobs and return whether no retry is needed."""
        conditions: dict[str, Version] = {self._leader.key: Version(epoch)}
        puts, removes, sent = [], [], []
        for tracked in changed:
            key, value = _key(tracked), encode_progress(tracked.job)
            conditions[key] = tracked.version
            puts.append(Put(key, value))
            if value not in tracked.unacknowledged_writes:
                tracked.unacknowledged_writes.append(value)
            pending_key = waiting_key(tracked.job.submission.queue.name, tracked.job.job_id)
            if tracked.has_waiting_key and not tracked.is_pending:
                removes.append(pending_key)
            elif tracked.is_pending and not tracked.has_waiting_key:
                puts.append(Put(pending_key, b""))
            sent.append((tracked, tracked.job.state, tracked.is_pending, tracked.on_written))
            tracked.dirty, tracked.on_written = False, []
            del self._changed[tracked.job.job_id]
        outcome = await self._store.transact(conditions, puts, removes)
        if self._epoch != epoch:
            return True
        if isinstance(outcome, Stored):
            for tracked, state, is_pending, on_written in sent:
                tracked.version, tracked.unacknowledged_writes = outcome.version, []
                tracked.has_waiting_key = is_pending
                self._record_written(tracked, state)
                for action in on_written:
                    action()
            return True
        for tracked, _, _, on_written in sent:
            tracked.dirty = True
            tracked.on_written = on_written + tracked.on_written
            self._changed[tracked.job.job_id] = tracked
        if isinstance(outcome, Mismatch):
            self._resolve_unacknowledged(epoch, changed, outcome)
        log_event(
            LogEvent.BATCH_COMMIT_DELAYED,
            jobs=len(changed),
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
        )
        return False

    def _resolve_unacknowledged(
        self, epoch: Epoch, changed: list[TrackedJob], outcome: Mismatch
    ) -> None:
        """Determine which earlier writes took effect although their response was lost."""
        leader = outcome.current.get(self._leader.key)
        if leader is None or leader.version != epoch:
            return  # The leader controller detects this and steps down or renews the lease.
        for tracked in changed:
            entry = outcome.current.get(_key(tracked))
            if entry is None and tracked.version != ABSENT and tracked.final_since is not None:
                self._drop(tracked)
                continue
            if entry is None or entry.version == tracked.version:
                continue
            if entry.value not in tracked.unacknowledged_writes:
                self._leader.step_down(f"another process wrote progress of {tracked.job.job_id}")
                return
            tracked.version, tracked.unacknowledged_writes = Version(entry.version), [entry.value]

    def _drop(self, tracked: TrackedJob) -> None:
        """Drop the pending writes of a final job whose record this leader has removed."""
        self._changed.pop(tracked.job.job_id, None)
        tracked.dirty, tracked.unacknowledged_writes = False, []
        actions, tracked.on_written = tracked.on_written, []
        for action in actions:
            action()


def _key(tracked: TrackedJob) -> str:
    return batch_key(tracked.job.job_id, BatchPart.PROGRESS)
