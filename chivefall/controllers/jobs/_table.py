"""In-memory state of a leader's jobs, their shares and their outcomes."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from chivefall.model import (
    Completed,
    DomainId,
    JobRecord,
    JobState,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    WorkerId,
)
from chivefall.runtime import Future
from chivefall.store import ABSENT, Version
from chivefall.workers import TaskReport, TaskShare

__all__ = ["Job", "WaitReply", "final_outcome", "task_shares_of", "workers_of"]

FAILED_JOB_HTTP_STATUS = 500


@dataclass(frozen=True)
class WaitReply:
    """Response of a leader to a wait for a job.

    Attributes
    ----------
    outcome : Outcome or None
        The job's outcome; None if it has not ended or this is not its leader.
    moved_to : DomainId or None
        Domain whose leader manages the job now.
    """

    outcome: Outcome | None = None
    moved_to: DomainId | None = None


class Job:
    """A job's record and the leader's in-memory state of its current attempt.

    Attributes
    ----------
    version : Version
        Version of the stored record; ABSENT while there is none.
    reports : dict
        Last report of each worker about its share.
    outcome : Future
        Outcome for waiting callers; None if they have to ask another leader.
    saved : Future
        Done when the latest record is stored; False if another leader wrote it.
    dirty, saving : bool
        Whether the stored record is older than ``record``, and whether a
        write is in progress.
    unconfirmed_writes : list of bytes
        Encoded records whose writes got no reply since ``version`` was stored.
    busy : bool
        Whether a start, checkpoint, release or transfer is in progress.
    committed, confirmed : bool
        Whether a commit or a confirmation of the current attempt was sent.
    avoid : set of WorkerId
        Workers that failed a command since the job last ran.
    not_before : float
        Earliest time of the next start.
    queued_at : float
        Time at which the job was last queued here.
    transfer_uncertain : bool
        Whether the target of a transfer may have recorded the job without this leader
        knowing, because a reply was lost.
    refused_by : set of DomainId
        Failure domains that the job can never fit, according to their leaders.
    rejected : bool
        Whether the policy decided that the job never fits this failure domain.
    """

    __slots__ = (
        "avoid",
        "busy",
        "committed",
        "confirmed",
        "dirty",
        "not_before",
        "outcome",
        "queued_at",
        "record",
        "refused_by",
        "rejected",
        "reports",
        "saved",
        "saving",
        "transfer_uncertain",
        "unconfirmed_writes",
        "version",
    )

    def __init__(self, record: JobRecord, version: Version) -> None:
        self.record = record
        self.version = version
        self.reports: dict[WorkerId, TaskReport] = {}
        self.outcome: Future[Outcome | None] = Future()
        self.dirty = False
        self.saving = False
        self.saved: Future[bool] = Future()
        self.unconfirmed_writes: list[bytes] = []
        self.busy = False
        self.committed = False
        self.confirmed = False
        self.avoid: set[WorkerId] = set()
        self.not_before = 0.0
        self.queued_at = record.submitted_at
        # A previous leader may already have sent the transfer.
        self.transfer_uncertain = record.state is JobState.TRANSFERRING
        self.refused_by: set[DomainId] = set()
        self.rejected = False

    def record_report(self, worker: WorkerId, report: TaskReport) -> None:
        """Store a share's report unless a newer one is stored."""
        last = self.reports.get(worker)
        if last is None or last.attempt != report.attempt or report.stage >= last.stage:
            self.reports[worker] = report

    @property
    def recorded(self) -> bool:
        """Return whether the store holds a record of the job."""
        return self.version != ABSENT


def workers_of(record: JobRecord) -> tuple[WorkerId, ...]:
    """Return the workers of a job's current attempt without duplicates."""
    if record.placement is None:
        return ()
    return tuple(dict.fromkeys(member.worker for member in record.placement))


def task_shares_of(record: JobRecord) -> dict[WorkerId, TaskShare]:
    """Return the share of the gang that each worker of the current attempt runs."""
    indices: dict[WorkerId, list[int]] = defaultdict(list)
    accelerators: dict[WorkerId, int] = defaultdict(int)
    for index, member in enumerate(record.placement or ()):
        indices[member.worker].append(index)
        accelerators[member.worker] += member.accelerators
    spec = record.spec
    return {
        name: TaskShare(
            record.attempt,
            record.job_id,
            spec.account,
            spec.command,
            spec.payload,
            tuple(members),
            spec.gang_size,
            accelerators[name],
            record.checkpoint,
            spec.run_time,
        )
        for name, members in indices.items()
    }


def final_outcome(record: JobRecord) -> Outcome | None:
    """Return the outcome for callers of a finished job; None if the job moved."""
    if record.state is JobState.MOVED:
        return None
    if record.state is JobState.SUCCEEDED:
        return Completed({"job": record.job_id, "answer": record.answer})
    if record.uncertain:
        return Unknown(f"job {record.job_id} may have run: {record.error}")
    if not record.ran:
        cancelled = record.state is JobState.CANCELLED
        reason = NotRunReason.CANCELLED if cancelled else NotRunReason.INFEASIBLE
        return NotRun(reason, record.error or "the job was cancelled before it ran")
    if record.state is JobState.CANCELLED:
        return Unknown(f"job {record.job_id} was cancelled after it had started")
    return Completed({"job": record.job_id, "error": record.error}, FAILED_JOB_HTTP_STATUS)
