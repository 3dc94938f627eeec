"""Data types of the soak test."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType

__all__ = ["FaultKind", "LinkState", "PlannedFault", "Seed", "SoakSize"]

Seed = NewType("Seed", int)


class LinkState(Enum):
    """How a proxy treats the bytes of its connections.

    NO_REQUESTS blocks the direction from the caller, NO_REPLIES the direction to it,
    and CUT both.
    """

    OPEN = "open"
    DELAYED = "delayed"
    NO_REQUESTS = "no_requests"
    NO_REPLIES = "no_replies"
    CUT = "cut"


class FaultKind(Enum):
    """Kinds of faults that are injected into the testbed.

    KILLED, PAUSED, STOPPED and RELOADED stand for SIGKILL, SIGSTOP, SIGTERM and SIGHUP.
    LINK_SILENCED blackholes the open connections of a link. For the faults of workers
    see :class:`WorkerAction`. ODD_ENTRIES: another writer leaves entries among those of the
    workers, and overwrites one of them. ORDERS_DISTURBED: all workers leave a part of the starts
    unanswered and execute them seconds later, while one refuses a part of its orders.
    RESTARTED_AFTER_REPORT: each worker restarts once between a report that lists an end and its
    acknowledgement, while the store is slow.
    """

    INSTANCE_KILLED = "instance_killed"
    INSTANCE_PAUSED = "instance_paused"
    INSTANCE_STOPPED = "instance_stopped"
    INSTANCE_RELOADED = "instance_reloaded"
    PLATFORM_PAUSED = "platform_paused"
    LINK_DELAYED = "link_delayed"
    LINK_CUT = "link_cut"
    LINK_CUT_ONE_WAY = "link_cut_one_way"
    LINK_RESET = "link_reset"
    LINK_SILENCED = "link_silenced"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_REPLIES_LOST = "store_replies_lost"
    WORKER_RESTARTED = "worker_restarted"
    WORKER_LISTED_ANEW = "worker_listed_anew"
    WORKER_FAILS = "worker_fails"
    WORKER_HANGS = "worker_hangs"
    DOMAIN_EVACUATED = "domain_evacuated"
    KEY_REVOKED = "key_revoked"
    ODD_ENTRIES = "odd_entries"
    ORDERS_DISTURBED = "orders_disturbed"
    RESTARTED_AFTER_REPORT = "restarted_after_report"


@dataclass(frozen=True)
class PlannedFault:
    """A fault of a plan and its time.

    Attributes
    ----------
    at : float
        Start in seconds after the start of the traffic.
    seconds : float
        Duration.
    target : int
        Number of the instance, link, worker or failure domain, taken modulo their count.
    """

    kind: FaultKind
    at: float
    seconds: float
    target: int


@dataclass(frozen=True)
class SoakSize:
    """Size of a soak test.

    Attributes
    ----------
    odd_entries : int
        Number of ODD_ENTRIES faults, in addition to ``faults`` of the other kinds.
    disturbed_orders : int
        Number of ORDERS_DISTURBED faults, likewise.
    restarts : int
        Number of restarts of workers under their ids, likewise.
    reported_restarts : int
        Number of RESTARTED_AFTER_REPORT faults, likewise.
    seconds : float
        Duration of the traffic; faults start during it.
    completion_timeout_seconds : float
        Maximum wait for the accepted jobs after the last fault was removed.
    """

    instances: int = 3
    workers: int = 6
    callers: int = 6
    faults: int = 14
    odd_entries: int = 2
    disturbed_orders: int = 2
    restarts: int = 8
    reported_restarts: int = 4
    seconds: float = 30.0
    completion_timeout_seconds: float = 60.0
