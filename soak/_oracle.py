"""What is promised to callers and workers, checked while the soak runs."""

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

MAX_START_AFTER_CANCEL_SECONDS = (
    3.0  # from the confirmation of a cancel to the last start; platform bound
)
MAX_START_AFTER_EVACUATION_SECONDS = (
    5.0  # from the operators' write to the last start; platform bound
)
MAX_USE_AFTER_REVOCATION_SECONDS = (
    5.0  # from the operators' write to the last answer to a key; platform bound
)
MAX_UNKNOWN_SECONDS = 3.0  # from the acceptance until every instance knows a job; platform bound
DELAYED_ORDER_SLACK_SECONDS = 0.5  # in which orders that were held up arrive after the fault
MIN_COMPLETED_SHARE = 0.25  # of all jobs; the platform asks for as much after a loss of power
MAX_START_AFTER_COMPLETION_SECONDS = (
    1.0  # from a shown completion to the last start; platform bound
)


@dataclass(frozen=True)
class Violation:
    """A broken promise.

    Attributes
    ----------
    at : float
        Seconds since the start of the traffic.
    """

    at: float
    text: str


@dataclass
class JobHistory:
    """One job as its caller saw it; times in seconds since the epoch.

    Attributes
    ----------
    refused : bool
        Whether every attempt to hand it in was refused, which is known after the last one.
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
        """Return whether the job has to be completed."""
        return self.accepted_at is not None and not self.cancel_sent


class Oracle:
    """Collects what was promised and reports what was broken."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.started_at = clock.now()
        self.job_histories: dict[JobId, JobHistory] = {}
        self.violations: dict[str, Violation] = {}
        self.revoked_at: float | None = None
        self._evacuations: list[tuple[DomainId, float, float]] = []
        self._evacuated_since: dict[DomainId, float] = {}
        self._delayed_orders: list[tuple[WorkerId | None, float, float]] = []
        self.answers: dict[str, int] = {}
        self.starts = 0

    def report(self, text: str) -> None:
        """Note a broken promise once."""
        at = self._clock.now() - self.started_at
        self.violations.setdefault(text, Violation(round(at, 2), text))

    def count(self, answer: str) -> None:
        """Count an answer to a caller."""
        self.answers[answer] = self.answers.get(answer, 0) + 1

    def record_evacuation(self, domain: DomainId) -> None:
        """Note that the operators' write was confirmed."""
        self._evacuated_since.setdefault(domain, self._clock.now())

    def record_evacuation_end(self, domain: DomainId) -> None:
        """Note that a domain is about to be taken back."""
        since = self._evacuated_since.pop(domain, None)
        if since is not None:
            self._evacuations.append((domain, since, self._clock.now()))

    def record_delayed_orders(self, worker: WorkerId | None, since: float) -> None:
        """Note that orders to a worker, or to all, were held up on their way until now.

        The platform counts starts that a worker carried out late for none of the bounds.
        """
        self._delayed_orders.append(
            (worker, since, self._clock.now() + DELAYED_ORDER_SLACK_SECONDS)
        )

    def _was_delayed(self, span: RunSpan) -> bool:
        return any(
            worker in (None, span.worker) and since <= span.begin <= until
            for worker, since, until in self._delayed_orders
        )

    def check_key(self, sent_at: float, instance: str) -> None:
        """Check an answer to the revoked key that was no refusal."""
        if (
            self.revoked_at is not None
            and sent_at > self.revoked_at + MAX_USE_AFTER_REVOCATION_SECONDS
        ):
            self.report(f"{instance} served a key {sent_at - self.revoked_at:.1f} s after its end")

    def check_unknown_job(self, history: JobHistory, sent_at: float, instance: str) -> None:
        """Check an answer that says that a job was never accepted."""
        if history.must_complete and sent_at > history.accepted_at + MAX_UNKNOWN_SECONDS:
            self.report(f"{instance} does not know job {history.job}, which was accepted")

    def check_runs(
        self, histories: list[IncarnationHistory], domain_of: dict[str, DomainId]
    ) -> None:
        """Check all that workers ran so far."""
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
                _after(history.cancelled_at, MAX_START_AFTER_CANCEL_SECONDS),
                _after(history.completed_at, MAX_START_AFTER_COMPLETION_SECONDS),
            )
        timely = [span for span in spans if not self._was_delayed(span)]
        for text in late_starts(timely, limits):
            self.report(f"{text}, after it was cancelled or completed")
        for span in timely:
            self._check_domain(span, domain_of[span.worker])

    def check_cancelled_runs_ended(self, histories: list[IncarnationHistory]) -> None:
        """Check that nothing of a cancelled job runs on once all faults are over."""
        for span in run_spans(histories):
            history = self.job_histories.get(span.run.job)
            if history is not None and history.cancelled_at is not None and span.kind == "running":
                self.report(f"{span.run} runs on although its job was cancelled")

    def _check_domain(self, span: RunSpan, domain: DomainId) -> None:
        ongoing = [(name, since, math.inf) for name, since in self._evacuated_since.items()]
        for name, since, until in (*self._evacuations, *ongoing):
            if name == domain and since + MAX_START_AFTER_EVACUATION_SECONDS < span.begin < until:
                self.report(f"{span.run} started in {domain}, which is out of service")

    def check_completed_share(self) -> None:
        """Check that the soak tested anything: a quarter of the jobs has to be served."""
        served = sum(history.completed_at is not None for history in self.job_histories.values())
        if served < MIN_COMPLETED_SHARE * len(self.job_histories) or not served:
            self.report(f"only {served} of {len(self.job_histories)} jobs were served")

    def unfinished(self) -> list[JobHistory]:
        """Return the accepted jobs that nobody has seen completed."""
        return [
            history
            for history in self.job_histories.values()
            if history.must_complete and history.completed_at is None
        ]


def _after(at: float | None, seconds: float) -> float:
    return math.inf if at is None else at + seconds
