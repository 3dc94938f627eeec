"""One scheduling round: places for waiting groups, kept room, and runs that give way."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.batch._group import (
    GUARANTEED_RANK,
    URGENT_RANK,
    Group,
    find_groups,
    rank_jobs,
)
from chivefall.batch._model import UNBOUNDED
from chivefall.batch._placement import (
    FreeResources,
    by_rack,
    place_gang,
    place_some,
    rack_capacity,
    take,
)
from chivefall.batch._plan import GroupStart, Plan
from chivefall.batch._victims import Victims, VictimSearch

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from chivefall.batch._fleet import Fleet, Worker
    from chivefall.batch._model import Resources
    from chivefall.batch._plan import Candidate
    from chivefall.model import AccountId, RackId, WorkerId

__all__ = ["Round"]

MAX_RESERVATIONS = 4  # blocked gangs that keep room in one round; more would idle the fleet
REMOTE_FACTOR = 3.0  # run time away from the data or over several racks, against near
GUARANTEE_WAIT_SECONDS = 1.0
"""Wait of guaranteed urgent work before it stops other urgent work, which is short.

The platform's bound for its start is 2.7 s, of which a stop takes 0.9 s at most.
"""
SPREAD_SECONDS = 1.9  # wait after which guaranteed work runs slowly rather than begin too late
MAX_LOSS_FACTOR = 4.0
"""Work that an urgent group may throw away, against its own, unless it must start now.

