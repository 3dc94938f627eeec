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

NEARLY_FINISHED = 10.0  # seconds; such a job ends sooner than a transfer pays


def drain_order(
    running: Iterable[RunningJob],
    guarantees: Iterable[Guarantee],
    estimator: RunTimeEstimator,
    now: float,
) -> tuple[RunningJob, ...]:
    """Return the running jobs in the order of their checkpoint and transfer.

    Urgent jobs go first, then jobs inside their account's guarantee, then
    borrowers, and those with the most accelerators first, because they have the
    most work at risk. Jobs that are about to end go last, so that they may end
    here. Jobs whose checkpoint is under way are left out.
    """
    jobs = [job for job in running if not job.checkpointing]
    ledger = GuaranteeLedger(guarantees, jobs)

    def rank(job: RunningJob) -> tuple[bool, bool, bool, int, str]:
        return (
            job.checkpointable and estimator.remaining(job, now) <= NEARLY_FINISHED,
            job.spec.urgency is not Urgency.URGENT,
            not ledger.is_protected(job),
            -job.spec.total_accelerators,
            job.job_id,
        )

    return tuple(sorted(jobs, key=rank))
