"""Order in which running jobs leave a failure domain."""

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

NEARLY_FINISHED_SECONDS = 2.0  # seconds; such a job ends sooner than a transfer pays
ENTITLED_WEIGHT = 4.0  # value of guaranteed and urgent work against borrowed work


def drain_order(
    running: Iterable[RunningJob],
    guarantees: Iterable[Guarantee],
    estimator: RunTimeEstimator,
    now: float,
) -> tuple[RunningJob, ...]:
    """Return the running jobs in the order of their checkpoint and transfer.

    The jobs with the most work since their last checkpoint go first, because a
    domain may be switched off before the last one has left; guaranteed and urgent
    work counts several times. Jobs that are about to end go last, so that they may
    end here. Jobs whose checkpoint is under way are left out.
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
