"""Short seeded soaks of the real programs."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import json5

from soak._application import Soak
from soak._model import Seed, SoakSize

REGRESSIONS = Path(__file__).resolve().parents[2] / "soak" / "regressions.json5"


class SoakTest(unittest.TestCase):
    def assert_kept(self, seed: Seed, size: SoakSize) -> None:
        with tempfile.TemporaryDirectory() as directory:
            soak = Soak(seed, size, Path(directory))
            soak.run()
        self.assertEqual([item.text for item in soak.oracle.violations.values()], [])

    def test_short_soak(self) -> None:
        """Guards the promises to callers and workers under a plan of overlapping faults."""
        self.assert_kept(Seed(1), SoakSize(seconds=12.0, faults=8))

    def test_seeds_that_failed_once(self) -> None:
        """Guards against the return of the faults that the soak found."""
        for case in json5.loads(REGRESSIONS.read_text(encoding="utf-8")):
            with self.subTest(case["cause"]):
                self.assert_kept(Seed(case["seed"]), SoakSize())


if __name__ == "__main__":
    unittest.main()
