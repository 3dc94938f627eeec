"""Fault plans of the soak test."""

from __future__ import annotations

import itertools
import unittest

from soak._faults import FAULTS, make_plan
from soak._model import FaultKind, Seed, SoakSize


class PlanTest(unittest.TestCase):
    def test_seed_decides_the_plan(self) -> None:
        """Guards against a failed seed whose plan cannot be reproduced."""
        size = SoakSize()
        self.assertEqual(make_plan(Seed(7), size), make_plan(Seed(7), size))
        self.assertNotEqual(make_plan(Seed(7), size), make_plan(Seed(8), size))

    def test_every_kind_is_implemented_and_drawn(self) -> None:
        """Guards against a kind of fault that is declared but never injected."""
        self.assertEqual(set(FAULTS), set(FaultKind))
        drawn = {item.kind for seed in range(30) for item in make_plan(Seed(seed), SoakSize())}
        self.assertEqual(drawn, set(FaultKind))

    def test_faults_overlap(self) -> None:
        """Guards against plans without overlapping faults."""
        plan = make_plan(Seed(7), SoakSize())
        pairs = itertools.pairwise(plan)
        self.assertTrue(any(one.at + one.seconds > other.at for one, other in pairs))


if __name__ == "__main__":
    unittest.main()
