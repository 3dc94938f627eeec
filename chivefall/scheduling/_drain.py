"""Order in which the running jobs of a draining failure domain are checkpointed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.model import Urgency
from chivefall.scheduling._guarantees import GuaranteeLedger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.model import Guarantee
    from chivefall.scheduling._cluster import RunningJob
    from chivefall.scheduling._estimator import RunTimeEstimator

__all__ = ["drain_order"]

NEARLY_FINISHED_SECONDS = 2.0  # with less remaining run time, a transfer is not worthwhile
ENTITLED_WEIGHT = 4.0  # of guaranteed and urgent work, relative to other work


def drain_order(
    running: Iterable[RunningJob],
    guarantees: Iterable[Guarantee],
    estimator: RunTimeEstimator,
    now: float,
) -> tuple[RunningJob, ...]:
    """Return the running jobs in the order in which to checkpoint and transfer them.

    Jobs with the most unsaved work come first, because the domain may be switched off
    before all jobs are transferred; guaranteed and urgent work has a larger weight. Jobs
    that are about to finish come last, so that they may finish in this domain. Jobs that
    are already being checkpointed are left out.
    """
    jobs = [job for job in running if not job.checkpointing]
    ledger = GuaranteeLedger(guarantees, jobs)

    def rank(job: RunningJob) -> tuple[bool, float, str]:
        entitled = job.spec.urgency is Urgency.URGENT or ledger.is_protected(job)
        elapsed = max(0.0, now - job.started_at) if job.started_at > 0 else 0.0
        at_risk = job.spec.total_accelerators * elapsed
        ending = (
            job.checkpointable and estimator.remaining_seconds(job, now) <= NEARLY_FINISHED_SECONDS
        )
        return (ending, -at_risk * (ENTITLED_WEIGHT if entitled else 1.0), job.job_id)

    return tuple(sorted(jobs, key=rank))
