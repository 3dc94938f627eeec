"""Common base of the sets of metrics, rendered in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Histogram, Registry, render

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ["CollectorSet"]


class CollectorSet:
    """Collectors with a common prefix and their registry.

    Parameters
    ----------
    prefix : str
        Begins the name of every collector.
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
        """Call ``sampler`` before each rendering to set gauges."""
        self._samplers.append(sampler)

    def render(self) -> tuple[bytes, str]:
        """Return all metrics as text and their content type."""
        for sampler in self._samplers:
            sampler()
        content, headers = render(self._registry, [])
        return content, headers["Content-Type"]
