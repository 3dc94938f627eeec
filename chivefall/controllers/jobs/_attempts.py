"""Decisions about the attempts of a job, from the reports of its shares."""

from __future__ import annotations

from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING, Any

from chivefall.controllers.jobs._table import workers_of
from chivefall.model import JobRecord, JobState, TaskState

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from chivefall.model import WorkerId
    from chivefall.workers import TaskReport

__all__ = [
    "AttemptDecision",
    "decide_attempt",
    "may_run_again",
    "next_record_after_release",
    "succeeded_record",
]

MAX_FAILED_WORKERS = 3  # a job that failed on so many workers is considered faulty
MAX_FAILURES = 6  # limit where fewer than MAX_FAILED_WORKERS workers exist
_WORKING = (TaskState.RUNNING, TaskState.SUCCEEDED)


class AttemptDecision(Enum):
    """What to do with an attempt.

    ADOPT: every share runs or has succeeded. SUCCEED: every share has succeeded.
    FAIL: a share has failed. RELEASE: the gang is incomplete or was about to be
    checkpointed.
    """

    ADOPT = "adopt"
    SUCCEED = "succeed"
    FAIL = "fail"
    RELEASE = "release"


def decide_attempt(
    record: JobRecord, reports: Mapping[WorkerId, TaskReport], lost: Collection[WorkerId]
) -> AttemptDecision:
    """Return what to do with the current attempt of a job.

    Parameters
    ----------
    reports : dict
        Last report of each worker; reports of other attempts are ignored.
    lost : collection of WorkerId
        Workers that no longer respond.
    """
    names = workers_of(record)
    states = [
        reports[name].state
        for name in names
        if name in reports and reports[name].attempt == record.attempt
    ]
    if names and len(states) == len(names) and set(states) == {TaskState.SUCCEEDED}:
        return AttemptDecision.SUCCEED
    if TaskState.FAILED in states:
        return AttemptDecision.FAIL
    if record.state is JobState.CHECKPOINTING or any(
        name in lost and name not in reports for name in names
    ):
        return AttemptDecision.RELEASE
    if len(states) == len(names) and all(state in _WORKING for state in states):
        unfinished = [n for n in names if reports[n].state is not TaskState.SUCCEEDED]
        return AttemptDecision.RELEASE if set(unfinished) & set(lost) else AttemptDecision.ADOPT
    return AttemptDecision.RELEASE


def may_run_again(
    record: JobRecord, reports: Mapping[WorkerId, TaskReport], committed: bool
) -> bool:
    """Return whether a job may be started again after its attempt was released.

    A non-idempotent job may run again only if no commit was sent or if every
    worker reported that its share ended without having run. A worker that does
    not know the share proves nothing, since it may have restarted.
    """
    if record.spec.idempotent or not committed:
        return True
    return all(
        name in reports
        and reports[name].attempt == record.attempt
        and reports[name].state.is_final
        and not reports[name].ran
        for name in workers_of(record)
    )


def next_record_after_release(
    record: JobRecord, reports: Mapping[WorkerId, TaskReport], committed: bool, now: float
) -> JobRecord:
    """Return a job's next record once all shares of its attempt are proven to have ended."""
    names = workers_of(record)
    current = {
        n: reports[n] for n in names if n in reports and reports[n].attempt == record.attempt
    }
    states = {report.state for report in current.values()}
    if names and len(current) == len(names) and states == {TaskState.SUCCEEDED}:
        return succeeded_record(record, current, now)
    if record.cancel_requested:
        return _ended_record(record, JobState.CANCELLED, now)
    failed = [name for name, report in current.items() if report.state is TaskState.FAILED]
    if failed:
        return _next_record_after_failure(record, failed, current, now)
    if len(current) == len(names) and states == {TaskState.CHECKPOINTED}:
        least_advanced = min(current.values(), key=lambda report: report.progress)
        if record.spec.idempotent or len(names) == 1:
            return _queued_record(
                record, checkpoint=least_advanced.checkpoint, progress=least_advanced.progress
            )
    if may_run_again(record, reports, committed):
        return _queued_record(record)
    error = "an attempt was interrupted and a second one could repeat its effect"
    return _ended_record(record, JobState.FAILED, now, error=error, uncertain=True)


def succeeded_record(
    record: JobRecord, reports: Mapping[WorkerId, TaskReport], now: float
) -> JobRecord:
    """Return the record of a job all of whose shares succeeded."""
    answer = {name: reports[name].answer for name in sorted(workers_of(record))}
    return _ended_record(record, JobState.SUCCEEDED, now, answer=answer)


def _next_record_after_failure(
    record: JobRecord, failed: list[WorkerId], reports: Mapping[WorkerId, TaskReport], now: float
) -> JobRecord:
    workers = tuple(dict.fromkeys((*record.failed_workers, *failed)))
    counted = replace(record, failed_workers=workers, failures=record.failures + 1)
    exhausted = len(workers) >= MAX_FAILED_WORKERS or counted.failures >= MAX_FAILURES
    if exhausted or not record.spec.idempotent:
        error = reports[failed[0]].error or "the program failed"
        return _ended_record(counted, JobState.FAILED, now, error=error)
    return _queued_record(counted)


def _queued_record(record: JobRecord, **changes: Any) -> JobRecord:
    return record.with_state(JobState.QUEUED, attempt=None, placement=None, **changes)


def _ended_record(record: JobRecord, state: JobState, now: float, **changes: Any) -> JobRecord:
    return record.with_state(state, finished_at=now, **changes)
