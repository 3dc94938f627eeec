"""Base class of metric sets that are rendered in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Histogram, Registry, render

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ["CollectorSet"]


class CollectorSet:
    """Metric collectors that share a registry and a name prefix.

    Parameters
    ----------
    prefix : str
        Prefix of every metric name, without the underscore.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._registry = Registry()
        self._samplers: list[Callable[[], None]] = []

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f"{self._prefix}_{name}", doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f"{self._prefix}_{name}", doc, registry=self._registry)

    def _histogram(self, name: str, doc: str, buckets: Sequence[float]) -> Histogram:
        return Histogram(
            f"{self._prefix}_{name}", doc, buckets=list(buckets), registry=self._registry
        )

    def add_sampler(self, sampler: Callable[[], None]) -> None:
        """Register a callback that updates gauges before each rendering."""
        self._samplers.append(sampler)

    def render(self) -> tuple[bytes, str]:
        """Return all metrics in the text format, and its content type."""
        for sampler in self._samplers:
            sampler()
        content, headers = render(self._registry, [])
        return content, headers["Content-Type"]
