"""The numbered log events."""

from __future__ import annotations

from enum import Enum
from typing import Any

from eliot import log_message

__all__ = ["LogEvent", "log_event"]


class LogEvent(Enum):
    """Number, name and meaning of each log event.

    1xxx process, 2xxx document, 3xxx membership and leadership, 4xxx workers,
    5xxx jobs, 6xxx requests, 7xxx batch jobs (70 catalog, 71 jobs, 72 runs, 73 fleet).
    """

    PROCESS_STARTED = (1001, "The instance is listening.")
    PROCESS_STOPPING = (1002, "The instance received a signal and is draining.")
    PROCESS_STOPPED = (1003, "The instance has ended in order.")
    UNHANDLED_ERROR = (1004, "A handler raised an error that nothing else handles.")
    SETTINGS_RELOADED = (1005, "Changed settings are in force.")
    SETTINGS_REJECTED = (1006, "Changed settings are invalid; the old ones stay in force.")
    LOG_SUPPRESSED = (1007, "Lines of one event were left out since they were too many.")
    LOG_DROPPED = (1008, "Lines were dropped since nobody read the log.")
    DOCUMENT_ADOPTED = (2001, "The instance adopted a higher revision of the document.")
    DOCUMENT_CHANGED = (2002, "A change to the document was accepted.")
    DOCUMENT_CONFLICT = (2003, "A change was refused because another one was first.")
    DOCUMENT_INVALID = (2004, "A stored revision of the document cannot be used.")
    START_PERMISSION = (2005, "The evidence on which tasks may start has changed.")
    AUDIT_DELAYED = (2006, "An audit record could not be written yet.")
    PEER_MESSAGE_DROPPED = (3001, "A message of a peer matches no open request.")
    LEADERSHIP_GAINED = (3002, "The instance leads its failure domain.")
    LEADERSHIP_LOST = (3003, "The instance no longer leads its failure domain.")
    STORE_UNREACHABLE = (3004, "A call to the store was not answered.")
    STORE_REACHABLE = (3005, "The store answers again.")
    LEADERSHIP_LAPSED = (3011, "The leader lease may have expired; the leader keeps its work.")
    WORKER_JOINED = (4001, "A worker entered the platform's list.")
    WORKER_LOST = (4002, "A worker no longer answers.")
    WORKER_RECOVERED = (4003, "A lost worker answers again.")
    WORKER_QUARANTINED = (4004, "A worker failed several jobs and gets no more.")
    WORKER_FORGOTTEN = (4005, "A worker left the platform's list and its lease ended.")
    JOB_ACCEPTED = (5001, "A job was recorded.")
    JOB_STARTED = (5002, "All members of a job's gang run.")
    JOB_START_FAILED = (5003, "A gang could not start and was released.")
    JOB_FINISHED = (5004, "A job reached a final state.")
    JOB_INTERRUPTED = (5005, "A running gang was stopped as a whole.")
    JOB_ADOPTED = (5006, "A new leader adopted a running gang.")
    JOB_CANCEL_REQUESTED = (5007, "A caller cancelled a job.")
    JOB_TRANSFERRED = (5008, "The leader of another failure domain took a job over.")
    RECORDS_LOADED = (5009, "A new leader has read the job records.")
    UNKNOWN_TASK_STOPPED = (5010, "A task that no job record names was stopped.")
    REQUEST_ANSWERED = (6001, "A request of a caller was answered.")
    ENDPOINT_LEAVING = (6002, "An endpoint says that it is leaving.")
    ENDPOINT_EJECTED = (6003, "An endpoint failed several times and gets no requests for a while.")
    CLAIM_UNSETTLED = (6011, "An idempotency claim cannot be completed or released.")

    CATALOG_ADOPTED = (7001, "A version of the operators' desired state is in force.")
    CATALOG_INVALID = (7002, "A stored version of the desired state cannot be used.")
    DOMAINS_OUT = (7003, "The set of failure domains out of service changed.")
    BATCH_ANSWERED = (7101, "A request about batch jobs was answered.")
    BATCH_LOADED = (7102, "A new leader has read all batch jobs.")
    BATCH_JOB_STATE = (7103, "A batch job changed its state.")
    BATCH_RECORD_INVALID = (7104, "A stored record of a batch job cannot be used.")
    BATCH_COMMIT_DELAYED = (7105, "Progress of batch jobs could not be written yet.")
    ROUND_PLANNED = (7106, "A scheduling round decided on starts or stops.")
    BATCH_JOB_READ = (7107, "The leader read a new batch job.")
    RUN_STARTED = (7201, "A worker confirmed the start of a run.")
    RUN_NOT_STARTED = (7202, "A run did not start; its task waits again.")
    RUN_UNCERTAIN = (7203, "A start was not answered; the run is stopped to be certain.")
    RUN_ENDED = (7204, "A worker listed the end of a run.")
    RUN_RELEASED = (7205, "A run cannot exist any more; its task waits again.")
    RUN_STOPPED = (7206, "A run is told to stop.")
    RUN_DISPLACED = (7208, "A run is stopped because it does better on another worker.")
    UNKNOWN_RUN_STOPPED = (7207, "A run that no record names was stopped.")
    FLEET_CHANGED = (7301, "A worker's entry appeared, changed or was removed.")
    WORKER_SUSPECTED = (7302, "A worker does not answer and gets no new runs.")
    WORKER_ANSWERS = (7303, "A suspected worker answers again.")
    HISTORY_LOST = (7304, "The store forgot its history; a prefix is listed again.")

    def __init__(self, number: int, meaning: str) -> None:
        self.number = number
        self.meaning = meaning


def log_event(event: LogEvent, **fields: Any) -> None:
    """Write a numbered event with its fields to the eliot log."""
    log_message(f"chivefall:{event.number}:{event.name.lower()}", **fields)
