"""The default policy: guarantees, reservations, backfill and defragmentation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall.model import Adjacency, Urgency
from chivefall.scheduling._cluster import Plan, SchedulingPolicy
from chivefall.scheduling._defragment import choose_moves
from chivefall.scheduling._drain import drain_order
from chivefall.scheduling._estimator import RunTimeEstimator
from chivefall.scheduling._fair_queue import FairQueue
from chivefall.scheduling._infeasibility import infeasibility_reason
from chivefall.scheduling._reclaim import choose_victims
from chivefall.scheduling._reservation import (
    make_reservation,
    renew_reservation,
    unreserved_capacity,
)
from chivefall.scheduling._round_state import RoundState
from chivefall.scheduling._start_history import StartHistory

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.model import Account, AccountId, JobId, JobSpec, WorkerId
    from chivefall.scheduling._cluster import ClusterView, QueuedJob, RunningJob, WorkerView
    from chivefall.scheduling._free_capacity import FreeCapacity
    from chivefall.scheduling._reservation import Reservation

__all__ = ["GuaranteePolicy"]

Shape = tuple[str, int, int, Adjacency]
CHECKPOINT_RETRY_SECONDS = 10.0  # until a checkpoint that was not carried out is requested again
MAX_RECLAIMS_PER_ROUND = 8  # the rest follows in the next round, which the checkpoints trigger
MIN_BACKFILL_SECONDS = 10.0  # shortest useful run: a checkpoint and a restore take about 3 s
MOVE_COOLDOWN_SECONDS = 600.0  # a moved job is not moved again before this


class GuaranteePolicy(SchedulingPolicy):
    """Enforces guaranteed shapes and starts other jobs in the remaining capacity.

    Besides the view, decisions depend on state that is kept in memory between rounds:
    observed run times, slow starts, the reservation, backfilled jobs, recent moves and
    checkpoint requests, and known workers. A new leader starts without this state. It
    then reserves for the first job that does not fit and may request a checkpoint
    twice, which is harmless.
    """

    def __init__(self) -> None:
        self.estimator = RunTimeEstimator()
        self.reservation: Reservation | None = None
        self.examined = 0
        self._requested_checkpoints: dict[JobId, tuple[float, float]] = {}
        self._start_history = StartHistory()
        self._backfilled: set[JobId] = set()
        self._moved_at: dict[JobId, float] = {}
        self._known_workers: dict[WorkerId, WorkerView] = {}
        self._known_accounts: dict[AccountId, Account] = {}
        self._infeasibility_reasons: dict[Shape, str | None] = {}

    def observe_finished(self, spec: JobSpec, seconds: float) -> None:
        """Record the total run time of a finished job."""
        self.estimator.observe_finished(spec, seconds)

    def plan(self, view: ClusterView, now: float) -> Plan:
        """Return the decisions of one scheduling round."""
        self.examined = 0
        if view.draining or not view.queued:
            self.reservation = None
            return Plan()
        rejections = self._rejections(view)
        self._start_history.observe(view.running, now)
        queued = [job for job in view.queued if job.job_id not in rejections]
        state = RoundState(
            view, self._being_checkpointed(view.running, now), self._cannot_checkpoint, now
        )
        waiting = self._start_entitled(state, queued)
        self._start_normal(state, waiting)
        for job_id in (*state.preemptions, *state.moves):
            self._requested_checkpoints[job_id] = (now, state.started_at(job_id))
        self.examined = state.examined
        return state.plan(rejections)

    def drain_order(self, view: ClusterView, now: float) -> tuple[JobId, ...]:
        """Return the jobs of a draining domain that can be checkpointed, by unsaved work."""
        ordered = drain_order(view.running, view.guarantees, self.estimator, now)
        return tuple(job.job_id for job in ordered if job.checkpointable)

    def _cannot_checkpoint(self, spec: JobSpec) -> bool:
        """Return whether jobs of a specification cannot be checkpointed in time.

        Non-idempotent jobs are never checkpointed, because a failed checkpoint may leave
        their outcome unknown.
        """
        return not spec.idempotent or self._start_history.starts_slowly(spec)

    def _rejections(self, view: ClusterView) -> dict[JobId, str]:
        """Return the jobs that can never run, with the reason.

        All workers seen so far count, because a lost worker may come back.
        """
        for worker in view.workers:
            known = self._known_workers.get(worker.worker)
            if known is None or known.accelerators != worker.accelerators:
                self._known_workers[worker.worker] = worker
                self._infeasibility_reasons.clear()
        if self._known_accounts != view.accounts:
            self._known_accounts = view.accounts
            self._infeasibility_reasons.clear()
        reasons = self._infeasibility_reasons
        rejections = {}
        for job in view.queued:
            spec = job.spec
            shape = (spec.account, spec.gang_size, spec.accelerators, spec.adjacency)
            if shape not in reasons:
                reasons[shape] = infeasibility_reason(
                    spec, self._known_workers.values(), view.accounts
                )
            if reasons[shape] is not None:
                rejections[job.job_id] = reasons[shape]
        return rejections

    def _being_checkpointed(self, running: Iterable[RunningJob], now: float) -> set[JobId]:
        """Return the jobs with a checkpoint in progress or recently requested."""
        being_checkpointed, requested = set(), {}
        for job in running:
            at, started_at = self._requested_checkpoints.get(
                job.job_id, (-CHECKPOINT_RETRY_SECONDS, None)
            )
            recent = started_at == job.started_at and now - at < CHECKPOINT_RETRY_SECONDS
            if recent:
                requested[job.job_id] = (at, started_at)
            if recent or job.checkpointing:
                being_checkpointed.add(job.job_id)
        self._requested_checkpoints = requested
        return being_checkpointed

    def _start_entitled(self, state: RoundState, queued: list[QueuedJob]) -> list[QueuedJob]:
        """Start, or hold placements for, urgent and guaranteed jobs; return the other jobs."""
        urgent = [job for job in queued if job.spec.urgency is Urgency.URGENT]
        normal = [job for job in queued if job.spec.urgency is not Urgency.URGENT]
        uncovered_urgent, waiting = [], []
        for jobs, remaining in ((urgent, uncovered_urgent), (normal, waiting)):
            for job in sorted(jobs, key=lambda item: item.submitted_at):
                covered = state.within_quota(job.spec) and state.ledger.admit(job)
                if not covered or not self._start_or_hold(state, job, covered=True):
                    remaining.append(job)
        for job in uncovered_urgent:
            if not state.within_quota(job.spec) or not self._start_or_hold(
                state, job, covered=False
            ):
                waiting.append(job)
        return waiting

    def _start_or_hold(self, state: RoundState, job: QueuedJob, *, covered: bool) -> bool:
        """Start an entitled job or hold a placement for it, preempting jobs if necessary.

        Returns whether the job needs no further handling in this round.
        """
        if covered:
            placement = state.find_guaranteed_placement(job)
        else:
            placement = state.free_capacity.find_placement(job.spec, job.avoid)
        if placement is not None:
            state.start(job, placement)
            return True
        placement = state.future_capacity.find_placement(job.spec, job.avoid)
        if placement is not None:
            state.hold(job, placement)
            return True
        if job.spec.accelerators == 0:
            return False
        return self._reclaim(state, job, covered=covered)

    def _reclaim(self, state: RoundState, job: QueuedJob, *, covered: bool) -> bool:
        spec = job.spec
        if state.reclaim_count >= MAX_RECLAIMS_PER_ROUND and spec.urgency is not Urgency.URGENT:
            return True  # Left to the next round.
        shape = (
            covered,
            spec.gang_size,
            spec.accelerators,
            spec.adjacency,
            state.ledger.displacements,
        )
        if shape in state.unreclaimable_shapes:
            return False

        def allowed(item: RunningJob) -> bool:
            return (covered or item.spec.urgency is not Urgency.URGENT) and (
                not state.ledger.is_protected(item)
            )

        choice = choose_victims(
            spec,
            state.future_capacity,
            state.victim_index,
            lambda item: item.checkpointable and allowed(item),
        )
        if choice is None:
            # Jobs that are still starting can be checkpointed soon; until then, the
            # placement is held.
            choice = choose_victims(spec, state.future_capacity, state.victim_index, allowed)
        if choice is None:
            state.unreclaimable_shapes.add(shape)
            return False
        state.preempt(choice.victims)
        state.hold(job, choice.placement)
        return True

    def _start_normal(self, state: RoundState, waiting: list[QueuedJob]) -> None:
        """Start other jobs by fair share, with a reservation for the first that does not fit."""
        self._backfilled &= {job.job_id for job in state.view.running}
        unreserved = self._update_reservation(state, waiting)
        handled = {name for name, _ in state.starts}
        if self.reservation is not None:
            handled.add(self.reservation.job_id)
        others = [job for job in waiting if job.job_id not in handled]
        for job in FairQueue(state, others):
            if not state.within_quota(job.spec):
                continue
            placement = (unreserved or state.free_capacity).find_placement(job.spec, job.avoid)
            if placement is None and self._ends_before_reservation(job, state.now):
                placement = state.free_capacity.find_placement(job.spec, job.avoid)
            elif placement is None and self._may_backfill(state, job):
                placement = state.free_capacity.find_placement(job.spec, job.avoid)
                if placement is not None:
                    self._backfilled.add(job.job_id)
            if placement is not None and not state.may_borrow(job.spec, placement):
                continue
            if placement is not None:
                state.start(job, placement)
                if unreserved is not None:
                    unreserved.allocate(placement)
            elif self.reservation is None and job.spec.accelerators > 0:
                self.reservation = make_reservation(
                    job, state.future_capacity, state.occupants, self.estimator, state.now
                )
                unreserved = self._hold_reservation(state, job)

    def _update_reservation(
        self, state: RoundState, waiting: list[QueuedJob]
    ) -> FreeCapacity | None:
        """Start the job that has a reservation, or renew the reservation.

        Returns the free capacity outside the reservation, or None without one.
        """
        old, self.reservation = self.reservation, None
        if old is None:
            return None
        job = next((job for job in waiting if job.job_id == old.job_id), None)
        if job is None or not state.within_quota(job.spec):
            return None
        placement = state.free_capacity.find_placement(job.spec, job.avoid)
        if placement is not None and state.may_borrow(job.spec, placement):
            state.start(job, placement)
            return None
        self.reservation = self._preempt_backfilled(state, job, old)
        if self.reservation is not None:
            return unreserved_capacity(self.reservation, job.spec, state.free_capacity, state.now)
        capacity, occupants = self._capacity_without_backfilled(state)
        self.reservation = renew_reservation(
            old, job, capacity, occupants, self.estimator, state.now
        )
        return self._hold_reservation(state, job)

    def _may_backfill(self, state: RoundState, job: QueuedJob) -> bool:
        """Return whether a job may use reserved accelerators regardless of its run time.

        Such a job is checkpointed as soon as this lets the reserved job start, so that
        reserved accelerators are not idle until then.
        """
        return (
            self.reservation is not None
            and self.reservation.starts_at - state.now > MIN_BACKFILL_SECONDS
            and not state.cannot_checkpoint(job.spec)
        )

    def _preempt_backfilled(
        self, state: RoundState, job: QueuedJob, old: Reservation
    ) -> Reservation | None:
        """Preempt backfilled jobs if this frees a placement for the reserved job."""
        choice = choose_victims(
            job.spec,
            state.future_capacity,
            state.victim_index,
            lambda item: (
                item.job_id in self._backfilled
                and item.checkpointable
                and not state.ledger.is_protected(item)
            ),
        )
        if choice is None or not state.may_borrow(job.spec, choice.placement):
            return None
        state.preempt(choice.victims)
        return old.with_placement(choice.placement, state.now)

    def _capacity_without_backfilled(
        self, state: RoundState
    ) -> tuple[FreeCapacity, list[RunningJob]]:
        """Return the free capacity and the running jobs as if no job had been backfilled."""
        capacity, others = state.future_capacity.copy(), []
        for item in state.occupants:
            if item.job_id in self._backfilled:
                capacity.release(item.placement)
            else:
                others.append(item)
        return capacity, others

    def _hold_reservation(self, state: RoundState, job: QueuedJob) -> FreeCapacity | None:
        """Move small jobs for the reserved job if that is worthwhile.

        Returns the free capacity outside the reservation, or None without one.
        """
        if self.reservation is None:
            return None
        self._move_small_jobs(state, job)
        return unreserved_capacity(self.reservation, job.spec, state.free_capacity, state.now)

    def _move_small_jobs(self, state: RoundState, job: QueuedJob) -> None:
        now = state.now
        self._moved_at = {
            name: at for name, at in self._moved_at.items() if now - at < MOVE_COOLDOWN_SECONDS
        }
        wait = self.reservation.starts_at - now
        movable = [
            item
            for item in state.staying
            if item.checkpointable
            and item.spec.accelerators > 0
            and item.job_id not in self._moved_at
            and (item.spec.account == job.spec.account or not state.ledger.is_protected(item))
        ]
        choice = choose_moves(job.spec, state.future_capacity, movable, wait, now)
        if choice is None:
            return
        state.move(choice.victims)
        self._moved_at.update((item.job_id, now) for item in choice.victims)
        self.reservation = self.reservation.with_placement(choice.placement, now)

    def _ends_before_reservation(self, job: QueuedJob, now: float) -> bool:
        """Return whether a job may be backfilled because it will end before the reserved start."""
        reservation = self.reservation
        if reservation is None or now > reservation.backfill_until:
            return False
        left = self.estimator.corrected_run_time(job.spec) - job.checkpointed_seconds
        return now + left <= reservation.starts_at
