"""Invariants for callers and workers, checked while the soak test runs."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.model import JobId
from standins.run_history import late_starts, repeated_runs, run_spans

if TYPE_CHECKING:
    from chivefall.model import DomainId, WorkerId
    from chivefall.runtime import Clock
    from standins.run_history import IncarnationHistory, RunSpan

__all__ = ["JobHistory", "Oracle", "Violation"]

# Limits that the platform states.
MAX_CANCEL_DELAY_SECONDS = 3.0  # from a confirmed cancellation to the last start
MAX_EVACUATION_DELAY_SECONDS = 5.0  # from the operators' change to the last start in the domain
MAX_REVOCATION_DELAY_SECONDS = 5.0  # from the operators' change to the last accepted call
MAX_VISIBILITY_DELAY_SECONDS = 3.0  # from the acceptance of a job until all instances find it
# No limit of the platform: delayed orders arrive within this time after a fault has ended.
ORDER_SLACK_SECONDS = 0.5
MIN_COMPLETED_SHARE = 0.25  # of all jobs; stated for the recovery from a power loss
MAX_COMPLETION_DELAY_SECONDS = 1.0  # from a reported completion to the last start


@dataclass(frozen=True)
class Violation:
    """A violated invariant.

    Attributes
    ----------
    at : float
        Seconds since the start of the traffic.
    """

    at: float
    text: str


@dataclass
class JobHistory:
    """History of one job as its caller saw it; times are Unix times in seconds.

    Attributes
    ----------
    refused : bool
        Whether all attempts to submit it were refused; set after the last attempt.
    """

    job: JobId
    path: str
    accepted_at: float | None = None
    cancelled_at: float | None = None
    completed_at: float | None = None
    refused: bool = False
    cancel_sent: bool = False

    @property
    def must_complete(self) -> bool:
        """Return whether the job was accepted and has to complete."""
        return self.accepted_at is not None and not self.cancel_sent


class Oracle:
    """Records events of the soak test and reports violated invariants."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.started_at = clock.now()
        self.job_histories: dict[JobId, JobHistory] = {}
        self.violations: dict[str, Violation] = {}
        self.revoked_at: float | None = None
        self._evacuations: list[tuple[DomainId, float, float]] = []
        self._evacuated_since: dict[DomainId, float] = {}
        self._delayed_orders: list[tuple[WorkerId | None, float, float]] = []
        self._held_since: list[float] = []
        self.responses: dict[str, int] = {}
        self.starts = 0

    def report(self, text: str) -> None:
        """Record a violated invariant once."""
        at = self._clock.now() - self.started_at
        self.violations.setdefault(text, Violation(round(at, 2), text))

    def count(self, response: str) -> None:
        """Count a response to a caller by its kind."""
        self.responses[response] = self.responses.get(response, 0) + 1

    def record_evacuation(self, domain: DomainId) -> None:
        """Record that an evacuation of a failure domain was confirmed to the operators."""
        self._evacuated_since.setdefault(domain, self._clock.now())

    def record_evacuation_end(self, domain: DomainId) -> None:
        """Record that a failure domain is about to return to service."""
        since = self._evacuated_since.pop(domain, None)
        if since is not None:
            self._evacuations.append((domain, since, self._clock.now()))

    def record_delayed_orders(self, worker: WorkerId | None, since: float) -> None:
        """Record that orders to a worker, or to all if None, were delayed in transit until now.

        The limits of the platform do not apply to starts that were delayed in transit.
        """
        self._delayed_orders.append((worker, since, self._clock.now() + ORDER_SLACK_SECONDS))

    def record_held_orders(self) -> float:
        """Record that workers may execute starts late from now on, and return the time."""
        self._held_since.append(self._clock.now())
        return self._held_since[-1]

    def record_held_orders_end(self, since: float) -> None:
        """Record that all starts held since a time have been executed."""
        self._held_since.remove(since)
        self.record_delayed_orders(None, since)

    def _was_delayed(self, span: RunSpan) -> bool:
        if any(since <= span.begin for since in self._held_since):
            return True
        return any(
            worker in (None, span.worker) and since <= span.begin <= until
            for worker, since, until in self._delayed_orders
        )

    def check_revoked_key(self, sent_at: float, instance: str) -> None:
        """Check a successful call with the API key that the faults revoke."""
        if self.revoked_at is not None and sent_at > self.revoked_at + MAX_REVOCATION_DELAY_SECONDS:
            self.report(
                f"{instance} accepted a key {sent_at - self.revoked_at:.1f} s after its revocation"
            )

    def check_unknown_job(self, history: JobHistory, sent_at: float, instance: str) -> None:
        """Check a response that a job is unknown."""
        if history.must_complete and sent_at > history.accepted_at + MAX_VISIBILITY_DELAY_SECONDS:
            self.report(f"{instance} reports the accepted job {history.job} as unknown")

    def check_runs(
        self, histories: list[IncarnationHistory], domain_of: dict[str, DomainId]
    ) -> None:
        """Check all runs of the workers so far."""
        spans = run_spans(histories)
        self.starts = len(spans)
        for text in repeated_runs(spans):
            self.report(text)
        refused = {
            history.job: -math.inf for history in self.job_histories.values() if history.refused
        }
        for text in late_starts(spans, refused):
            self.report(f"{text}, although it was refused")
        limits: dict[JobId, float] = {}
        for history in self.job_histories.values():
            limits[history.job] = min(
                _after(history.cancelled_at, MAX_CANCEL_DELAY_SECONDS),
                _after(history.completed_at, MAX_COMPLETION_DELAY_SECONDS),
            )
        timely = [span for span in spans if not self._was_delayed(span)]
        for text in late_starts(timely, limits):
            self.report(f"{text}, after it was cancelled or completed")
        for span in timely:
            self._check_domain(span, domain_of[span.worker])

    def check_cancelled_runs_ended(self, histories: list[IncarnationHistory]) -> None:
        """Check that no run of a cancelled job is left after all faults were removed."""
        for span in run_spans(histories):
            history = self.job_histories.get(span.run.job)
            if history is not None and history.cancelled_at is not None and span.kind == "running":
                self.report(f"{span.run} still runs although its job was cancelled")

    def _check_domain(self, span: RunSpan, domain: DomainId) -> None:
        ongoing = [(name, since, math.inf) for name, since in self._evacuated_since.items()]
        for name, since, until in (*self._evacuations, *ongoing):
            if name == domain and since + MAX_EVACUATION_DELAY_SECONDS < span.begin < until:
                self.report(f"{span.run} started in {domain}, which is out of service")

    def check_completed_share(self) -> None:
        """Check that enough jobs completed for the test to be meaningful."""
        completed = sum(history.completed_at is not None for history in self.job_histories.values())
        if completed < MIN_COMPLETED_SHARE * len(self.job_histories) or not completed:
            self.report(f"only {completed} of {len(self.job_histories)} jobs completed")

    def unfinished(self) -> list[JobHistory]:
        """Return the accepted jobs that were not yet reported as completed."""
        return [
            history
            for history in self.job_histories.values()
            if history.must_complete and history.completed_at is None
        ]


def _after(at: float | None, seconds: float) -> float:
    return math.inf if at is None else at + seconds
