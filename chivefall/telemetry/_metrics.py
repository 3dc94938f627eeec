"""Metrics of an instance, rendered in the Prometheus text format."""

from __future__ import annotations

from chivefall.telemetry._collectors import CollectorSet

__all__ = ["Metrics"]

START_DELAY_BUCKETS_SECONDS = (0.05, 0.1, 0.25, 0.5, 1.0, 1.8, 5.0, 30.0, 300.0)


class Metrics(CollectorSet):
    """Metric collectors of one instance."""

    def __init__(self) -> None:
        super().__init__("chivefall")
        self.requests = self._counter("requests_total", "Requests of callers, by outcome and kind.")
        self.retries = self._counter(
            "retries_total", "Requests that were retried on another endpoint."
        )
        self.store_calls = self._gauge(
            "store_calls", "Calls to the store since the process started."
        )
        self.control_bytes = self._gauge(
            "control_bytes",
            "Bytes exchanged since the process started, by transport and direction.",
        )
        self.document_revision = self._gauge(
            "document_revision", "Revision of the document in effect."
        )
        self.leading = self._gauge("leading", "1 if the instance leads its failure domain.")
        self.jobs = self._gauge("jobs", "Jobs of the failure domain by state.")
        self.start_delay = self._histogram(
            "job_start_delay_seconds",
            "Seconds from submission to the start of all members, by urgency.",
            START_DELAY_BUCKETS_SECONDS,
        )
