"""Submission, status and cancellation of batch jobs, served directly from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.batch import (
    BatchOperation,
    BatchOutcome,
    BatchRequest,
    CatalogOutdated,
    JobNotFound,
    JobState,
    JobStatus,
    PendingJobs,
    Submission,
    decode_job_state,
    encode_submission,
)
from chivefall.controllers._base import Controller
from chivefall.errors import MessageError
from chivefall.model import Accepted, JobId, NotRun, NotRunReason, Unknown
from chivefall.runtime import sleep
from chivefall.store import (
    ABSENT,
    BatchPart,
    Listed,
    Mismatch,
    Put,
    Stored,
    admission_key,
    batch_key,
    batch_prefix,
    waiting_key,
    waiting_prefix,
)
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from chivefall.batch import BatchTiming
    from chivefall.controllers.batch._catalog import CatalogController
    from chivefall.runtime import Clock
    from chivefall.store import Entry, TransactionalStore, Version

__all__ = ["SubmissionController"]

RETRY_DELAY_SECONDS = 0.1  # between store attempts for one request
RESOLVE_TIMEOUT_SECONDS = 0.5
"""Time after which a write whose outcome the store did not confirm is reported as unknown.

A lost reply is detected after 0.35 s and resolved by a second write. Callers have 3 s
and may repeat the request at another instance that can reach the store.
"""
ADMISSION_RETRY_SECONDS = 30.0  # jobs leave the memory minutes after their end
RETRY_AFTER_SECONDS = 1.0  # sent to callers; store outages are either shorter or much longer


class SubmissionController(Controller):
    """Serves requests for batch jobs in every instance; stateless."""

    def __init__(
        self,
        clock: Clock,
        store: TransactionalStore,
        catalog: CatalogController,
        timing: BatchTiming,
    ) -> None:
        super().__init__(clock)
        self._store = store
        self._catalog = catalog
        self._retention = timing.job_retention

    def start(self) -> None:
        """Do nothing; there is no periodic work."""

    async def serve(self, req: BatchRequest) -> BatchOutcome:
        """Return the outcome of a request whose queue and account have been resolved."""
        if req.operation is BatchOperation.SUBMIT:
            return await self._submit(req)
        if req.operation is BatchOperation.STATUS:
            return await self._status(req.job_id)
        if req.operation is BatchOperation.CANCEL:
            return await self._cancel(req)
        return await self._pending(req)

    async def _submit(self, req: BatchRequest) -> BatchOutcome:
        submission = Submission(req.job_id, req.queue, req.account, req.received_at, req.spec)
        spec_key = batch_key(req.job_id, BatchPart.SPEC)
        cancel_key = batch_key(req.job_id, BatchPart.CANCEL)
        puts = [
            Put(spec_key, encode_submission(submission)),
            Put(waiting_key(req.queue.name, req.job_id), b""),
        ]
        closed_key = admission_key(req.account)
        absent = (spec_key, cancel_key, closed_key)
        conditions = dict.fromkeys(absent, ABSENT)
        outcome = await self._write(req, conditions, puts, temporary_key=closed_key)
        if isinstance(outcome, Stored):
            return Accepted(req.job_id)
        if not isinstance(outcome, Mismatch):
            return outcome
        if outcome.current.get(spec_key) is not None:
            return Accepted(req.job_id)  # An earlier attempt or an earlier request created the job.
        if outcome.current.get(cancel_key) is not None:
            return NotRun(
                NotRunReason.CANCELLED,
                f"job {req.job_id} was cancelled before it was accepted; use another id",
                self._retention,
            )
        if outcome.current.get(closed_key) is not None:
            return NotRun(
                NotRunReason.OVERLOADED,
                f"the accepted jobs of account {req.account} take too much memory; wait until"
                " some have ended, or cancel some",
                ADMISSION_RETRY_SECONDS,
            )
        return self._catalog_outdated(outcome)

    async def _cancel(self, req: BatchRequest) -> BatchOutcome:
        """Cancel a job, or prevent its creation if the store has none with this id.

        A submission that got no response may still be executed by the store. It requires that
        the cancel key does not exist, so it fails once that key is written.
        """
        while True:
            entries = await self._read_job(req.job_id)
            if not isinstance(entries, dict):
                return entries
            spec = entries.get(BatchPart.SPEC)
            if spec is not None:
                state = _job_state(req.job_id, entries)
                if not isinstance(state, JobState):
                    return state
                if state.is_final:
                    return JobStatus(state)
            elif BatchPart.CANCEL in entries:
                return JobNotFound()
            outcome = await self._write_cancel(req, ABSENT if spec is None else spec.version)
            if outcome is not None:
                return outcome
            if self._is_overdue(req):
                return _unconfirmed()

    async def _write_cancel(self, req: BatchRequest, version: Version) -> BatchOutcome | None:
        """Write the cancel key of a job whose submission is at a version.

        Returns None if the job was created or removed since it was read.
        """
        spec_key = batch_key(req.job_id, BatchPart.SPEC)
        cancel_key = batch_key(req.job_id, BatchPart.CANCEL)
        conditions = {spec_key: version, cancel_key: ABSENT}
        outcome = await self._write(req, conditions, [Put(cancel_key, b"")])
        if isinstance(outcome, Stored):
            return _cancelled(req, has_job=version != ABSENT)
        if not isinstance(outcome, Mismatch):
            return outcome
        spec = outcome.current.get(spec_key)
        if outcome.current.get(cancel_key) is not None:
            return _cancelled(req, has_job=spec is not None)  # by an earlier attempt or request
        if (ABSENT if spec is None else spec.version) == version:
            return self._catalog_outdated(outcome)
        return None

    async def _write(
        self,
        req: BatchRequest,
        conditions: dict[str, Version],
        puts: list[Put],
        temporary_key: str = "",
    ) -> Stored | Mismatch | NotRun | Unknown:
        """Write keys, provided that the catalog used to check the request is current.

        After a mismatch, delayed earlier attempts fail on the same conditions.

        Parameters
        ----------
        temporary_key : str
            A key whose condition may hold again soon, so that it does not stop delayed attempts.
        """
        conditions = {**conditions, self._catalog.key: self._catalog.version}
        may_be_applied = False
        while True:
            outcome = await self._store.transact(conditions, puts)
            if isinstance(outcome, Stored):
                return outcome
            if isinstance(outcome, Mismatch):
                mismatched = _mismatched_keys(conditions, outcome)
                if not may_be_applied or mismatched != {temporary_key}:
                    return outcome
            may_be_applied = may_be_applied or getattr(outcome, "applied_unknown", False)
            if not may_be_applied:
                return NotRun(
                    NotRunReason.STORE_UNAVAILABLE,
                    "the store does not accept writes; repeat the request later",
                    RETRY_AFTER_SECONDS,
                )
            if self._is_overdue(req):
                return _unconfirmed()
            await sleep(self.clock, RETRY_DELAY_SECONDS)

    def _is_overdue(self, req: BatchRequest) -> bool:
        """Return whether the outcome of a request has to be reported as unknown by now."""
        return self.clock.now() >= min(req.received_at + RESOLVE_TIMEOUT_SECONDS, req.deadline)

    def _catalog_outdated(self, outcome: Mismatch) -> CatalogOutdated:
        entry = outcome.current.get(self._catalog.key)
        if entry is not None:
            self._catalog.adopt(entry)
        return CatalogOutdated()

    async def _status(self, job_id: JobId) -> BatchOutcome:
        entries = await self._read_job(job_id)
        if not isinstance(entries, dict):
            return entries
        if BatchPart.SPEC not in entries:
            return JobNotFound()
        state = _job_state(job_id, entries)
        return JobStatus(state) if isinstance(state, JobState) else state

    async def _read_job(self, job_id: JobId) -> dict[BatchPart, Entry] | BatchOutcome:
        prefix = batch_prefix(job_id)
        listed = await self._store.list(prefix)
        if not isinstance(listed, Listed):
            return _unavailable()
        known = {part.value: part for part in BatchPart}
        names = ((entry.key.removeprefix(prefix), entry) for entry in listed.entries)
        return {known[name]: entry for name, entry in names if name in known}

    async def _pending(self, req: BatchRequest) -> BatchOutcome:
        listed = await self._store.list(waiting_prefix(req.queue.name))
        return PendingJobs(len(listed.entries)) if isinstance(listed, Listed) else _unavailable()


def _unavailable() -> NotRun:
    return NotRun(
        NotRunReason.STORE_UNAVAILABLE,
        "the store does not respond; repeat the request later",
        RETRY_AFTER_SECONDS,
    )


def _cancelled(req: BatchRequest, *, has_job: bool) -> BatchOutcome:
    if has_job:
        return JobStatus(JobState.CANCELLED)
    log_event(LogEvent.SUBMISSION_PREVENTED, job=req.job_id, account=req.account)
    return JobNotFound()


def _mismatched_keys(conditions: dict[str, Version], outcome: Mismatch) -> set[str]:
    """Return the keys that were not at their expected versions."""
    current = {key: outcome.current.get(key) for key in conditions}
    return {
        key
        for key, version in conditions.items()
        if (ABSENT if current[key] is None else current[key].version) != version
    }


def _unconfirmed() -> Unknown:
    return Unknown("the store did not confirm the request; repeat it with the same id")


def _job_state(job_id: JobId, entries: dict[BatchPart, Entry]) -> JobState | Unknown:
    """Return the state of a job, or Unknown if its progress record is invalid."""
    progress = entries.get(BatchPart.PROGRESS)
    try:
        state = JobState.QUEUED if progress is None else decode_job_state(progress.value)
    except MessageError as exc:
        log_event(LogEvent.BATCH_RECORD_INVALID, key=progress.key, reason=str(exc))
        return Unknown(f"the record of job {job_id} is invalid; ask the operators to check it")
    if BatchPart.CANCEL in entries and not state.is_final:
        return JobState.CANCELLED
    return state
