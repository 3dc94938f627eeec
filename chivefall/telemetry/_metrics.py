"""Metrics of an instance, rendered in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Histogram, Registry, render

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Metrics"]

START_DELAY_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 1.8, 5.0, 30.0, 300.0)


class Metrics:
    """The collectors of one instance and their registry."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._samplers: list[Callable[[], None]] = []
        self.requests = self._counter("requests_total", "Requests of callers by outcome.")
        self.retries = self._counter("retries_total", "Requests sent again to another endpoint.")
        self.store_calls = self._gauge("store_calls", "Calls to the store since the start.")
        self.control_bytes = self._gauge(
            "control_bytes", "Bytes exchanged since the start, by transport and direction."
        )
        self.document_revision = self._gauge("document_revision", "Revision in force.")
        self.leading = self._gauge("leading", "1 if the instance leads its failure domain.")
        self.jobs = self._gauge("jobs", "Jobs of the failure domain by state.")
        self.start_delay = Histogram(
            "chivefall_job_start_delay_seconds",
            "Seconds from submission to the start of all members, by urgency.",
            buckets=START_DELAY_BUCKETS_S,
            registry=self._registry,
        )

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f"chivefall_{name}", doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f"chivefall_{name}", doc, registry=self._registry)

    def sample_with(self, sampler: Callable[[], None]) -> None:
        """Call ``sampler`` before each rendering to set gauges."""
        self._samplers.append(sampler)

    def render(self) -> tuple[bytes, str]:
        """Return all metrics as text and their content type."""
        for sampler in self._samplers:
            sampler()
        content, headers = render(self._registry, [])
        return content, headers["Content-Type"]