At the users' weights an urgent job that is late costs about as much as four times its
work done again.
"""


class Round:
    """The working state of one round."""

    def __init__(self, fleet: Fleet, now: float, guarantees: Mapping[AccountId, int]) -> None:
        self._fleet = fleet
        self._now = now
        self._guarantees = guarantees
        self._free: dict[WorkerId, Resources] = {
            name: worker.free for name, worker in fleet.workers.items()
        }
        self._plan = Plan()
        self._reservations = 0
        self._usable: dict[tuple, list[Worker]] = {}
        self._capacities: dict[tuple, dict[RackId, int]] = {}
        self._blocked: dict[tuple, int] = {}
        self._victims: VictimSearch

    def run(self, candidates: Iterable[Candidate]) -> Plan:
        """Return the plan of the round."""
        found = list(candidates)
        jobs = {item.job.job_id: item.job for item in found}
        ranks = rank_jobs(found, self._guarantees)
        workers = list(self._fleet.workers.values())
        self._victims = VictimSearch(workers, self._free, jobs, ranks, self._now)
        for group in find_groups(found, ranks, self._now):
            self._place(group)
        return self._plan

    def _must_start(self, group: Group) -> bool:
        """Return whether a guarantee is due that other work must give way to."""
        waited = self._now - group.begins_at
        return group.rank == GUARANTEED_RANK and waited >= GUARANTEE_WAIT_SECONDS

    def _place(self, group: Group) -> None:
        workers = self._workers_for(group)
        if not workers:
            return
        chosen = self._choose(group, workers)
        if chosen:
            places = tuple(
                (task.key, worker.worker_id, worker.entry.incarnation)
                for task, worker in zip(group.tasks, chosen, strict=False)
            )
            self._plan.starts.append(GroupStart(group.job, places))
        missing = len(group.tasks) - len(chosen)
        if missing and (group.urgent or group.step.gang):
            self._make_room(group, workers, missing)

    def _workers_for(self, group: Group) -> list[Worker]:
        """Return the workers that may start tasks of a group."""
        key = (group.queue.service, group.step.label)
        if key not in self._usable:
            self._usable[key] = self._fleet.eligible_workers(
                group.step, group.queue.service, self._now
            )
        workers = self._usable[key]
        if not group.job.failed_on:
            return workers
        # A second failure on another worker tells a bad task from a bad worker.
        return [item for item in workers if item.worker_id not in group.job.failed_on] or workers

    def _capacity(self, group: Group, workers: list[Worker]) -> dict[RackId, int]:
        """Return how many tasks of a group's step each rack takes when it is empty."""
        step = group.step
        if workers is not self._usable.get((group.queue.service, step.label)):
            return rack_capacity(workers, step)
        key = (group.queue.service, step.label, step.resources, step.max_per_worker)
        if key not in self._capacities:
            self._capacities[key] = rack_capacity(workers, step)
        return self._capacities[key]

    def _choose(self, group: Group, workers: list[Worker]) -> list[Worker]:
        """Return a worker for each task that starts now."""
        step, count = group.step, len(group.tasks)
        near_only = self._waits_for_near(group, workers)
        shape = (
            group.queue.service,
            step.label,
            step.resources,
            step.gang,
            step.same_rack,
            step.data_rack,
            near_only,
        )
        # Room only shrinks during a round, so what did not fit once does not fit later.
        if count >= self._blocked.get(shape, UNBOUNDED):
            return []
        free = FreeResources(self._free, self._step_counts(group, workers))
        if step.gang:
            chosen = place_gang(workers, step, count, free, near_only=near_only) or []
        else:
            chosen = place_some(workers, step, count, free, near_only=near_only)
        if not chosen and not step.max_per_worker and not group.job.failed_on:
            self._blocked[shape] = count if step.gang else 1
        return chosen

    def _step_counts(self, group: Group, workers: Sequence[Worker]) -> dict[WorkerId, int]:
        if not group.step.max_per_worker:
            return {}
        key = (group.job.job_id, group.occurrence, group.tasks[0].key.step)
        return {
            worker.worker_id: sum(
                (run.job, run.task.occurrence, run.task.step) == key for run in worker.runs
            )
            for worker in workers
        }

    def _waits_for_near(self, group: Group, workers: list[Worker]) -> bool:
        """Return whether the group should wait rather than run slowly away from its rack."""
        step = group.step
        capacity = self._capacity(group, workers)
        if step.gang and step.same_rack:
            racks = [step.data_rack] if step.data_rack is not None else list(capacity)
            if not any(capacity.get(rack, 0) >= len(group.tasks) for rack in racks):
                return False
        elif step.data_rack is not None and not capacity.get(step.data_rack):
            return False
        if group.rank == GUARANTEED_RANK and self._now - group.begins_at >= SPREAD_SECONDS:
            return False
        step_number = group.tasks[0].key.step
        waited = self._now - group.job.ready_since(group.occurrence, step_number, self._now)
        return waited < (REMOTE_FACTOR - 1.0) * max(step.run_time, 1.0)

    def _make_room(self, group: Group, workers: Sequence[Worker], missing: int) -> None:
        """Keep room for a blocked group; an urgent one stops runs if that is not enough."""
        if group.urgent:
            members = self._stop_for(group, workers, missing)
        elif self._reservations < MAX_RESERVATIONS:
            members = self._rack_to_wait_for(group, workers, missing)
        else:
            return
        self._reservations += bool(members)
        self._reserve(group, members, missing)

    def _reserve(self, group: Group, members: Sequence[Worker], missing: int) -> None:
        """Promise room to a group, also room of runs that go on, so that it is not filled again."""
        free = FreeResources(self._free, {})
        unit = group.step.resources
        for worker in sorted(
            members,
            key=lambda item: (-self._victims.future(item).count_fitting(unit), item.worker_id),
        ):
            count = min(missing, worker.entry.capacity.count_fitting(unit))
            if count > 0:
                take(free, worker, group.step, count)
                missing -= count

    def _rack_to_wait_for(
        self, group: Group, workers: Sequence[Worker], missing: int
    ) -> Sequence[Worker]:
        """Return the workers on which a blocked gang fits soonest, or none if it never fits."""
        choices = self._places_for(group, workers, missing)
        return min(choices, key=lambda members: self._work_ahead(group, members), default=())

    def _places_for(
        self, group: Group, workers: list[Worker], missing: int
    ) -> list[Sequence[Worker]]:
        """Return the sets of workers on which a group could run, each large enough."""
        step = group.step
        capacity = self._capacity(group, workers)
        if step.data_rack is not None and capacity.get(step.data_rack, 0) >= missing:
            return [by_rack(workers)[step.data_rack]]
        if step.gang:
            racks = [rack for rack, count in capacity.items() if count >= missing]
            if racks:
                grouped = by_rack(workers)
                return [grouped[rack] for rack in sorted(racks)]
        return [workers] if sum(capacity.values()) >= missing else []

    def _work_ahead(self, group: Group, members: Sequence[Worker]) -> float:
        """Return a measure of the work that has to end before the group fits."""
        slots = sum(
            self._victims.future(worker).count_fitting(group.step.resources) for worker in members
        )
        loss = sum(
            self._victims.loss(run)
            for worker in members
            for run in worker.runs
            if run not in self._victims.stopping
        )
        return loss / (1.0 + slots)

    def _stop_for(self, group: Group, workers: Sequence[Worker], missing: int) -> Sequence[Worker]:
        """Stop the runs whose loss is smallest until the group fits; return its workers."""
        unit, must_start = group.step.resources, self._must_start(group)
        best = self._find_cheapest_place(group, workers, missing, URGENT_RANK + 1)
        if best is None and must_start:
            best = self._find_cheapest_place(group, workers, missing, URGENT_RANK)
        if best is None and must_start:
            # No rack can be emptied; a guarantee holds even if its tasks are slow.
            best = self._victims.find(unit, workers, missing, URGENT_RANK)
        if best is None:
            return ()
        if best.loss > MAX_LOSS_FACTOR * group.work() and not must_start:
            return best.members
        self._victims.stopping |= best.runs
        self._plan.preemptions += sorted(best.runs)
        return best.members

    def _find_cheapest_place(
        self, group: Group, workers: Sequence[Worker], missing: int, lowest: int
    ) -> Victims | None:
        """Return the victims of rank ``lowest`` or later whose loss is smallest, or None."""
        best: Victims | None = None
        for members in self._places_for(group, workers, missing):
            victims = self._victims.find(group.step.resources, members, missing, lowest)
            if victims is not None and (best is None or victims.loss < best.loss):
                best = victims
        return best
