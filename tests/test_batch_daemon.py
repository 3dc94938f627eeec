"""Descriptors of the batch daemon."""

from __future__ import annotations

import unittest

from chivefall.batch_daemon import PROBE_CONNECTIONS, RESERVED_DESCRIPTORS, DescriptorBudget
from chivefall.errors import ConfigError


class DescriptorBudgetTest(unittest.TestCase):
    def test_all_uses_together_stay_within_the_limit(self) -> None:
        """Guards against callers or the store that get no connection beside a large fleet."""
        for descriptors in (700, 1024, 4100, 8192):
            budget = DescriptorBudget.of(descriptors)
            used = budget.callers + budget.store.total + budget.workers.total
            self.assertLessEqual(used + 2 * PROBE_CONNECTIONS + RESERVED_DESCRIPTORS, descriptors)
            self.assertGreaterEqual(budget.callers, 150)

    def test_the_fleet_of_the_target_fits(self) -> None:
        """Guards against a leader that cannot poll all of 920 workers and send orders."""
        budget = DescriptorBudget.of(4100)
        self.assertGreaterEqual(budget.workers.total, 920 * budget.workers.per_server)

    def test_too_few_descriptors(self) -> None:
        """Guards against a process that starts and cannot reach its workers."""
        with self.assertRaises(ConfigError):
            DescriptorBudget.of(300)


if __name__ == "__main__":
    unittest.main()
