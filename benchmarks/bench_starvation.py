"""Start delay of a large gang among many small jobs with wrong declared run times."""

from __future__ import annotations

import random
import unittest

from benchmarks._simulation import Job, Simulation, Workload
from benchmarks._workloads import EasyPolicy
from chivefall.model import Account, AccountId, JobId, JobSpec
from chivefall.scheduling import GuaranteePolicy

MAX_RUN_SECONDS = 120.0  # of the small jobs
DECLARED_SECONDS = 10.0  # run time that the small jobs declare
GANG_SUBMITTED_AT_SECONDS = 100.0


def make_workload() -> Workload:
    """Return ten minutes of more small jobs than fit, and a gang as large as a rack."""
    rng = random.Random(7)
    small, large = AccountId("small"), AccountId("large")
    jobs = []
    for index in range(740):
        spec = JobSpec(
            small, f"command-{index % 50}", None, rng.randint(1, 2), run_time=DECLARED_SECONDS
        )
        seconds = rng.uniform(20, MAX_RUN_SECONDS)
        jobs.append(Job(JobId(f"small-{index}"), spec, rng.uniform(0, 600), seconds))
    gang = JobSpec(large, "sort", None, 64, run_time=60.0)
    jobs.append(Job(JobId("gang"), gang, GANG_SUBMITTED_AT_SECONDS, 60.0))
    accounts = {small: Account(), large: Account()}
    return Workload(jobs, ("zarcero",), accounts, (), 1e6, 1e6)


def gang_wait_seconds(policy: type) -> float:
    """Return the start delay of the gang in seconds."""
    jobs = Simulation(make_workload(), policy).run().jobs
    gang = next(job for job in jobs if job.job_id == "gang")
    return gang.started - gang.submitted


class StarvationBenchmark(unittest.TestCase):
    def test_wait_is_bounded_by_running_jobs(self) -> None:
        """Guards against starvation of a large gang by backfilled jobs with wrong run times."""
        ours, easy = gang_wait_seconds(GuaranteePolicy), gang_wait_seconds(EasyPolicy)
        print(f"wait of a gang of 64: {ours:.0f} s, with plain backfill {easy:.0f} s")
        # Jobs may be backfilled until the reserved start; those running then may run to their end.
        self.assertLessEqual(ours, MAX_RUN_SECONDS + DECLARED_SECONDS * 2 + MAX_RUN_SECONDS)
