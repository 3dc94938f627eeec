"""The production policy: guarantees, reservations, backfill and defragmentation."""

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
from chivefall.scheduling._reservation import hold_reservation, renew, reserve
from chivefall.scheduling._round import Round
from chivefall.scheduling._start_history import StartHistory

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.model import Account, AccountId, JobId, JobSpec, WorkerId
    from chivefall.scheduling._cluster import ClusterView, QueuedJob, RunningJob, WorkerView
    from chivefall.scheduling._free_capacity import FreeCapacity
    from chivefall.scheduling._reservation import Reservation

__all__ = ["GuaranteePolicy"]

Shape = tuple[str, int, int, Adjacency]
ORDER_EXPIRY = 10.0  # seconds after which a checkpoint that did not happen is ordered again
MAX_RECLAIMS = 8  # in one round; the checkpoints that they cause bring the next round
MIN_BACKFILL_SECONDS = 10.0  # seconds; a checkpoint and a restore take about 3 s
MOVE_PAUSE = 600.0  # seconds during which a moved job is not moved again


class GuaranteePolicy(SchedulingPolicy):
    """Enforces guaranteed shapes and fills the remaining room.

    The decisions are a function of the view, but for four memories: learned run
    times, the reservation, the checkpoints ordered lately and the workers seen. A
    new leader starts without them; it then reserves for the first job that does
    not fit, and a checkpoint that is ordered twice does no harm.
    """

    def __init__(self) -> None:
        self.estimator = RunTimeEstimator()
        self.reservation: Reservation | None = None
        self.examined = 0
        self._ordered: dict[JobId, tuple[float, float]] = {}
        self._starts = StartHistory()
        self._backfilled: set[JobId] = set()
        self._moved: dict[JobId, float] = {}
        self._seen: dict[WorkerId, WorkerView] = {}
        self._accounts: dict[AccountId, Account] = {}
        self._reasons: dict[Shape, str | None] = {}

    def observe_finished(self, spec: JobSpec, seconds: float) -> None:
        """Learn from the whole run time of a finished job."""
        self.estimator.observe_finished(spec, seconds)

    def plan(self, view: ClusterView, now: float) -> Plan:
        """Return the decisions of one round."""
        self.examined = 0
        if view.draining or not view.queued:
            self.reservation = None
            return Plan()
        rejections = self._rejections(view)
        self._starts.observe(view.running, now)
        queued = [job for job in view.queued if job.job_id not in rejections]
        current = Round(view, self._leaving(view.running, now), self._cannot_checkpoint, now)
        waiting = self._start_entitled(current, queued)
        self._start_normal(current, waiting)
        for job_id in (*current.preemptions, *current.moves):
            self._ordered[job_id] = (now, current.started_at(job_id))
        self.examined = current.examined
        return current.plan(rejections)

    def drain_order(self, view: ClusterView, now: float) -> tuple[JobId, ...]:
        """Return the jobs to checkpoint in a leaving domain by the work at risk."""
        ordered = drain_order(view.running, view.guarantees, self.estimator, now)
        return tuple(job.job_id for job in ordered if job.checkpointable)

    def _cannot_checkpoint(self, spec: JobSpec) -> bool:
        """Return whether jobs like this one cannot be checkpointed in time.

        The checkpoint of a non-idempotent job may leave it without a known outcome.
        """
        return not spec.idempotent or self._starts.is_slow(spec)

    def _rejections(self, view: ClusterView) -> dict[JobId, str]:
        """Return the jobs that can never run; a worker that is gone may return."""
        for worker in view.workers:
            known = self._seen.get(worker.worker)
            if known is None or known.accelerators != worker.accelerators:
                self._seen[worker.worker] = worker
                self._reasons.clear()
        if self._accounts != view.accounts:
            self._accounts = view.accounts
            self._reasons.clear()
        reasons = self._reasons
        rejections = {}
        for job in view.queued:
            spec = job.spec
            shape = (spec.account, spec.gang_size, spec.accelerators, spec.adjacency)
            if shape not in reasons:
                reasons[shape] = infeasibility_reason(spec, self._seen.values(), view.accounts)
            if reasons[shape] is not None:
                rejections[job.job_id] = reasons[shape]
        return rejections

    def _leaving(self, running: Iterable[RunningJob], now: float) -> set[JobId]:
        """Return the jobs whose checkpoint is under way or was ordered lately."""
        leaving, ordered = set(), {}
        for job in running:
            at, started_at = self._ordered.get(job.job_id, (-ORDER_EXPIRY, None))
            recent = started_at == job.started_at and now - at < ORDER_EXPIRY
            if recent:
                ordered[job.job_id] = (at, started_at)
            if recent or job.checkpointing:
                leaving.add(job.job_id)
        self._ordered = ordered
        return leaving

    def _start_entitled(self, current: Round, queued: list[QueuedJob]) -> list[QueuedJob]:
        """Start or make room for urgent and guaranteed jobs; return the others."""
        urgent = [job for job in queued if job.spec.urgency is Urgency.URGENT]
        normal = [job for job in queued if job.spec.urgency is not Urgency.URGENT]
        borrowing, waiting = [], []
        for jobs, rest in ((urgent, borrowing), (normal, waiting)):
            for job in sorted(jobs, key=lambda item: item.submitted_at):
                covered = current.within_quota(job.spec) and current.ledger.admit(job)
                if not covered or not self._serve(current, job, covered=True):
                    rest.append(job)
        for job in borrowing:
            if not current.within_quota(job.spec) or not self._serve(current, job, covered=False):
                waiting.append(job)
        return waiting

    def _serve(self, current: Round, job: QueuedJob, *, covered: bool) -> bool:
        """Start an entitled job, or hold a place that is about to be free."""
        if covered:
            placement = current.place_guaranteed(job)
        else:
            placement = current.room.find_placement(job.spec, job.avoid)
        if placement is not None:
            current.start(job, placement)
            return True
        placement = current.future.find_placement(job.spec, job.avoid)
        if placement is not None:
            current.hold(job, placement)
            return True
        if job.spec.accelerators == 0:
            return False
        return self._reclaim(current, job, covered=covered)

    def _reclaim(self, current: Round, job: QueuedJob, *, covered: bool) -> bool:
        spec = job.spec
        if current.reclaims >= MAX_RECLAIMS and spec.urgency is not Urgency.URGENT:
            return True
        shape = (
            covered,
            spec.gang_size,
            spec.accelerators,
            spec.adjacency,
            current.ledger.displacements,
        )
        if shape in current.unreclaimable:
            return False

        def allowed(item: RunningJob) -> bool:
            return (covered or item.spec.urgency is not Urgency.URGENT) and (
                not current.ledger.is_protected(item)
            )

        choice = choose_victims(
            spec,
            current.future,
            current.victims,
            lambda item: item.checkpointable and allowed(item),
        )
        if choice is None:
            # Jobs that still start can be checkpointed soon; their place is held until then.
            choice = choose_victims(spec, current.future, current.victims, allowed)
        if choice is None:
            current.unreclaimable.add(shape)
            return False
        current.preempt(choice.victims)
        current.hold(job, choice.placement)
        return True

    def _start_normal(self, current: Round, waiting: list[QueuedJob]) -> None:
        """Start other jobs by fair share around the reservation of the first that waits."""
        self._backfilled &= {job.job_id for job in current.view.running}
        outside = self._renew_reservation(current, waiting)
        handled = {name for name, _ in current.starts}
        if self.reservation is not None:
            handled.add(self.reservation.job_id)
        others = [job for job in waiting if job.job_id not in handled]
        for job in FairQueue(current, others):
            if not current.within_quota(job.spec):
                continue
            placement = (outside or current.room).find_placement(job.spec, job.avoid)
            if placement is None and self._ends_in_time(job, current.now):
                placement = current.room.find_placement(job.spec, job.avoid)
            elif placement is None and self._may_backfill(current, job):
                placement = current.room.find_placement(job.spec, job.avoid)
                if placement is not None:
                    self._backfilled.add(job.job_id)
            if placement is not None and not current.may_borrow(job.spec, placement):
                continue
            if placement is not None:
                current.start(job, placement)
                if outside is not None:
                    outside.allocate(placement)
            elif self.reservation is None and job.spec.accelerators > 0:
                self.reservation = reserve(
                    job, current.future, current.occupants, self.estimator, current.now
                )
                outside = self._keep(current, job)

    def _renew_reservation(self, current: Round, waiting: list[QueuedJob]) -> FreeCapacity | None:
        """Start the job that has a reservation, or estimate its start again."""
        old, self.reservation = self.reservation, None
        if old is None:
            return None
        job = next((job for job in waiting if job.job_id == old.job_id), None)
        if job is None or not current.within_quota(job.spec):
            return None
        placement = current.room.find_placement(job.spec, job.avoid)
        if placement is not None and current.may_borrow(job.spec, placement):
            current.start(job, placement)
            return None
        self.reservation = self._preempt_backfilled(current, job, old)
        if self.reservation is not None:
            return hold_reservation(self.reservation, job.spec, current.room, current.now)
        room, occupants = self._without_backfilled(current)
        self.reservation = renew(old, job, room, occupants, self.estimator, current.now)
        return self._keep(current, job)

    def _may_backfill(self, current: Round, job: QueuedJob) -> bool:
        """Return whether a job may use the reserved place until its owner needs it.

        Such a job is checkpointed as soon as its room completes the place, so its
        run time does not matter and the place is not idle until then.
        """
        return (
            self.reservation is not None
            and self.reservation.starts_at - current.now > MIN_BACKFILL_SECONDS
            and not current.cannot_checkpoint(job.spec)
        )

    def _preempt_backfilled(
        self, current: Round, job: QueuedJob, old: Reservation
    ) -> Reservation | None:
        """Checkpoint backfilled jobs if their room completes a place for the owner."""
        choice = choose_victims(
            job.spec,
            current.future,
            current.victims,
            lambda item: (
                item.job_id in self._backfilled
                and item.checkpointable
                and not current.ledger.is_protected(item)
            ),
        )
        if choice is None or not current.may_borrow(job.spec, choice.placement):
            return None
        current.preempt(choice.victims)
        return old.moved_to(choice.placement, current.now)

    def _without_backfilled(self, current: Round) -> tuple[FreeCapacity, list[RunningJob]]:
        """Return the room and the jobs in it as if the backfilled ones had left."""
        room, staying = current.future.copy(), []
        for item in current.occupants:
            if item.job_id in self._backfilled:
                room.release(item.placement)
            else:
                staying.append(item)
        return room, staying

    def _keep(self, current: Round, job: QueuedJob) -> FreeCapacity | None:
        """Move small jobs if that pays, and return the room outside of the reservation."""
        if self.reservation is None:
            return None
        self._move(current, job)
        return hold_reservation(self.reservation, job.spec, current.room, current.now)

    def _move(self, current: Round, job: QueuedJob) -> None:
        now = current.now
        self._moved = {name: at for name, at in self._moved.items() if now - at < MOVE_PAUSE}
        wait = self.reservation.starts_at - now
        movable = [
            item
            for item in current.staying
            if item.checkpointable
            and item.spec.accelerators > 0
            and item.job_id not in self._moved
            and (item.spec.account == job.spec.account or not current.ledger.is_protected(item))
        ]
        choice = choose_moves(job.spec, current.future, movable, wait, now)
        if choice is None:
            return
        current.move(choice.victims)
        self._moved.update((item.job_id, now) for item in choice.victims)
        self.reservation = self.reservation.moved_to(choice.placement, now)

    def _ends_in_time(self, job: QueuedJob, now: float) -> bool:
        """Return whether a job may use the reserved place before its owner needs it."""
        reservation = self.reservation
        if reservation is None or now > reservation.latest:
            return False
        left = self.estimator.run_time(job.spec) - job.checkpointed_seconds
        return now + left <= reservation.starts_at
