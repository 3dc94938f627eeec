"""Tests of the adaptive timeout."""

from __future__ import annotations

import unittest

from chivefall.net import AdaptiveTimeout


class AdaptiveTimeoutTest(unittest.TestCase):
    def test_lost_response_is_detected_early(self) -> None:
        """Guards against waiting for the maximum timeout for each lost response."""
        timeout = AdaptiveTimeout(0.35, 1.0)
        for _ in range(50):
            timeout.record_response(0.004)
        self.assertEqual(timeout.next_timeout(), 0.35)

    def test_calls_to_a_slow_server_do_not_all_time_out(self) -> None:
        """Guards against a timeout that stays below the response times of a slow server."""
        timeout = AdaptiveTimeout(0.35, 1.0)
        timeout.record_response(0.004)
        for _ in range(3):
            timeout.record_timeout()
        self.assertEqual(timeout.next_timeout(), 1.0)
        for _ in range(20):
            timeout.record_response(0.6)
        self.assertEqual(timeout.next_timeout(), 1.0)
        for _ in range(100):
            timeout.record_response(0.004)
        self.assertLess(timeout.next_timeout(), 0.5)


if __name__ == "__main__":
    unittest.main()
