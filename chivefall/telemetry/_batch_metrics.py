"""Metrics of an instance that serves batch jobs."""

from __future__ import annotations

from chivefall.telemetry._collectors import CollectorSet

__all__ = ["BatchMetrics"]

CALL_BUCKETS_SECONDS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
START_BUCKETS_SECONDS = (0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.8, 2.7, 5.0, 10.0, 30.0, 120.0)
COMPLETION_BUCKETS_SECONDS = (1.0, 2.5, 5.0, 10.0, 20.0, 40.0, 80.0, 300.0, 3600.0, 14400.0)
ROUND_BUCKETS_SECONDS = (0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1)


class BatchMetrics(CollectorSet):
    """Metric collectors of one instance."""

    def __init__(self) -> None:
        super().__init__("chivefall_batch")
        self.requests = self._counter(
            "requests_total", "Requests of callers, by operation and status."
        )
        self.request_seconds = self._histogram(
            "request_seconds",
            "Seconds from a request to its response, by operation.",
            CALL_BUCKETS_SECONDS,
        )
        self.store_seconds = self._histogram(
            "store_call_seconds",
            "Duration of calls to the store in seconds, by call.",
            CALL_BUCKETS_SECONDS,
        )
        self.worker_seconds = self._histogram(
            "worker_call_seconds",
            "Duration of calls to workers in seconds, by call.",
            CALL_BUCKETS_SECONDS,
        )
        self.start_seconds = self._histogram(
            "job_start_seconds",
            "Seconds from a job's submission to its first recorded start, by priority.",
            START_BUCKETS_SECONDS,
        )
        self.completion_seconds = self._histogram(
            "job_end_seconds",
            "Seconds from a job's submission to its final state, by priority and state.",
            COMPLETION_BUCKETS_SECONDS,
        )
        self.round_seconds = self._histogram(
            "round_seconds",
            "Computing time of a scheduling round in seconds.",
            ROUND_BUCKETS_SECONDS,
        )
        self.run_ends = self._counter(
            "run_ends_total", "Ended runs that workers reported, by kind."
        )
        self.unapplied_ends = self._counter(
            "unapplied_ends_total",
            "Ends of runs that were stored beside an invalid record of their job, by kind.",
        )
        self.stops = self._counter("stops_total", "Stops of runs that were decided, by reason.")
        self.invalid_entries = self._counter(
            "invalid_entries_total", "Revisions of stored keys that could not be decoded, by kind."
        )
        self.displacements = self._counter(
            "displacements_total", "Runs stopped to continue on another worker, by reason."
        )
        self.catalog_age = self._gauge(
            "catalog_age_seconds", "Seconds since the store last confirmed the desired state."
        )
        self.catalog_version = self._gauge("catalog_version", "Version of the desired state.")
        self.leading = self._gauge("leading", "1 if the instance leads the region.")
        self.jobs = self._gauge("jobs", "Jobs by state; set on the leader.")
        self.workers = self._gauge("workers", "Workers by condition; set on the leader.")
        self.free = self._gauge("free", "Free capacity by resource; set on the leader.")
