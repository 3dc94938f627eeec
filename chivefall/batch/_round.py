"""One scheduling round: placements of waiting groups, reservations and preemptions."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from chivefall.batch._group import (
    GUARANTEED_RANK,
    URGENT_RANK,
    TaskGroup,
    core_equivalents,
    find_groups,
    rank_jobs,
)
from chivefall.batch._model import UNLIMITED_TASKS, Resources
from chivefall.batch._placement import (
    FreeResources,
    WorkerSet,
    allocate,
    group_by_rack,
    place_gang,
    place_independent,
    rack_capacity,
)
from chivefall.batch._plan import GroupStart, Plan
from chivefall.batch._victims import Victims, VictimSearch

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from chivefall.batch._fleet import Fleet, Worker
    from chivefall.batch._plan import Candidate
    from chivefall.batch._timing import BatchTiming
    from chivefall.model import AccountId, RackId, WorkerId

__all__ = ["Round"]

MAX_RESERVATIONS = 4  # blocked gangs with reserved resources; more would leave the fleet idle
BUSY_SHARE = 0.6  # of the fleet's core equivalents
MAX_IDLE_WAIT_SECONDS = 2.0  # a task that fits an idle fleet must not wait for 3 s
IDLE_ROOM_FACTOR = 2  # free room of an idle fleet, relative to what a group needs
MAX_PREEMPTING_GROUPS = 16
"""Groups for which a round decides new stops; the others follow in the next rounds.

The search for a group takes up to 2 ms, and a burst brings hundreds of urgent groups.
"""
MAX_SEARCHES = 48  # for victims in a round, also if stopping them would cost too much
MAX_PREEMPTION_COST_FACTOR = 4.0
"""Limit of the work that an urgent group may discard, relative to the work of the group.

