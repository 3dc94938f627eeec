"""Catalogue of log events."""

from __future__ import annotations

from enum import Enum
from typing import Any

from eliot import log_message

__all__ = ["LogEvent", "log_event"]


class LogEvent(Enum):
    """Number, name and meaning of each log event.

    Number ranges: 1xxx process, 2xxx document, 3xxx membership and leadership,
    4xxx workers, 5xxx jobs, 6xxx requests, 7xxx batch jobs (70xx desired state,
    71xx jobs, 72xx runs, 73xx workers).
    """

    PROCESS_STARTED = (1001, "The instance is listening.")
    PROCESS_STOPPING = (1002, "The instance received a signal and is draining.")
    PROCESS_STOPPED = (1003, "The instance stopped after a clean shutdown.")
    UNHANDLED_ERROR = (1004, "An event handler or task raised an unhandled exception.")
    SETTINGS_RELOADED = (1005, "Changed settings were applied.")
    SETTINGS_REJECTED = (1006, "Changed settings are invalid; the previous ones stay in effect.")
    LOG_SUPPRESSED = (1007, "Lines of one event over the rate limit were not written.")
    LOG_DROPPED = (1008, "Lines were dropped because the output buffer was full.")
    DOCUMENT_ADOPTED = (2001, "The instance adopted a newer revision of the document.")
    DOCUMENT_CHANGED = (2002, "A change to the document was accepted.")
    DOCUMENT_CONFLICT = (2003, "A change was refused because another one was applied first.")
    DOCUMENT_INVALID = (2004, "A stored or received document or change record is invalid.")
    START_PERMISSION = (2005, "The permission to start tasks, or the evidence for it, changed.")
    AUDIT_DELAYED = (2006, "An audit record could not be written yet.")
    PEER_MESSAGE_DROPPED = (3001, "A message from or to a peer was dropped.")
    LEADERSHIP_GAINED = (3002, "The instance leads its failure domain.")
    LEADERSHIP_LOST = (3003, "The instance no longer leads its failure domain.")
    STORE_UNREACHABLE = (3004, "A call to the store got no response.")
    STORE_REACHABLE = (3005, "The store responds again.")
    LEADERSHIP_LAPSED = (
        3011,
        "The lease of the leader may have expired; it keeps its state and retries.",
    )
    WORKER_JOINED = (4001, "A worker was added to the platform's worker list.")
    WORKER_LOST = (4002, "A worker no longer responds.")
    WORKER_RECOVERED = (4003, "A lost worker responds again.")
    WORKER_QUARANTINED = (4004, "A worker failed several jobs and is given no new ones.")
    WORKER_FORGOTTEN = (4005, "A worker was removed from the platform's list and its lease ended.")
    JOB_ACCEPTED = (5001, "A job was recorded.")
    JOB_STARTED = (5002, "All members of a job's gang are running.")
    JOB_START_FAILED = (5003, "A gang could not start and was released.")
    JOB_FINISHED = (5004, "A job reached a final state.")
    JOB_INTERRUPTED = (5005, "A running gang was stopped as a whole.")
    JOB_ADOPTED = (5006, "A new leader took over a running gang.")
    JOB_CANCEL_REQUESTED = (5007, "A caller cancelled a job.")
    JOB_TRANSFERRED = (5008, "The leader of another failure domain took over a job.")
    RECORDS_LOADED = (5009, "A new leader has read the job records.")
    UNKNOWN_TASK_STOPPED = (5010, "A task without a job record was stopped.")
    JOB_RECORD_INVALID = (5011, "A stored job record is invalid and was ignored.")
    REQUEST_ANSWERED = (6001, "A caller's request was answered.")
    ENDPOINT_LEAVING = (6002, "An endpoint announced that it is shutting down.")
    ENDPOINT_EJECTED = (6003, "An endpoint failed repeatedly and receives no requests for a while.")
    CLAIM_UNSETTLED = (6011, "An idempotency claim could be neither completed nor released.")

    CATALOG_ADOPTED = (7001, "A version of the operators' desired state took effect.")
    CATALOG_INVALID = (7002, "A stored version of the desired state is invalid and was ignored.")
    DOMAINS_OUT = (7003, "The set of failure domains out of service changed.")
    BATCH_ANSWERED = (7101, "A request about batch jobs was answered.")
    BATCH_LOADED = (7102, "A new leader has read all batch jobs.")
    BATCH_JOB_STATE = (7103, "A batch job changed its state.")
    BATCH_RECORD_INVALID = (7104, "A stored record of a batch job is invalid and was ignored.")
    BATCH_COMMIT_DELAYED = (7105, "Progress of batch jobs could not be written yet.")
    ROUND_PLANNED = (7106, "A scheduling round decided to start or stop runs.")
    BATCH_JOB_READ = (7107, "The leader read a new batch job.")
    SUBMISSION_PREVENTED = (
        7108,
        "A job that the store does not have was cancelled; a delayed submission cannot create it.",
    )
    ADMISSION_CHANGED = (
        7109,
        "Submissions of an account are refused, or accepted again, for the memory of its jobs.",
    )
    RUN_STARTED = (7201, "A worker confirmed the start of a run.")
    RUN_NOT_STARTED = (7202, "A run did not start; its task is queued again.")
    RUN_UNCERTAIN = (7203, "A start got no response; the run is stopped because it may be running.")
    RUN_ENDED = (7204, "A worker reported the end of a run.")
    RUN_RELEASED = (7205, "A run can no longer exist; its task is queued again.")
    RUN_STOPPED = (7206, "A worker is sent a request to stop a run.")
    RUN_DISPLACED = (7208, "A run is stopped to continue on another worker.")
    RUN_CARRIED_OVER = (
        7209,
        "A worker restarted; the run may have started since then, so a report has to show it.",
    )
    RUN_NOT_STOPPED = (7210, "A worker refused to stop a run; the stop is sent again.")
    ENDS_ACKNOWLEDGED = (
        7212,
        "A worker was told that ends up to a sequence are recorded, and may forget them.",
    )
    END_NOT_APPLIED = (
        7213,
        "A run of a job with an invalid record ended; the end is stored until it can be read.",
    )
    PENDING_END_APPLIED = (
        7214,
        "A success that was reported outside a session of this leadership is applied.",
    )
    RETRY_DELAYED = (7211, "A long-running task that fails repeatedly starts again after a delay.")
    UNKNOWN_RUN_STOPPED = (7207, "A run without a record was stopped.")
    FLEET_CHANGED = (7301, "A worker's entry was added, changed or removed.")
    WORKER_SUSPECTED = (7302, "A worker does not respond and gets no new runs.")
    WORKER_ANSWERS = (7303, "A suspected worker responds again.")
    WORKER_ENTRY_INVALID = (
        7305,
        "A stored entry does not describe a usable worker; logged once for each revision.",
    )
    REPORT_NOT_USED = (
        7306,
        "A worker's report arrived after the end of its session or leadership, or a later one.",
    )
    REPORT_INVALID = (
        7307,
        "A worker's response to a poll cannot be used; it may list ends of runs.",
    )
    HISTORY_LOST = (7304, "The store no longer holds the changes to a prefix; it is listed again.")

    def __init__(self, number: int, meaning: str) -> None:
        self.number = number
        self.meaning = meaning


def log_event(event: LogEvent, **fields: Any) -> None:
    """Write an event with its fields to the eliot log."""
    log_message(f"chivefall:{event.number}:{event.name.lower()}", **fields)
