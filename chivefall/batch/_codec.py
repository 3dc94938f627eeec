"""Encoding of the stored records of batch jobs."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Annotated

import msgspec

from chivefall.batch._job import BatchJob, EndKind, RecordedEnd, Submission
from chivefall.batch._model import (
    NO_CHECKPOINT,
    BatchSpec,
    Checkpoint,
    Incarnation,
    JobState,
    Queue,
    RunId,
    RunNumber,
    TaskKey,
)
from chivefall.batch._task import Assignment, TaskState
from chivefall.batch._validation import find_spec_problem
from chivefall.decoding import decode_json
from chivefall.errors import MessageError
from chivefall.model import AccountId, JobId, WorkerId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.batch._task import Task

__all__ = [
    "decode_ends",
    "decode_job_state",
    "decode_submission",
    "encode_ends",
    "encode_progress",
    "encode_submission",
    "restore_progress",
]

REMEDY = "check which program wrote the key"
MAX_REASON_LENGTH = 200  # characters
_STATES = list(TaskState)


_Count = Annotated[int, msgspec.Meta(ge=0)]
_StateIndex = Annotated[int, msgspec.Meta(ge=0, lt=len(_STATES))]


class _Submission(msgspec.Struct):
    job_id: str
    queue: Queue
    account: str
    submitted_at: float
    spec: BatchSpec


class _TaskRow(msgspec.Struct, array_like=True):
    occurrence: _Count
    step: _Count
    index: _Count
    state: _StateIndex
    runs: _Count
    failures: _Count
    checkpoint: str
    worker: str = ""
    incarnation: int = 0
    number: _Count = 0


class _FailedRunRow(msgspec.Struct, array_like=True):
    occurrence: _Count
    step: _Count
    index: _Count
    number: _Count


class _Progress(msgspec.Struct, omit_defaults=True):
    state: JobState
    tasks: list[_TaskRow]
    failed_runs: list[_FailedRunRow] = []  # absent in the records of earlier versions


class _EndRow(msgspec.Struct, array_like=True):
    occurrence: _Count
    step: _Count
    index: _Count
    number: _Count
    kind: EndKind
    checkpoint: str


def encode_submission(submission: Submission) -> bytes:
    """Return the record of an accepted job."""
    return msgspec.json.encode(
        _Submission(
            submission.job_id,
            submission.queue,
            submission.account,
            submission.submitted_at,
            submission.spec,
        )
    )


def decode_submission(value: bytes) -> Submission:
    """Return the accepted job that a record holds.

    Raises
    ------
    MessageError
        If the record cannot be read.
    """
    raw = _decode(value, _Submission)
    problem = find_spec_problem(raw.spec)
    if problem:
        raise MessageError(f"a stored record is invalid: {problem[:MAX_REASON_LENGTH]}", REMEDY)
    return Submission(
        JobId(raw.job_id), raw.queue, AccountId(raw.account), raw.submitted_at, raw.spec
    )


def encode_progress(job: BatchJob) -> bytes:
    """Return the record of a job's progress; tasks that were never assigned are left out."""
    tasks = list(job.kept_tasks())
    rows = [_row(task) for task in tasks if _has_record(task)]
    rows += [_done_row(key, number) for key, number in job.done_runs()]
    failed_runs = [
        _FailedRunRow(*task.key, number) for task in tasks for number in sorted(task.failed_runs)
    ]
    return msgspec.json.encode(_Progress(job.state, rows, failed_runs))


def decode_job_state(value: bytes) -> JobState:
    """Return the job state in a progress record.

    Raises
    ------
    MessageError
        If the record cannot be read.
    """
    return _decode(value, _Progress).state


def restore_progress(job: BatchJob, value: bytes) -> None:
    """Set the state of a new job and its tasks from a progress record.

    Raises
    ------
    MessageError
        If the record cannot be read.
    """
    raw = _decode(value, _Progress)
    job.failed = raw.state is JobState.FAILED
    job.cancelled = job.cancelled or raw.state is JobState.CANCELLED
    job.started = job.started or raw.state is not JobState.QUEUED
    failed_runs: dict[TaskKey, list[RunNumber]] = defaultdict(list)
    for row in raw.failed_runs:
        key = TaskKey(row.occurrence, row.step, row.index)
        failed_runs[key].append(RunNumber(row.number))
    for row in raw.tasks:
        key = TaskKey(row.occurrence, row.step, row.index)
        assignment = None
        if row.worker:
            assignment = Assignment(
                WorkerId(row.worker), Incarnation(row.incarnation), RunNumber(row.number)
            )
        job.restore(
            key,
            _STATES[row.state],
            RunNumber(row.runs),
            row.failures,
            Checkpoint(row.checkpoint),
            assignment,
            failed_runs[key],
        )


def encode_ends(ends: Iterable[RecordedEnd]) -> bytes:
    """Return the record of ends of runs of one job."""
    return msgspec.json.encode(
        [_EndRow(*end.run.task, end.run.number, end.kind, end.checkpoint) for end in ends]
    )


def decode_ends(job_id: JobId, value: bytes) -> list[RecordedEnd]:
    """Return the ends of runs of a job that a record holds.

    Raises
    ------
    MessageError
        If the record cannot be read.
    """
    return [
        RecordedEnd(
            RunId(job_id, TaskKey(row.occurrence, row.step, row.index), RunNumber(row.number)),
            row.kind,
            Checkpoint(row.checkpoint),
        )
        for row in _decode(value, list[_EndRow])
    ]


def _has_record(task: Task) -> bool:
    return bool(task.last_run_number) or task.state is not TaskState.WAITING


def _done_row(key: TaskKey, number: RunNumber) -> _TaskRow:
    """Return the row of a done task, whose failures and checkpoint are no longer needed."""
    return _TaskRow(*key, _STATES.index(TaskState.DONE), number, 0, NO_CHECKPOINT)


def _row(task: Task) -> _TaskRow:
    row = _TaskRow(
        *task.key, _STATES.index(task.state), task.last_run_number, task.failures, task.checkpoint
    )
    if task.assignment is not None:
        row.worker = task.assignment.worker
        row.incarnation = task.assignment.incarnation
        row.number = task.assignment.number
    return row


def _decode(value: bytes, kind):
    return decode_json(value, kind, "a stored record", REMEDY)
