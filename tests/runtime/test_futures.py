"""Tests of futures, coroutines and timers."""

from __future__ import annotations

import unittest

from chivefall.runtime import Future, ManualClock, gather, sleep, spawn, wait_for


class SpawnTest(unittest.TestCase):
    def test_continues_when_the_future_is_done(self) -> None:
        """Guards against a coroutine that is never resumed."""
        inner: Future[int] = Future()

        async def add_one() -> int:
            return await inner + 1

        fut = spawn(add_one())
        self.assertFalse(fut.done())
        inner.set_result(1)
        self.assertEqual(fut.result(), 2)

    def test_error_reaches_callback_and_future(self) -> None:
        """Guards against errors that are lost silently."""
        seen = []

        async def fail() -> None:
            raise ValueError("broken")

        fut = spawn(fail(), on_error=seen.append)
        self.assertIsInstance(seen[0], ValueError)
        with self.assertRaises(ValueError):
            fut.result()

    def test_gather_keeps_order(self) -> None:
        """Guards against results that are assigned to the wrong future."""
        futs = [Future(), Future()]
        combined = gather(futs)
        futs[1].set_result("second")
        futs[0].set_result("first")
        self.assertEqual(combined.result(), ["first", "second"])


class TimerTest(unittest.TestCase):
    def test_sleep_ends_on_time(self) -> None:
        """Guards against timers that fire early or out of order."""
        clock = ManualClock()
        order = []
        sleep(clock, 2).add_done_callback(lambda _: order.append("late"))
        sleep(clock, 1).add_done_callback(lambda _: order.append("early"))
        clock.advance(0.9)
        self.assertEqual(order, [])
        clock.advance(1.1)
        self.assertEqual(order, ["early", "late"])

    def test_result_after_timeout_is_ignored(self) -> None:
        """Guards against a late result that replaces the timeout."""
        clock = ManualClock()
        fut: Future[str] = Future()
        limited = wait_for(clock, fut, 1, "timeout")
        clock.advance(1)
        fut.set_result("late")
        self.assertEqual(limited.result(), "timeout")
