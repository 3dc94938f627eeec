"""Index of the running jobs that may be preempted, by rack and worker."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.model import Adjacency, RackId, Urgency, WorkerId
from chivefall.scheduling._cluster import RunningJob

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.model import JobId, JobSpec
    from chivefall.scheduling._free_capacity import FreeCapacity

__all__ = ["VictimIndex", "WorkerGroup", "preemption_cost"]

RESTART_SECONDS = 5.0  # time to checkpoint, queue and restore a preempted job
EXPECTED_LOSS_FRACTION = 0.02  # part of the run time lost on average to failed checkpoints
URGENT_WEIGHT = 10.0  # cost of preempting an urgent borrower, relative to a normal one


def preemption_cost(job: RunningJob, now: float) -> float:
    """Return the expected cost of preempting a job, in weighted accelerator-seconds."""
    elapsed = max(0.0, now - job.started_at) if job.started_at > 0 else 0.0
    weight = URGENT_WEIGHT if job.spec.urgency is Urgency.URGENT else 1.0
    return (
        weight * job.spec.total_accelerators * (RESTART_SECONDS + EXPECTED_LOSS_FRACTION * elapsed)
    )


@dataclass(frozen=True)
class WorkerGroup:
    """Workers on which a gang may be placed together, and the jobs that run there.

    Attributes
    ----------
    min_cost : float
        Lower bound of the preemption cost in this group, in weighted accelerator-seconds.
    rack : RackId or None
        Rack of the workers; None for the whole domain.
    """

    min_cost: float
    rack: RackId | None
    workers: tuple[WorkerId, ...]
    jobs: list[RunningJob]


class VictimIndex:
    """Candidates for preemption in one scheduling round.

    For each rack and worker, the lowest preemption cost per accelerator gives a lower
    bound of the cost there, so that a search examines only the groups that can be the
    cheapest.
    """

    def __init__(self, candidates: Iterable[RunningJob], now: float) -> None:
        self.now = now
        self._candidates = list(candidates)
        self._jobs: dict[str, list[RunningJob]] = defaultdict(list)
        self._min_unit_cost: dict[str, float] = {}
        self._removed: set[JobId] = set()
        for job in self._candidates:
            self._add(job)

    def _add(self, job: RunningJob) -> None:
        released: Counter[str] = Counter()
        for member in job.placement:
            released[member.rack] += member.accelerators
            released[_worker_key(member.worker)] += member.accelerators
        cost = preemption_cost(job, self.now)
        for group, count in released.items():
            self._jobs[group].append(job)
            self._min_unit_cost[group] = min(
                self._min_unit_cost.get(group, math.inf), cost / max(1, count)
            )

    def remove(self, jobs: Iterable[RunningJob]) -> None:
        """Remove jobs that were selected for preemption or a move."""
        self._removed.update(job.job_id for job in jobs)

    def available_jobs(self, group: WorkerGroup) -> list[RunningJob]:
        """Return the jobs of a group that were not removed."""
        return [job for job in group.jobs if job.job_id not in self._removed]

    def groups(self, spec: JobSpec, capacity: FreeCapacity) -> list[WorkerGroup]:
        """Return the groups that may fit a gang, those with the lowest minimum cost first."""
        if spec.adjacency is Adjacency.DOMAIN:
            return [WorkerGroup(0.0, None, tuple(capacity.free), self._candidates)]
        groups = []
        for rack, names in capacity.racks.items():
            if spec.adjacency is Adjacency.WORKER:
                units = [(_worker_key(name), (name,), capacity.free[name]) for name in names]
            else:
                units = [(rack, tuple(names), capacity.free_in_rack(rack))]
            for key, members, free in units:
                if key in self._min_unit_cost:
                    missing = spec.total_accelerators - max(0, free)
                    groups.append(
                        WorkerGroup(
                            missing * self._min_unit_cost[key], rack, members, self._jobs[key]
                        )
                    )
        capacity.search_cost.examined += len(groups)
        return sorted(groups, key=lambda group: group.min_cost)


def _worker_key(name: WorkerId) -> str:
    """Return the index key of a worker; it has to differ from the names of racks."""
    return f"worker {name}"
