"""Runs that are released although they exist, and acknowledgements that are never sent."""

from __future__ import annotations

import unittest

from chivefall.batch import (
    Resources,
    StepSpec,
)
from tests.batch.deployment import Deployment

RESOURCES = Resources(4_000, 16_000, 1)
WHOLE_WORKER = Resources(32_000, 131_072, 8)
RUN_SECONDS = 8.0
SETTLE_SECONDS = 20.0
POLLS_UNTIL_OVERFLOW = 1100  # 2 to this power exceeds the range of a float


class GangMembers(unittest.TestCase):
    def test_member_that_is_done_a_moment_later(self) -> None:
        """Guards against stopping a gang's member because another one has ended as done."""
        sut = Deployment(workers=2)
        sut.worker("w0").run_seconds = 2.0
        sut.worker("w1").run_seconds = 2.5
        gang = StepSpec(2, WHOLE_WORKER, 2.0, gang=True)
        sut.submit("b1", gang, StepSpec(1, RESOURCES, 1.0, after=(0,)))
        sut.run(4.0)
        kinds = [kind for _, kind, run in sut.worker("w1").history if run.task.step == 0]
        self.assertEqual(kinds, ["start", "done", "noted"])


if __name__ == "__main__":
    unittest.main()
