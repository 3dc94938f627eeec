"""Ends of runs of jobs that the leader does not manage."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.batch import decode_ends, encode_ends
from chivefall.errors import MessageError
from chivefall.runtime import sleep
from chivefall.store import (
    ABSENT,
    BatchPart,
    Listed,
    Put,
    Stored,
    Version,
    batch_key,
    batch_prefix,
)
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from chivefall.batch import RecordedEnd
    from chivefall.controllers._leader import LeaderController
    from chivefall.model import Epoch, JobId
    from chivefall.runtime import Clock, Future
    from chivefall.store import Entry, TransactionalStore
    from chivefall.telemetry import BatchMetrics

__all__ = ["UnappliedEnds"]

RETRY_DELAY_SECONDS = 0.25  # between attempts to read jobs or to store ends
INVALID_RETRY_DELAY_SECONDS = 10.0  # while the stored ends of a job cannot be read


class UnappliedEnds:
    """Decides about the ends of runs of unknown jobs by the jobs' keys in the store.

    A worker forgets an end that is acknowledged. If the store has no such job, nobody needs
    the end. If the job was not read yet, the end is applied to it. If a record of the job is
    invalid, the end is stored beside it, since the task would run again once the record is
    repaired.

    Parameters
    ----------
    run_task : callable
        Runs a coroutine and logs any exception it raises.
    read_job : callable
        Reads a job from its keys and returns whether the leader manages it from now on.
    apply : callable
        Applies an end to a managed job and calls the function given with it once that is
        written.
    """

    def __init__(
        self,
        clock: Clock,
        store: TransactionalStore,
        leader: LeaderController,
        metrics: BatchMetrics,
        run_task: Callable[[Coroutine[Any, Any, None]], Future[None]],
        read_job: Callable[[JobId, tuple[Entry, ...]], bool],
        apply: Callable[[RecordedEnd, Callable[[], None]], None],
    ) -> None:
        self._clock = clock
        self._store = store
        self._leader = leader
        self._metrics = metrics
        self._run_task = run_task
        self._read_job = read_job
        self._apply = apply
        self._epoch: Epoch | None = None
        self._pending: dict[JobId, list[tuple[RecordedEnd, Callable[[], None]]]] = {}
        self._next_check: dict[JobId, float] = {}
        self._resolving = False

    def open(self, epoch: Epoch) -> None:
        """Start to decide about ends under an epoch."""
        self.close()
        self._epoch = epoch

    def close(self) -> None:
        """Drop all ends; the workers report them to the next leader."""
        self._epoch, self._pending, self._next_check = None, {}, {}

    def add(self, end: RecordedEnd, acknowledge: Callable[[], None]) -> None:
        """Decide about an end, and call ``acknowledge`` once its worker may forget it."""
        self._pending.setdefault(end.run.job, []).append((end, acknowledge))
        self._ensure_resolving()

    def _ensure_resolving(self) -> None:
        if not self._resolving and self._pending and self._epoch is not None:
            self._resolving = True
            self._run_task(self._resolve_all(self._epoch)).add_done_callback(self._on_done)

    def _on_done(self, _: Future[None]) -> None:
        self._resolving = False
        # Delayed so that a recurring error does not monopolize the loop.
        self._clock.call_later(RETRY_DELAY_SECONDS, self._ensure_resolving)

    async def _resolve_all(self, epoch: Epoch) -> None:
        while self._epoch == epoch and self._pending:
            for job_id in list(self._pending):
                if self._next_check.get(job_id, 0.0) <= self._clock.now():
                    await self._resolve(epoch, job_id)
                if self._epoch != epoch:
                    return
            if self._pending:
                await sleep(self._clock, RETRY_DELAY_SECONDS)

    async def _resolve(self, epoch: Epoch, job_id: JobId) -> None:
        listed = await self._store.list(batch_prefix(job_id))
        if not isinstance(listed, Listed) or self._epoch != epoch:
            return
        entries = {entry.key: entry for entry in listed.entries}
        if batch_key(job_id, BatchPart.SPEC) not in entries:
            for _, acknowledge in self._pending.pop(job_id):
                acknowledge()
        elif self._read_job(job_id, listed.entries):
            for end, acknowledge in self._pending.pop(job_id):
                self._apply(end, acknowledge)
        else:
            await self._store_ends(epoch, job_id, entries)

    async def _store_ends(self, epoch: Epoch, job_id: JobId, entries: dict[str, Entry]) -> None:
        """Store the ends of a job with an invalid record, and acknowledge them."""
        key, spec = batch_key(job_id, BatchPart.ENDS), batch_key(job_id, BatchPart.SPEC)
        stored, version = [], ABSENT
        if key in entries:
            try:
                stored, version = decode_ends(job_id, entries[key].value), entries[key].version
            except MessageError as exc:
                log_event(LogEvent.BATCH_RECORD_INVALID, key=key, reason=str(exc))
                self._next_check[job_id] = self._clock.now() + INVALID_RETRY_DELAY_SECONDS
                return
        pending = list(self._pending[job_id])
        added = [end for end, _ in pending if end not in stored]
        # The condition on the job's own record keeps a removed job's ends from being stored.
        conditions = {
            self._leader.key: Version(epoch),
            spec: entries[spec].version,
            key: version,
        }
        outcome = await self._store.transact(conditions, [Put(key, encode_ends(stored + added))])
        if not isinstance(outcome, Stored) or self._epoch != epoch:
            return
        for end in added:
            self._metrics.unapplied_ends.inc({"kind": end.kind.value})
            log_event(LogEvent.END_NOT_APPLIED, run=str(end.run), kind=end.kind.value, key=key)
        for _, acknowledge in pending:
            acknowledge()
        self._pending[job_id] = self._pending[job_id][len(pending) :]
        if not self._pending[job_id]:
            del self._pending[job_id]
