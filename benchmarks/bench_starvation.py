"""A large gang among an endless stream of small jobs with wrong run times."""

from __future__ import annotations

import random
import unittest

from benchmarks._loop import Job, Loop, Workload
from benchmarks._workloads import EasyPolicy
from chivefall.model import Account, AccountId, JobId, JobSpec
from chivefall.scheduling import GuaranteePolicy

LONGEST = 120.0  # seconds that the small jobs run at most
DECLARED = 10.0  # seconds that they declare
GANG_AT = 100.0


def stream() -> Workload:
    """Return more small jobs than fit for ten minutes, and a gang that needs a whole rack."""
    rng = random.Random(7)
    small, large = AccountId("small"), AccountId("large")
    jobs = []
    for index in range(740):
        spec = JobSpec(small, f"command-{index % 50}", None, rng.randint(1, 2), run_time=DECLARED)
        seconds = rng.uniform(20, LONGEST)
        jobs.append(Job(JobId(f"small-{index}"), spec, rng.uniform(0, 600), seconds))
    gang = JobSpec(large, "sort", None, 64, run_time=60.0)
    jobs.append(Job(JobId("gang"), gang, GANG_AT, 60.0))
    accounts = {small: Account(), large: Account()}
    return Workload(jobs, ("zarcero",), accounts, (), 1e6, 1e6)


def wait_of_the_gang(policy: type) -> float:
    """Return how long the gang waited for its start."""
    jobs = Loop(stream(), policy).run().jobs
    gang = next(job for job in jobs if job.job_id == "gang")
    return gang.started - gang.submitted


class StarvationBenchmark(unittest.TestCase):
    def test_wait_is_bounded_by_what_runs_already(self) -> None:
        """Guards against backfill with wrong run times that starves a large gang."""
        own, easy = wait_of_the_gang(GuaranteePolicy), wait_of_the_gang(EasyPolicy)
        print(f"wait of a gang of 64: {own:.0f} s, with plain backfill {easy:.0f} s")
        # Until the promised start others may be backfilled; what runs then may run to its end.
        self.assertLessEqual(own, LONGEST + DECLARED * 2 + LONGEST)
