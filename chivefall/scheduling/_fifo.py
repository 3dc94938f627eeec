"""First-in, first-out scheduling, the baseline of the benchmarks."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from chivefall.model import Urgency
from chivefall.scheduling._cluster import ClusterView, Plan, SchedulingPolicy, WorkerView
from chivefall.scheduling._placement import find_placement

if TYPE_CHECKING:
    from chivefall.model import Placement

__all__ = ["FifoPolicy"]


class FifoPolicy(SchedulingPolicy):
    """Starts jobs by submission time, urgent ones first, up to the first that does not fit."""

    def plan(self, view: ClusterView, now: float) -> Plan:
        """Return the jobs to start in one scheduling round."""
        if view.draining:
            return Plan()
        workers = {worker.worker: worker for worker in view.workers}
        starts = []
        order = sorted(
            view.queued,
            key=lambda job: (job.spec.urgency is not Urgency.URGENT, job.submitted_at),
        )
        for job in order:
            placement = find_placement(job.spec, workers.values(), job.avoid)
            if placement is None:
                break
            _allocate(workers, placement)
            starts.append((job.job_id, placement))
        return Plan(starts=tuple(starts))


def _allocate(workers: dict[str, WorkerView], placement: Placement) -> None:
    for member in placement:
        worker = workers[member.worker]
        workers[member.worker] = replace(worker, free=worker.free - member.accelerators)