By the users' weights a late urgent job costs about as much as redoing four times its work.
The limit does not hold for a guarantee that is due.
"""


class Round:
    """Computes the plan of one round."""

    def __init__(
        self,
        fleet: Fleet,
        now: float,
        guarantees: Mapping[AccountId, int],
        timing: BatchTiming,
    ) -> None:
        self._timing = timing
        self._fleet = fleet
        self._now = now
        self._guarantees = guarantees
        self._free: dict[WorkerId, Resources] = {
            name: worker.free for name, worker in fleet.workers.items()
        }
        self._free_before = dict(self._free)
        self._reserved: dict[WorkerId, Resources] = {}
        self._busy = False
        self._plan = Plan()
        self._reservations = 0
        self._eligible: dict[tuple, list[Worker]] = {}
        self._capacities: dict[tuple, dict[RackId, int]] = {}
        self._blocked: dict[tuple, int] = {}
        self._racks: dict[tuple, dict[RackId, list[Worker]]] = {}
        self._rooms: dict[tuple, int] = {}
        self._preempting_groups = 0
        self._searches = 0
        self._victims: VictimSearch

    def run(self, candidates: Iterable[Candidate]) -> Plan:
        """Place all waiting groups and return the plan."""
        found = list(candidates)
        jobs = {item.job.job_id: item.job for item in found}
        ranks = rank_jobs(found, self._guarantees)
        workers = list(self._fleet.workers.values())
        self._victims = VictimSearch(
            workers, self._free, jobs, ranks, self._now, timing=self._timing
        )
        self._busy = self._is_busy(workers)
        for group in find_groups(found, ranks, self._now, is_busy=self._busy):
            try:
                self._place(group)
            except Exception as exc:  # noqa: BLE001 - returned; other jobs must start
                self._plan.errors[group.job.job_id] = exc
        return self._plan

    def _is_busy(self, workers: Sequence[Worker]) -> bool:
        """Return whether most of the fleet is in use, so that urgent work may stop other work."""
        capacity = sum(core_equivalents(worker.entry.capacity) for worker in workers)
        used = sum(core_equivalents(worker.used) for worker in workers)
        return used >= BUSY_SHARE * capacity

    def _is_guarantee_due(self, group: TaskGroup) -> bool:
        """Return whether a guaranteed group has waited so long that it may preempt urgent runs."""
        waited = self._now - group.waiting_since
        return group.rank == GUARANTEED_RANK and waited >= self._timing.guarantee_preemption

    def _place(self, group: TaskGroup) -> None:
        workers = self._workers_for(group)
        if not workers:
            return
        chosen = self._choose(group, workers)
        if chosen:
            keys = group.tasks.waiting_keys(self._now, is_busy=self._busy)
            placements = tuple(
                (key, worker.worker_id, worker.entry.incarnation)
                for key, worker in zip(keys, chosen, strict=False)
            )
            self._plan.starts.append(GroupStart(group.job, placements))
            for worker in chosen:
                self._victims.worker_changed(worker)
        missing = group.count - len(chosen)
        if missing and (group.urgent or group.step.gang):
            self._reserve_or_preempt(group, workers, missing)

    def _workers_for(self, group: TaskGroup) -> list[Worker]:
        """Return the workers on which tasks of a group may start."""
        key = (group.queue.service, group.step.label)
        if key not in self._eligible:
            self._eligible[key] = self._fleet.eligible_workers(
                group.step, group.queue.service, self._now
            )
        workers = self._eligible[key]
        failed = group.job.failed_workers(group.occurrence, group.step_number, self._now)
        if not failed:
            return workers
        # A retry on another worker shows whether the task or the worker is faulty.
        others = [worker for worker in workers if worker.worker_id not in failed]
        needed = group.count if group.step.gang else 1
        return others if sum(rack_capacity(others, group.step).values()) >= needed else workers

    def _capacity(self, group: TaskGroup, workers: list[Worker]) -> dict[RackId, int]:
        """Return how many tasks of a group fit on each rack when nothing else runs there."""
        step = group.step
        if workers is not self._eligible.get((group.queue.service, step.label)):
            return rack_capacity(workers, step)
        key = (group.queue.service, step.label, step.resources, step.max_per_worker)
        if key not in self._capacities:
            self._capacities[key] = rack_capacity(workers, step)
        return self._capacities[key]

    def _grouped(self, group: TaskGroup, workers: list[Worker]) -> dict[RackId, list[Worker]]:
        """Return the workers of a group by rack."""
        key = (group.queue.service, group.step.label)
        if workers is not self._eligible.get(key):
            return group_by_rack(workers)
        if key not in self._racks:
            self._racks[key] = group_by_rack(workers)
        return self._racks[key]

    def _choose(self, group: TaskGroup, workers: list[Worker]) -> list[Worker]:
        """Return a worker for each task of the group that can start now."""
        overdue = self._is_overdue(group)
        local_only = not overdue and self._waits_for_local_placement(group, workers)
        chosen = self._choose_unreserved(group, workers, local_only=local_only)
        if chosen or not overdue or not self._reserved:
            return chosen
        return self._choose_reserved(group, workers)

    def _is_overdue(self, group: TaskGroup) -> bool:
        """Return whether a group has waited beside idle workers for long enough.

        It then accepts a slow placement, and resources that are reserved for other groups.
        """
        needed = IDLE_ROOM_FACTOR * (group.count if group.step.gang else 1)
        waited = group.job.record_room(
            group.occurrence,
            group.step_number,
            self._now,
            has_room=not self._busy and self._room(group) >= needed,
        )
        return waited >= MAX_IDLE_WAIT_SECONDS

    def _room(self, group: TaskGroup) -> int:
        """Return how many tasks of a group fit beside what runs.

        Counts reserved resources and workers that are avoided for a while.
        """
        step = group.step
        key = (group.queue.service, step.label, step.resources)
        if key not in self._rooms:
            workers = self._fleet.eligible_workers(
                step, group.queue.service, self._now, include_avoided=True
            )
            self._rooms[key] = sum(
                self._free_before[worker.worker_id].count_fitting(step.resources)
                for worker in workers
            )
        return self._rooms[key]

    def _choose_reserved(self, group: TaskGroup, workers: list[Worker]) -> list[Worker]:
        """Return workers for the tasks of a group, on reserved resources if need be."""
        free = dict(self._free)
        for name, resources in self._reserved.items():
            free[name] += resources
        view = FreeResources(free, self._step_counts(group, workers))
        chosen = _place_tasks(group, workers, view, local_only=False)
        for worker in chosen:
            self._free[worker.worker_id] -= group.step.resources
        return chosen

    def _choose_unreserved(
        self, group: TaskGroup, workers: list[Worker], *, local_only: bool
    ) -> list[Worker]:
        """Return workers for the tasks of a group on resources that nothing has reserved."""
        step, count = group.step, group.count
        shape = (
            group.queue.service,
            step.label,
            step.resources,
            step.gang,
            step.same_rack,
            step.data_rack,
            local_only,
        )
        # Free resources only shrink during a round, so what did not fit before does not fit now.
        if count >= self._blocked.get(shape, UNLIMITED_TASKS):
            return []
        free = FreeResources(self._free, self._step_counts(group, workers))
        chosen = _place_tasks(group, workers, free, local_only=local_only)
        is_shared = workers is self._eligible.get((group.queue.service, step.label))
        if not chosen and is_shared and not step.max_per_worker:
            self._blocked[shape] = count if step.gang else 1
        return chosen

    def _step_counts(self, group: TaskGroup, workers: Sequence[Worker]) -> dict[WorkerId, int]:
        if not group.step.max_per_worker:
            return {}
        key = (group.job.job_id, group.occurrence, group.step_number)
        return {
            worker.worker_id: sum(
                (run.job, run.task.occurrence, run.task.step) == key for run in worker.runs
            )
            for worker in workers
        }

    def _waits_for_local_placement(self, group: TaskGroup, workers: list[Worker]) -> bool:
        """Return whether to wait for a local placement rather than accept a slow one."""
        step = group.step
        capacity = self._capacity(group, workers)
        if step.gang and step.same_rack:
            racks = [step.data_rack] if step.data_rack is not None else list(capacity)
            if not any(capacity.get(rack, 0) >= group.count for rack in racks):
                return False
        elif step.data_rack is not None and not capacity.get(step.data_rack):
            return False
        if (
            group.rank == GUARANTEED_RANK
            and self._now - group.waiting_since >= self._timing.guarantee_spread
        ):
            return False
        step_number = group.step_number
        waited = self._now - group.job.ready_since(group.occurrence, step_number, self._now)
        return waited < (self._timing.remote_slowdown - 1.0) * max(step.run_time, 1.0)

    def _reserve_or_preempt(
        self, group: TaskGroup, workers: Sequence[Worker], missing: int
    ) -> None:
        """Reserve resources for a blocked group; preempt runs if the group is urgent."""
        if group.urgent:
            worker_set = self._preempt_for(group, workers, missing)
        elif self._reservations < MAX_RESERVATIONS:
            worker_set = self._choose_workers_to_wait_for(group, workers, missing)
        else:
            return
        if worker_set is not None:
            self._reservations += 1
            self._reserve(group, worker_set.workers, missing)

    def _reserve(self, group: TaskGroup, workers: Sequence[Worker], missing: int) -> None:
        """Reserve resources for a group so that later groups of the round do not take them.

        Includes resources that running tasks still use, so that they are not given to others
        once they become free.
        """
        free = FreeResources(self._free, {})
        unit = group.step.resources
        for worker in sorted(
            workers,
            key=lambda item: (
                -self._victims.free_after_stops(item).count_fitting(unit),
                item.worker_id,
            ),
        ):
            count = min(missing, worker.entry.capacity.count_fitting(unit))
            if count > 0:
                allocate(free, worker, group.step, count)
                if not group.urgent:
                    name = worker.worker_id
                    self._reserved[name] = self._reserved.get(name, Resources()) + unit * count
                self._victims.worker_changed(worker)
                missing -= count

    def _choose_workers_to_wait_for(
        self, group: TaskGroup, workers: Sequence[Worker], missing: int
    ) -> WorkerSet | None:
        """Return the workers on which a blocked gang should fit first, or None if it never fits."""
        choices = self._worker_sets(group, workers, missing)
        return min(choices, key=lambda item: self._blocking_work(group, item.workers), default=None)

    def _worker_sets(
        self, group: TaskGroup, workers: list[Worker], missing: int
    ) -> list[WorkerSet]:
        """Return the sets of workers that could hold the group if nothing else ran there."""
        step = group.step
        capacity = self._capacity(group, workers)
        if step.data_rack is not None and capacity.get(step.data_rack, 0) >= missing:
            rack = step.data_rack
            return [WorkerSet(self._grouped(group, workers)[rack], (rack,))]
        if step.gang:
            racks = [rack for rack, count in capacity.items() if count >= missing]
            if racks:
                grouped = self._grouped(group, workers)
                return [WorkerSet(grouped[rack], (rack,)) for rack in sorted(racks)]
        fits = sum(capacity.values()) >= missing
        return [WorkerSet(workers, tuple(capacity))] if fits else []

    def _blocking_work(self, group: TaskGroup, worker_set: Sequence[Worker]) -> float:
        """Return a score of the running work that has to end before the group fits."""
        slots = sum(
            self._victims.free_after_stops(worker).count_fitting(group.step.resources)
            for worker in worker_set
        )
        cost = sum(
            self._victims.stop_cost(run)
            for worker in worker_set
            for run in worker.runs
            if run not in self._victims.stopping
        )
        return cost / (1.0 + slots)

    def _preempt_for(
        self, group: TaskGroup, workers: Sequence[Worker], missing: int
    ) -> WorkerSet | None:
        """Preempt the runs that cost least so that the group fits, and return the workers.

        If the cost is above the limit, nothing is preempted and the group waits for these
        workers.
        """
        unit, guarantee_due = group.step.resources, self._is_guarantee_due(group)
        best = self._find_cheapest_victims(group, workers, missing, URGENT_RANK + 1)
        if best is None and guarantee_due:
            best = self._find_cheapest_victims(group, workers, missing, URGENT_RANK)
        if best is None and guarantee_due:
            # No single rack suffices; a guarantee is met even if its tasks run slowly.
            worker_set = WorkerSet(workers, tuple(self._capacity(group, workers)))
            best = self._victims.find(unit, worker_set, missing, URGENT_RANK)
        if best is None:
            return None
        if best.cost > MAX_PREEMPTION_COST_FACTOR * group.core_seconds() and not guarantee_due:
            return best.workers
        self._preempting_groups += bool(best.runs)
        self._victims.stop(best.runs)
        self._plan.preemptions += sorted(best.runs)
        self._plan.preempted_for.update(dict.fromkeys(best.runs, (group.job.job_id, best.cost)))
        return best.workers

    def _find_cheapest_victims(
        self, group: TaskGroup, workers: Sequence[Worker], missing: int, min_rank: int
    ) -> Victims | None:
        """Return the cheapest victims with at least ``min_rank`` on any set of workers, or None."""
        best: Victims | None = None
        unit = group.step.resources
        worker_sets = self._worker_sets(group, workers, missing)
        for worker_set in worker_sets:
            if self._victims.fits_after_stops(unit, worker_set, missing):
                return Victims(worker_set, 0.0, set())
        if self._preempting_groups >= MAX_PREEMPTING_GROUPS:
            self._plan.complete = False
            return None
        if self._searches >= MAX_SEARCHES:
            return None
        self._searches += 1
        for worker_set in worker_sets:
            max_cost = math.inf if best is None else best.cost
            victims = self._victims.find(unit, worker_set, missing, min_rank, max_cost)
            best = best if victims is None else victims
        return best


def _place_tasks(
    group: TaskGroup, workers: Sequence[Worker], free: FreeResources, *, local_only: bool
) -> list[Worker]:
    """Return workers for the tasks of a group, and allocate their resources."""
    step, count = group.step, group.count
    if step.gang:
        return place_gang(workers, step, count, free, local_only=local_only) or []
    return place_independent(workers, step, count, free, local_only=local_only)
