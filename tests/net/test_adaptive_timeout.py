"""The time limit that follows the answers."""

from __future__ import annotations

import unittest

from chivefall.net import AdaptiveTimeout


class AdaptiveTimeoutTest(unittest.TestCase):
    def test_lost_answer_is_noticed_early(self) -> None:
        """Guards against a wait of the longest limit for each lost reply."""
        timeout = AdaptiveTimeout(0.35, 1.0)
        for _ in range(50):
            timeout.record_response(0.004)
        self.assertEqual(timeout.limit(), 0.35)

    def test_server_that_became_slow_is_still_heard(self) -> None:
        """Guards against a limit below the answers, under which none would ever count."""
        timeout = AdaptiveTimeout(0.35, 1.0)
        timeout.record_response(0.004)
        for _ in range(3):
            timeout.record_timeout()
        self.assertEqual(timeout.limit(), 1.0)
        for _ in range(20):
            timeout.record_response(0.6)
        self.assertEqual(timeout.limit(), 1.0)
        for _ in range(100):
            timeout.record_response(0.004)
        self.assertLess(timeout.limit(), 0.5)


if __name__ == "__main__":
    unittest.main()
