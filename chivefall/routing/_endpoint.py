"""Load and health of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass

from chivefall.model import DomainId, EndpointId, ServiceId

__all__ = ["Endpoint"]

NEVER = float("-inf")  # a time that is always in the past
EJECTION_THRESHOLD = 3  # consecutive failures
INITIAL_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
LEAVING_EXPIRY_SECONDS = 60.0  # limited, as a restarted endpoint may have the same name


@dataclass
class Endpoint:
    """Load and health of one endpoint, as observed by this instance.

    Attributes
    ----------
    address : str
        Host and port of the endpoint.
    slots : int
        Number of requests that the endpoint processes at the same time.
    listed_leaving : bool
        Whether the platform lists the endpoint as leaving.
    outstanding : int
        Requests of this instance without a response so far.
    consecutive_failures : int
        Failed attempts since the last success.
    ejections : int
        Ejections since the last success, up to 16.
    recovering : bool
        Whether the endpoint requested a pause and has not succeeded since.
    paused_until, ejected_until, leaving_until : float
        Seconds since the Unix epoch.
    """

    endpoint: EndpointId
    service: ServiceId
    failure_domain: DomainId
    address: str
    slots: int = 8
    listed_leaving: bool = False
    outstanding: int = 0
    consecutive_failures: int = 0
    ejections: int = 0
    recovering: bool = False
    paused_until: float = NEVER
    ejected_until: float = NEVER
    leaving_until: float = NEVER

    def is_leaving(self, now: float) -> bool:
        """Return whether the endpoint is leaving according to the platform or to itself."""
        return self.listed_leaving or now < self.leaving_until

    def can_serve(self, now: float) -> bool:
        """Return whether the endpoint is neither leaving nor ejected."""
        return not self.is_leaving(now) and now >= self.ejected_until

    def is_available(self, now: float, limit: int) -> bool:
        """Return whether a request may be sent now if at most ``limit`` may be outstanding."""
        if not self.can_serve(now) or now < self.paused_until:
            return False
        # After an ejection or a pause, a single request probes the endpoint. Otherwise the
        # whole queue would be sent to it at the end of each pause.
        probing = self.recovering or self.consecutive_failures >= EJECTION_THRESHOLD
        return self.outstanding < (1 if probing else limit)

    def record_success(self) -> None:
        """Record a successful attempt."""
        self.recovering = False
        self.consecutive_failures = 0
        self.ejections = 0

    def record_failure(self, now: float, may_eject: bool = True) -> None:
        """Record a failed attempt; eject the endpoint after several consecutive ones.

        Parameters
        ----------
        may_eject : bool
            Whether the endpoint may be ejected; if not, the failure counts only up to
            one below the threshold.
        """
        self.consecutive_failures += 1
        if not may_eject:
            self.consecutive_failures = min(self.consecutive_failures, EJECTION_THRESHOLD - 1)
        if self.consecutive_failures >= EJECTION_THRESHOLD:
            period = min(MAX_EJECTION_SECONDS, INITIAL_EJECTION_SECONDS * 2**self.ejections)
            self.ejections = min(self.ejections + 1, 16)
            self.ejected_until = max(self.ejected_until, now + period)

    def record_pause(self, now: float, retry_after: float) -> None:
        """Record a requested pause of ``retry_after`` seconds; never shortens a pause."""
        self.recovering = True
        self.paused_until = max(self.paused_until, now + retry_after)

    def record_leaving(self, now: float) -> None:
        """Record that the endpoint has announced that it is leaving."""
        self.leaving_until = now + LEAVING_EXPIRY_SECONDS
