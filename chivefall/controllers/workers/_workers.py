"""Workers of the failure domain, their leases and their reports."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from circuits import handler

from chivefall.config import Address
from chivefall.controllers._base import Controller
from chivefall.controllers.workers._quarantine import Quarantine
from chivefall.controllers.workers._table import Worker, tasks_lost_by_restart
from chivefall.events import instances_listed, task_reported, worker_lost, workers_changed
from chivefall.model import (
    AttemptId,
    DomainId,
    Epoch,
    InstanceKind,
    InstanceStatus,
    JobSpec,
    TaskState,
    WorkerId,
    WorkerState,
)
from chivefall.runtime import sleep
from chivefall.scheduling import WorkerView, infeasibility_reason
from chivefall.telemetry import LogEvent, log_event
from chivefall.workers import (
    CommandAccepted,
    CommandOutcome,
    CommandRefusalReason,
    CommandRefused,
    Instance,
    LeaseReport,
    LeaseRequest,
    TaskReport,
    TaskShare,
    Unreachable,
    WorkerClient,
)

if TYPE_CHECKING:
    from chivefall.config import Settings
    from chivefall.controllers._leader import LeaderController
    from chivefall.runtime import Clock

__all__ = ["WorkerController"]

RENEWAL_RETRY_DELAY_SECONDS = 1.0  # after a failed or refused renewal
FAILED_RENEWALS_UNTIL_LOST = 3  # one lost reply must not stop the gangs of a worker
RENEWAL_DELAY_MARGIN_SECONDS = 4.0  # time that a renewal may take to reach the worker
LATE_REPLY_WINDOW_SECONDS = 10.0  # time in which late replies about an ended attempt are ignored


class WorkerController(Controller):
    """Renews the leases of the domain's workers while this instance leads.

    Attributes
    ----------
    quarantine : Quarantine
        Failures of the workers since this instance gained leadership.
    leadership_gained_at : float
        Time of the last gain of leadership, or of the construction.
    workers_by_domain : dict
        All listed workers of the region by failure domain, with all accelerators free.
    """

    def __init__(
        self, clock: Clock, cfg: Settings, client: WorkerClient, leader: LeaderController
    ) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._client = client
        self._leader = leader
        self._workers: dict[WorkerId, Worker] = {}
        self._keep_finished_tasks = True
        self.quarantine = Quarantine()
        self.leadership_gained_at = clock.now()
        self.workers_by_domain: dict[DomainId, tuple[WorkerView, ...]] = {}

    def start(self) -> None:
        """Start to poll the platform's list of instances."""
        self.every(self._cfg.timing.instance_list, lambda _: self.run_task(self._list_instances()))

    def views(self) -> tuple[WorkerView, ...]:
        """Return the workers for the scheduling policy."""
        now = self.clock.now()
        return tuple(
            WorkerView(
                name,
                worker.instance.rack,
                worker.instance.accelerators,
                max(0, worker.free),
                self._state(name, worker, now),
            )
            for name, worker in self._workers.items()
        )

    def _state(self, name: WorkerId, worker: Worker, now: float) -> WorkerState:
        if worker.lost or worker.failed_renewals or not worker.reported:
            return WorkerState.LOST
        if worker.leaving or not worker.listed:
            return WorkerState.LEAVING
        return self.quarantine.state(name, now)

    def all_reported(self, epoch: Epoch) -> bool:
        """Return whether every worker reported its tasks under an epoch or is lost.

        Reports from an earlier leadership of this instance do not count. They may
        still be stored, because circuits calls the handlers of ``leadership_gained``
        in no fixed order.
        """
        return bool(self._workers) and all(
            worker.renewal_epoch == epoch and (worker.reported or worker.lost)
            for worker in self._workers.values()
        )

    def lost(self) -> set[WorkerId]:
        """Return the workers that no longer respond."""
        return {name for name, worker in self._workers.items() if worker.lost}

    def leaving(self) -> set[WorkerId]:
        """Return the workers whose jobs have to move to other workers."""
        return {n for n, worker in self._workers.items() if worker.leaving or not worker.listed}

    def lease_end(self, name: WorkerId) -> float:
        """Return the time by which a worker's leases have expired."""
        worker = self._workers.get(name)
        return worker.lease_end if worker else self.leadership_gained_at + self._max_lease_seconds

    def has_unfinished_task(self, name: WorkerId, attempt: AttemptId) -> bool:
        """Return whether a worker has, or may have, an unfinished task of an attempt."""
        worker = self._workers.get(name)
        task = worker.tasks.get(attempt) if worker else None
        return task is not None and not task.state.is_final

    def tasks(self) -> dict[tuple[WorkerId, AttemptId], TaskReport]:
        """Return the last report of every task."""
        return {
            (name, attempt): task
            for name, worker in self._workers.items()
            for attempt, task in worker.tasks.items()
        }

    def remove_task(self, name: WorkerId, attempt: AttemptId) -> None:
        """Release a share that its worker does not know or whose lease has expired."""
        worker = self._workers.get(name)
        if worker is not None and worker.tasks.pop(attempt, None) is not None:
            self.fire(workers_changed())

    def drop_finished_tasks(self) -> None:
        """Drop the reports of finished tasks, now and after each later report.

        Until then they are kept for a takeover, which matches them with the job records.
        """
        self._keep_finished_tasks = False
        for worker in self._workers.values():
            self._prune_tasks(worker)

    def mark_reserved(self, name: WorkerId, share: TaskShare) -> None:
        """Count a share's accelerators as reserved, before the reservation is sent.

        The next round does not plan with them. A reservation whose reply is lost
        stays counted until it is released.
        """
        worker = self._workers.get(name)
        if worker is not None:
            worker.tasks[share.attempt] = TaskReport(
                share.attempt, share.job_id, TaskState.RESERVED, share.accelerators, share.account
            )

    def infeasibility_reason(self, spec: JobSpec) -> str | None:
        """Return why a job fits no failure domain of the region, or None."""
        reasons = [
            infeasibility_reason(spec, workers, {}) for workers in self.workers_by_domain.values()
        ]
        return None if None in reasons else next(iter(reasons), None)

    async def reserve(self, name: WorkerId, share: TaskShare) -> CommandOutcome:
        """Reserve accelerators for a share without running it."""
        worker = self._workers.get(name)
        if worker is None:
            return _unknown_worker(name)
        outcome = await self._client.reserve(
            worker.address, self._leader.epoch, share, self._cfg.timing.gang_lease
        )
        refused = (
            isinstance(outcome, CommandRefused)
            and outcome.refusal is not CommandRefusalReason.DUPLICATE
        )
        if refused or (isinstance(outcome, Unreachable) and not outcome.sent):
            worker.tasks.pop(share.attempt, None)
        return self._record_outcome(worker, outcome)

    async def commit(self, name: WorkerId, attempt: AttemptId) -> CommandOutcome:
        """Run a reserved share; it ends with the gang lease unless it is confirmed."""
        worker = self._workers.get(name)
        if worker is None:
            return _unknown_worker(name)
        outcome = await self._client.commit(
            worker.address, self._leader.epoch, attempt, self._cfg.timing.gang_lease
        )
        return self._record_outcome(worker, outcome)

    async def confirm(self, name: WorkerId, attempt: AttemptId) -> CommandOutcome:
        """Confirm to a share that its whole gang runs."""
        worker = self._workers.get(name)
        if worker is None:
            return _unknown_worker(name)
        outcome = await self._client.confirm(worker.address, self._leader.epoch, attempt)
        return self._record_outcome(worker, outcome)

    async def checkpoint(self, name: WorkerId, attempt: AttemptId) -> CommandOutcome:
        """Save a share's state and end it."""
        worker = self._workers.get(name)
        if worker is None:
            return _unknown_worker(name)
        outcome = await self._client.checkpoint(worker.address, self._leader.epoch, attempt)
        return self._record_outcome(worker, outcome)

    async def stop_task(self, name: WorkerId, attempt: AttemptId) -> CommandOutcome:
        """End a share or release its reservation."""
        worker = self._workers.get(name)
        if worker is None:
            return _unknown_worker(name)
        outcome = await self._client.stop(worker.address, self._leader.epoch, attempt)
        return self._record_outcome(worker, outcome)

    def _record_outcome(self, worker: Worker, outcome: CommandOutcome) -> CommandOutcome:
        if isinstance(outcome, CommandAccepted) and outcome.report is not None:
            worker.record_report(outcome.report, self.clock.now())
        elif isinstance(outcome, CommandRefused):
            self._check_epoch(outcome)
        return outcome

    def _check_epoch(self, refused: CommandRefused) -> None:
        if (
            refused.refusal is CommandRefusalReason.STALE_EPOCH
            and refused.epoch > self._leader.epoch
        ):
            self._leader.step_down(f"a worker has seen epoch {refused.epoch}")

    async def _list_instances(self) -> None:
        listed = await self._client.list_instances()
        if isinstance(listed, Unreachable):
            return
        self.fire(instances_listed(listed))
        self.workers_by_domain = _empty_workers_by_domain(listed)
        own = [
            instance
            for instance in listed
            if instance.kind is InstanceKind.WORKER
            and instance.failure_domain == self._cfg.failure_domain
        ]
        for instance in own:
            self._update_worker(instance)
        self._update_unlisted({instance.worker_id for instance in own})

    def _update_worker(self, instance: Instance) -> None:
        name = instance.worker_id
        worker = self._workers.get(name)
        if worker is None:
            worker = Worker(instance, Address.parse(instance.address))
            self._workers[name] = worker
            log_event(LogEvent.WORKER_JOINED, worker=name)
            if self._leader.leads:
                self._start_renewals(worker, self._leader.epoch)
        leaving = instance.status is InstanceStatus.LEAVING
        if leaving != worker.leaving or not worker.listed:
            self.fire(workers_changed())
        worker.leaving, worker.listed = leaving, True
        worker.instance = instance
        worker.address = Address.parse(instance.address)

    def _update_unlisted(self, listed: set[WorkerId]) -> None:
        """Treat unlisted workers as leaving; remove each one once no task can run on it."""
        now = self.clock.now()
        for name, worker in list(self._workers.items()):
            if name in listed:
                continue
            if worker.listed:
                worker.listed = False
                self.fire(workers_changed())
            unfinished = any(not task.state.is_final for task in worker.tasks.values())
            if (worker.lost and now > worker.lease_end) or (worker.reported and not unfinished):
                del self._workers[name]
                log_event(LogEvent.WORKER_FORGOTTEN, worker=name)

    @property
    def _max_lease_seconds(self) -> float:
        return self._cfg.timing.worker_lease + RENEWAL_DELAY_MARGIN_SECONDS

    @handler("leadership_gained")
    def _on_leadership_gained(self, epoch: Epoch) -> None:
        self.leadership_gained_at = self.clock.now()
        self._keep_finished_tasks = True
        self.quarantine = Quarantine()
        for worker in self._workers.values():
            self._start_renewals(worker, epoch)

    @handler("leadership_lost")
    def _on_leadership_lost(self, _reason: str) -> None:
        self._keep_finished_tasks = True

    def _start_renewals(self, worker: Worker, epoch: Epoch) -> None:
        if worker.renewal_epoch != epoch:
            worker.renewal_epoch = epoch
            worker.last_sequence = worker.failed_renewals = 0
            worker.connections.clear()
            worker.reported = worker.lost = False
            worker.tasks.clear()
            worker.ended_at.clear()
            self.run_task(self._renew_leases(worker, epoch))

    async def _renew_leases(self, worker: Worker, epoch: Epoch) -> None:
        """Renew one worker's leases while this instance leads under an epoch."""
        timing = self._cfg.timing
        name = worker.instance.worker_id
        while not self._stopped and self._leader.epoch == epoch:
            if self._workers.get(name) is not worker:
                return
            responsive = worker.reported and not worker.failed_renewals
            # An unresponsive worker is polled without renewing its leases, so that
            # they expire at a known time.
            ttl = 0.0 if worker.failed_renewals else timing.worker_lease
            if ttl:
                # Leases that a previous leader renewed expire earlier.
                worker.lease_end = self.clock.now() + ttl + RENEWAL_DELAY_MARGIN_SECONDS
            request = LeaseRequest(
                self._cfg.failure_domain,
                epoch,
                ttl,
                worker.last_sequence,
                timing.worker_poll if responsive else 0.0,
            )
            connections = worker.connections if worker.last_sequence else None
            outcome = await self._client.renew(worker.address, request, connections)
            if self._leader.epoch != epoch:
                return
            if isinstance(outcome, LeaseReport):
                self._accept_report(worker, outcome)
            elif connections is not None and isinstance(outcome, Unreachable) and not outcome.sent:
                # The worker may have restarted; a complete report shows whether it has.
                worker.last_sequence = 0
            elif isinstance(outcome, CommandRefused):
                self._check_epoch(outcome)
                await sleep(self.clock, RENEWAL_RETRY_DELAY_SECONDS)
            else:
                self._count_failure(worker)
                await sleep(self.clock, RENEWAL_RETRY_DELAY_SECONDS)

    def _accept_report(self, worker: Worker, report: LeaseReport) -> None:
        if worker.lost:
            log_event(LogEvent.WORKER_RECOVERED, worker=report.worker)
        changed = worker.lost or worker.failed_renewals or not worker.reported
        worker.lost, worker.failed_renewals, worker.reported = False, 0, True
        now = self.clock.now()
        tasks = (
            report.tasks
            if worker.last_sequence
            else (*report.tasks, *tasks_lost_by_restart(worker, report))
        )
        worker.last_sequence = report.sequence
        if report.connection not in worker.connections:
            worker.connections.append(report.connection)
        for task in tasks:
            worker.record_report(task, now)
            self.fire(task_reported(report.worker, task))
        if changed or any(task.state.is_final for task in tasks):
            self.fire(workers_changed())
        if not self._keep_finished_tasks:
            self._prune_tasks(worker)

    def _prune_tasks(self, worker: Worker) -> None:
        """Drop reports of finished tasks, and end times too old to be needed for late replies."""
        for attempt, task in list(worker.tasks.items()):
            if task.state.is_final:
                del worker.tasks[attempt]
        limit = self.clock.now() - LATE_REPLY_WINDOW_SECONDS
        for attempt, ended_at in list(worker.ended_at.items()):
            if ended_at < limit:
                del worker.ended_at[attempt]

    def _count_failure(self, worker: Worker) -> None:
        worker.failed_renewals += 1
        # A restarted worker numbers its reports from the beginning, so the next
        # report has to be complete.
        worker.last_sequence = 0
        if worker.lost or worker.failed_renewals < FAILED_RENEWALS_UNTIL_LOST:
            return
        worker.lost = True
        worker.reported = False
        log_event(LogEvent.WORKER_LOST, worker=worker.instance.instance)
        self.fire(worker_lost(worker.instance.worker_id))


def _empty_workers_by_domain(
    listed: tuple[Instance, ...],
) -> dict[DomainId, tuple[WorkerView, ...]]:
    """Return the listed workers of each failure domain, with all accelerators free."""
    region: dict[DomainId, list[WorkerView]] = defaultdict(list)
    for item in listed:
        if item.kind is InstanceKind.WORKER:
            view = WorkerView(item.worker_id, item.rack, item.accelerators, item.accelerators)
            region[item.failure_domain].append(view)
    return {domain: tuple(views) for domain, views in region.items()}


def _unknown_worker(name: WorkerId) -> Unreachable:
    return Unreachable(f"{name} is not a worker of this failure domain", sent=False)
