"""Metrics of an instance that serves batch jobs."""

from __future__ import annotations

from chivefall.telemetry._collectors import CollectorSet

__all__ = ["BatchMetrics"]

CALL_BUCKETS_S = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
START_BUCKETS_S = (0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.8, 2.7, 5.0, 10.0, 30.0, 120.0)
COMPLETION_BUCKETS_S = (1.0, 2.5, 5.0, 10.0, 20.0, 40.0, 80.0, 300.0, 3600.0, 14400.0)
ROUND_BUCKETS_S = (0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1)


class BatchMetrics(CollectorSet):
    """The collectors of one instance."""

    def __init__(self) -> None:
        super().__init__("chivefall_batch")
        self.requests = self._counter(
            "requests_total", "Requests of callers by operation and status."
        )
        self.request_seconds = self._histogram(
            "request_seconds", "Seconds from a request to its answer, by operation.", CALL_BUCKETS_S
        )
        self.store_seconds = self._histogram(
            "store_call_seconds", "Seconds of calls to the store, by call.", CALL_BUCKETS_S
        )
        self.worker_seconds = self._histogram(
            "worker_call_seconds", "Seconds of calls to workers, by call.", CALL_BUCKETS_S
        )
        self.start_seconds = self._histogram(
            "job_start_seconds",
            "Seconds from a job's submission to its first recorded start, by priority.",
            START_BUCKETS_S,
        )
        self.completion_seconds = self._histogram(
            "job_end_seconds",
            "Seconds from a job's submission to its final state, by priority and state.",
            COMPLETION_BUCKETS_S,
        )
        self.round_seconds = self._histogram(
            "round_seconds", "Seconds that the decisions of a round took.", ROUND_BUCKETS_S
        )
        self.run_ends = self._counter(
            "run_ends_total", "Ends of runs that workers listed, by kind."
        )
        self.displacements = self._counter(
            "displacements_total", "Runs stopped to start elsewhere, by reason."
        )
        self.catalog_age = self._gauge(
            "catalog_age_seconds", "Seconds since the desired state was confirmed."
        )
        self.catalog_version = self._gauge("catalog_version", "Version of the desired state.")
        self.leading = self._gauge("leading", "1 if the instance leads the region.")
        self.jobs = self._gauge("jobs", "Jobs by state, on the leader.")
        self.workers = self._gauge("workers", "Workers by condition, on the leader.")
        self.free = self._gauge("free", "Room that no run holds, by resource, on the leader.")
