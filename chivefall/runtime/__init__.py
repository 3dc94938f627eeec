"""Clocks, timers, futures and coroutines on a single-threaded event loop."""

from __future__ import annotations

from chivefall.runtime._clock import Clock, LoopClock, ManualClock, TimerHandle
from chivefall.runtime._components import AbstractComponent
from chivefall.runtime._futures import Future, gather, sleep, spawn, wait_for

__all__ = [
    "AbstractComponent",
    "Clock",
    "Future",
    "LoopClock",
    "ManualClock",
    "TimerHandle",
    "gather",
    "sleep",
    "spawn",
    "wait_for",
]
