"""What an instance knows of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass

from chivefall.model import DomainId, EndpointId, ServiceId

__all__ = ["Endpoint"]

NEVER = float("-inf")
EJECT_AFTER = 3  # consecutive failures
FIRST_EJECTION = 1.0  # seconds
MAX_EJECTION = 30.0  # seconds
LEAVING_EXPIRY = 60.0  # seconds; a restarted endpoint may have the same name


@dataclass
class Endpoint:
    """Load and health of one endpoint as this instance sees it.

    Attributes
    ----------
    outstanding : int
        Requests of this instance that the endpoint has not answered.
    failures : int
        Consecutive attempts without a usable answer.
    recovering : bool
        Whether the endpoint asked for a pause and has not answered since.
    paused_until, ejected_until, leaving_until : float
        Seconds since the epoch.
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
        """Return whether the list or the endpoint itself says that it leaves."""
        return self.listed_leaving or now < self.leaving_until

    def can_serve(self, now: float) -> bool:
        """Return whether the endpoint is neither leaving nor ejected."""
        return not self.is_leaving(now) and now >= self.ejected_until

    def is_available(self, now: float, limit: int) -> bool:
        """Return whether a request may be sent now with ``limit`` requests outstanding."""
        if not self.can_serve(now) or now < self.paused_until:
            return False
        # After an ejection or a pause a single request probes the endpoint; without this the
        # whole queue would meet it at the end of each pause.
        probing = self.recovering or self.consecutive_failures >= EJECT_AFTER
        return self.outstanding < (1 if probing else limit)

    def record_success(self) -> None:
        """Record an answer."""
        self.recovering = False
        self.consecutive_failures = 0
        self.ejections = 0

    def record_failure(self, now: float, may_eject: bool = True) -> None:
        """Record a failure and eject the endpoint after several in a row."""
        self.consecutive_failures += 1
        if not may_eject:
            self.consecutive_failures = min(self.consecutive_failures, EJECT_AFTER - 1)
        if self.consecutive_failures >= EJECT_AFTER:
            period = min(MAX_EJECTION, FIRST_EJECTION * 2**self.ejections)
            self.ejections = min(self.ejections + 1, 16)
            self.ejected_until = max(self.ejected_until, now + period)

    def record_pause(self, now: float, retry_after: float) -> None:
        """Send nothing for the time that the endpoint asked for; never shortens a pause."""
        self.recovering = True
        self.paused_until = max(self.paused_until, now + retry_after)

    def record_leaving(self, now: float) -> None:
        """Record that the endpoint itself says that it leaves."""
        self.leaving_until = now + LEAVING_EXPIRY
