"""Short soak tests of the real programs with fixed seeds."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import json5

from soak._application import Soak
from soak._model import Seed, SoakSize

REGRESSIONS = Path(__file__).resolve().parents[2] / "soak" / "regressions.json5"


class SoakTest(unittest.TestCase):
    def assert_no_violations(self, seed: Seed, size: SoakSize) -> None:
        with tempfile.TemporaryDirectory() as directory:
            soak = Soak(seed, size, Path(directory))
            soak.run()
        self.assertEqual([item.text for item in soak.oracle.violations.values()], [])

    def test_short_soak(self) -> None:
        """Guards against violated invariants under a plan of overlapping faults."""
        self.assert_no_violations(Seed(1), SoakSize(seconds=12.0, faults=8))

    def test_seeds_that_failed_once(self) -> None:
        """Guards against regressions of the defects that the soak test found."""
        for case in json5.loads(REGRESSIONS.read_text(encoding="utf-8")):
            with self.subTest(case["cause"]):
                self.assert_no_violations(Seed(case["seed"]), SoakSize())


if __name__ == "__main__":
    unittest.main()
