"""Durable job records, with serialized, coalesced and retried writes."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from chivefall.decoding import decode_json
from chivefall.errors import MessageError
from chivefall.model import Accepted, JobRecord, NotRun, NotRunReason, Outcome, Unknown
from chivefall.runtime import Future, sleep
from chivefall.store import (
    ABSENT,
    JOB_SHARDS,
    Conflict,
    Found,
    Listed,
    Store,
    Stored,
    Unavailable,
    Unmodified,
    Version,
    job_key,
    jobs_prefix,
)
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.controllers.jobs._table import Job
    from chivefall.model import DomainId, JobId
    from chivefall.runtime import Clock

__all__ = ["MAX_RECORD_BYTES", "JobRecords", "encode_record"]

MAX_RECORD_BYTES = 64_000  # JOB_SHARDS is sized for this limit
MAX_CONCURRENT_WRITES = 16  # keeps a burst of changes from saturating the store
WRITE_RETRY_DELAY_SECONDS = 1.0  # before the next write while the store is unavailable
RETRY_AFTER_SECONDS = 2.0  # retry hint for callers while the store is unavailable


def encode_record(record: JobRecord) -> bytes:
    """Return a record as JSON.

    A final record is encoded without its payload. An answer that makes the record
    exceed MAX_RECORD_BYTES is replaced by a note.
    """
    if record.state.is_final:
        record = replace(record, spec=replace(record.spec, payload=None))
    data = msgspec.json.encode(record)
    if len(data) > MAX_RECORD_BYTES and record.answer is not None:
        data = msgspec.json.encode(replace(record, answer={"omitted": "the answer is too long"}))
    return data


class JobRecords:
    """Reads and writes the records of one leader's jobs.

    Parameters
    ----------
    run_task : callable
        Runs a coroutine on the loop.
    on_conflict : callable
        Called with a reason when another leader has written a record.
    """

    def __init__(
        self,
        clock: Clock,
        store: Store,
        domain: DomainId,
        run_task: Callable,
        on_conflict: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._store = store
        self._domain = domain
        self._run_task = run_task
        self._on_conflict = on_conflict
        self._waiting: deque[Job] = deque()
        self._writing = 0
        self._generation = 0

    def reset(self) -> None:
        """Abandon all writes; called when this instance stops leading."""
        self._generation += 1
        self._waiting.clear()
        self._writing = 0

    async def create(self, record: JobRecord) -> Version | Outcome:
        """Create a record; after a lost reply, read the key to find out whether it was stored.

        Returns
        -------
        Version or Outcome
            The version of the stored record, or the outcome for the caller.
        """
        key = job_key(self._domain, record.job_id)
        data = encode_record(record)
        outcome = await self._store.put(key, data, ABSENT)
        if isinstance(outcome, Unavailable) and outcome.applied_unknown:
            outcome = await self._read_back(key, data)
            if outcome is None:
                outcome = await self._store.put(key, data, ABSENT)
                if isinstance(outcome, Conflict) and outcome.current is not None:
                    # The first write took effect after the read.
                    outcome = Stored(outcome.current.version)
            if isinstance(outcome, Unavailable):
                return Unknown("the store did not confirm whether the job is recorded")
        if isinstance(outcome, Conflict) and outcome.current and outcome.current.value == data:
            # An earlier call of the same transfer stored the record.
            return outcome.current.version
        if isinstance(outcome, Stored):
            return outcome.version
        return NotRun(
            NotRunReason.STORE_UNAVAILABLE, "the job could not be recorded", RETRY_AFTER_SECONDS
        )

    async def withdraw(self, job_id: JobId, version: Version) -> Outcome:
        """Delete a record that was created after this leader's lease had ended.

        The successor may have loaded the records before this one was written, and
        would not know the job.
        """
        outcome = await self._store.delete(job_key(self._domain, job_id), version)
        if isinstance(outcome, Stored):
            return NotRun(NotRunReason.NO_LEADER, "the leader's lease ended", RETRY_AFTER_SECONDS)
        if isinstance(outcome, Conflict) and outcome.current is not None:
            return Accepted(job_id)  # the next leader has changed it already
        return Unknown(f"the leader's lease ended while it recorded job {job_id}")

    async def load(self) -> list[tuple[JobRecord, Version]] | None:
        """Read all records of the domain, shard by shard; None if a read fails.

        Records that cannot be decoded are logged and left out.
        """
        loaded = []
        for shard in range(JOB_SHARDS):
            listed = await self._store.list(jobs_prefix(self._domain, shard))
            if not isinstance(listed, Listed):
                return None
            for entry in listed.entries:
                try:
                    record = decode_json(entry.value, JobRecord, "a job record", "remove the key")
                except MessageError as exc:
                    log_event(LogEvent.JOB_RECORD_INVALID, key=entry.key, reason=str(exc))
                else:
                    loaded.append((record, entry.version))
        return loaded

    def save(self, job: Job) -> Future[bool]:
        """Schedule a write of a job's record and return a future of its completion.

        Changes made before the write are stored together. The result is False if
        another leader has written the record.
        """
        if job.saved.done():
            job.saved = Future()
        job.dirty = True
        if not job.saving:
            job.saving = True
            self._waiting.append(job)
            self._write_next()
        return job.saved

    async def delete(self, job: Job) -> bool:
        """Delete a final record; return whether the store confirmed it."""
        key = job_key(self._domain, job.record.job_id)
        return isinstance(await self._store.delete(key, job.version), Stored)

    def _write_next(self) -> None:
        while self._waiting and self._writing < MAX_CONCURRENT_WRITES:
            self._writing += 1
            self._run_task(self._write(self._waiting.popleft(), self._generation))

    async def _write(self, job: Job, generation: int) -> None:
        key = job_key(self._domain, job.record.job_id)
        while job.dirty:
            job.dirty = False
            data = encode_record(job.record)
            outcome = await self._store.put(key, data, job.version)
            if generation != self._generation:
                return
            if isinstance(outcome, Stored):
                job.version = outcome.version
                job.unconfirmed_writes.clear()
            elif isinstance(outcome, Unavailable):
                job.dirty = True
                if outcome.applied_unknown:
                    job.unconfirmed_writes.append(data)
                await sleep(self._clock, WRITE_RETRY_DELAY_SECONDS)
            elif outcome.current is not None and outcome.current.value in job.unconfirmed_writes:
                # An earlier write whose reply was lost took effect.
                job.version = outcome.current.version
                job.dirty = True
            else:
                self._on_conflict(f"another leader wrote the record of {job.record.job_id}")
                job.saved.set_result(False)
                return
        job.saving = False
        job.saved.set_result(True)
        self._writing -= 1
        self._write_next()

    async def _read_back(self, key: str, data: bytes) -> Stored | Conflict | Unavailable | None:
        """Return the outcome of a create whose reply was lost; None if the key is absent."""
        found = await self._store.get(key)
        if isinstance(found, Unavailable | Unmodified):
            return Unavailable("the store did not respond to the read")
        if not isinstance(found, Found):
            return None
        if found.entry.value == data:
            return Stored(found.entry.version)
        return Conflict(found.entry)
