"""Queue of requests that wait for a free endpoint, ordered by deadline."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from chivefall.model import EndpointId
from chivefall.routing import Endpoint
from chivefall.runtime import Clock, Future, TimerHandle

if TYPE_CHECKING:
    from collections.abc import Callable


__all__ = ["WaitQueue", "Waiter"]

MAX_WAITING_REQUESTS = 64  # of one service at one instance


@dataclass
class Waiter:
    """A request in the queue; its future gets an endpoint, or None at the deadline."""

    deadline: float
    tried: set[EndpointId]
    fut: Future[Endpoint | None] = field(default_factory=Future)
    timer: TimerHandle | None = None


class WaitQueue:
    """A short queue; under overload a longer one would only add delay."""

    def __init__(self, clock: Clock, limit: int = MAX_WAITING_REQUESTS) -> None:
        self._clock = clock
        self._limit = limit
        self._heap: list[tuple[float, int, Waiter]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, waiter: Waiter) -> Future[Endpoint | None] | None:
        """Add a request; return the future of its endpoint, or None if the queue is full."""
        if len(self._heap) >= self._limit:
            return None
        heapq.heappush(self._heap, (waiter.deadline, next(self._numbers), waiter))
        delay = waiter.deadline - self._clock.now()
        waiter.timer = self._clock.call_later(delay, lambda: self._expire(waiter))
        return waiter.fut

    def dispatch(self, reserve: Callable[[Waiter], Endpoint | None]) -> None:
        """Assign endpoints to requests in order; a request without a free one stays queued."""
        assigned = []
        for item in sorted(self._heap):
            endpoint = reserve(item[2])
            if endpoint is not None:
                assigned.append((item[2], endpoint))
                self._heap.remove(item)
        heapq.heapify(self._heap)
        for waiter, endpoint in assigned:
            waiter.timer.cancel()
            waiter.fut.set_result(endpoint)

    def clear(self) -> None:
        """Remove all requests and resolve their futures with None."""
        items, self._heap = self._heap, []
        for _, _, waiter in items:
            waiter.timer.cancel()
            waiter.fut.set_result(None)

    def _expire(self, waiter: Waiter) -> None:
        self._heap = [item for item in self._heap if item[2] is not waiter]
        heapq.heapify(self._heap)
        waiter.fut.set_result(None)
