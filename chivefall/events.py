"""Events exchanged between controllers over the circuits loop."""

from __future__ import annotations

from circuits import Event

__all__ = [
    "document_adopted",
    "heartbeat_received",
    "instances_listed",
    "job_rejected",
    "job_started",
    "leadership_gained",
    "leadership_lost",
    "task_reported",
    "worker_lost",
    "workers_changed",
]


class document_adopted(Event):  # noqa: N801 - circuits derives handler names from it
    """A higher revision of the document took effect; argument: Document."""


class instances_listed(Event):  # noqa: N801
    """The platform's instance list was read; argument: tuple of Instance."""


class job_rejected(Event):  # noqa: N801
    """A job can never fit in the failure domain; arguments: JobId, reason."""


class job_started(Event):  # noqa: N801
    """All members of a gang are running; argument: JobRecord."""


class leadership_gained(Event):  # noqa: N801
    """The instance became leader of its failure domain; argument: Epoch."""


class leadership_lost(Event):  # noqa: N801
    """The instance no longer leads its failure domain; argument: reason."""


class heartbeat_received(Event):  # noqa: N801
    """A heartbeat from a peer was received; argument: PeerState."""


class task_reported(Event):  # noqa: N801
    """A worker reported a task; arguments: WorkerId, TaskReport."""


class worker_lost(Event):  # noqa: N801
    """A worker stopped responding; argument: WorkerId."""


class workers_changed(Event):  # noqa: N801
    """Free capacity or worker states changed, so a scheduling round is due."""
