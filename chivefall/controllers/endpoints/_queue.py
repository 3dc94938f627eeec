"""Requests that wait for a free endpoint, in the order of their deadlines."""

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

MAX_WAITING = 64  # requests of one service at one instance


@dataclass
class Waiter:
    """A waiting request."""

    deadline: float
    tried: set[EndpointId]
    fut: Future[Endpoint | None] = field(default_factory=Future)
    timer: TimerHandle | None = None


class WaitQueue:
    """A short queue; a longer one would only add delay to an overload."""

    def __init__(self, clock: Clock, limit: int = MAX_WAITING) -> None:
        self._clock = clock
        self._limit = limit
        self._heap: list[tuple[float, int, Waiter]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, waiter: Waiter) -> Future[Endpoint | None] | None:
        """Return a future of an endpoint, or None if the queue is full."""
        if len(self._heap) >= self._limit:
            return None
        heapq.heappush(self._heap, (waiter.deadline, next(self._numbers), waiter))
        delay = waiter.deadline - self._clock.now()
        waiter.timer = self._clock.call_later(delay, lambda: self._expire(waiter))
        return waiter.fut

    def serve(self, take: Callable[[Waiter], Endpoint | None]) -> None:
        """Give endpoints to waiters in order; one that finds none keeps its place."""
        taken = []
        for item in sorted(self._heap):
            endpoint = take(item[2])
            if endpoint is not None:
                taken.append((item[2], endpoint))
                self._heap.remove(item)
        heapq.heapify(self._heap)
        for waiter, endpoint in taken:
            waiter.timer.cancel()
            waiter.fut.set_result(endpoint)

    def clear(self) -> None:
        """Give every waiter None."""
        items, self._heap = self._heap, []
        for _, _, waiter in items:
            waiter.timer.cancel()
            waiter.fut.set_result(None)

    def _expire(self, waiter: Waiter) -> None:
        self._heap = [item for item in self._heap if item[2] is not waiter]
        heapq.heapify(self._heap)
        waiter.fut.set_result(None)
