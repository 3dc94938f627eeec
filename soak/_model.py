"""Names and values of a soak."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType

__all__ = ["FaultKind", "LinkState", "PlannedFault", "Seed", "SoakSize"]

Seed = NewType("Seed", int)


class LinkState(Enum):
    """What a proxy does with the bytes of its connections."""

    OPEN = "open"
    DELAYED = "delayed"
    NO_REQUESTS = "no_requests"
    NO_REPLIES = "no_replies"
    CUT = "cut"


class FaultKind(Enum):
    """What is done to the deployment from outside."""

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


@dataclass(frozen=True)
class PlannedFault:
    """A fault of a plan.

    Attributes
    ----------
    at : float
        Seconds from the start of the traffic.
    seconds : float
        How long it lasts.
    target : int
        Number of the instance, link, worker or domain, counted modulo how many there are.
    """

    kind: FaultKind
    at: float
    seconds: float
    target: int


@dataclass(frozen=True)
class SoakSize:
    """How large a soak is.

    Attributes
    ----------
    seconds : float
        Length of the traffic and of the faults.
    completion_timeout_seconds : float
        Longest wait for the jobs after the last fault was mended.
    """

    instances: int = 3
    workers: int = 6
    callers: int = 6
    faults: int = 14
    seconds: float = 30.0
    completion_timeout_seconds: float = 60.0
