"""Workers of the failure domain, their leases and their reports."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from circuits import handler

from chivefall.config import Address
from chivefall.controllers._base import Controller
from chivefall.events import instances_listed, task_reported, worker_lost
from chivefall.model import (
    AttemptId,
    Epoch,
    InstanceKind,
    InstanceStatus,
    TaskState,
    WorkerId,
    WorkerState,
)
from chivefall.runtime import sleep
from chivefall.scheduling import WorkerView
from chivefall.telemetry import LogEvent, log_event
from chivefall.workers import (
    Accepted,
    CommandOutcome,
    Instance,
    LeaseReport,
    LeaseRequest,
    Refusal,
    Refused,
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

RETRY_DELAY = 1.0  # seconds between attempts to reach a lost worker


@dataclass
class _Worker:
    """A worker and the tasks that it reported."""

    instance: Instance
    address: Address
    state: WorkerState = WorkerState.HEALTHY
    seen: int = 0
    tasks: dict[AttemptId, TaskReport] = field(default_factory=dict)
    reported: bool = False

    @property
    def free(self) -> int:
        """Return the accelerators that no live task holds."""
        held = sum(task.accelerators for task in self.tasks.values() if not task.state.is_final)
        return self.instance.accelerators - held


class WorkerController(Controller):
    """Renews the leases of the domain's workers while this instance leads."""

    def __init__(
        self, clock: Clock, cfg: Settings, client: WorkerClient, leader: LeaderController
    ) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._client = client
        self._leader = leader
        self._workers: dict[WorkerId, _Worker] = {}

    def start(self) -> None:
        """Begin to read the platform's list."""
        self.every(self._cfg.timing.instance_list, lambda _: self.run_task(self._list_instances()))

    def views(self) -> tuple[WorkerView, ...]:
        """Return the workers as the scheduling policy sees them."""
        return tuple(
            WorkerView(
                name,
                worker.instance.rack,
                worker.instance.accelerators,
                worker.free,
                worker.state if worker.reported else WorkerState.LOST,
            )
            for name, worker in self._workers.items()
        )

    @property
    def all_reported(self) -> bool:
        """Return whether every worker reported its tasks to this leader or is lost."""
        return bool(self._workers) and all(
            worker.reported or worker.state is WorkerState.LOST for worker in self._workers.values()
        )

    def tasks_of(self, attempt: AttemptId) -> dict[WorkerId, TaskReport]:
        """Return the reports of an attempt by worker."""
        return {
            name: worker.tasks[attempt]
            for name, worker in self._workers.items()
            if attempt in worker.tasks
        }

    async def reserve(self, name: WorkerId, share: TaskShare) -> CommandOutcome:
        """Hold accelerators for a share without running it."""
        worker = self._workers[name]
        # Counted as held from now on, so that the next round does not plan with it.
        worker.tasks[share.attempt] = TaskReport(
            share.attempt, share.job_id, TaskState.RESERVED, share.accelerators, share.account
        )
        outcome = await self._client.reserve(
            worker.address, self._leader.epoch, share, self._cfg.timing.gang_lease
        )
        if isinstance(outcome, Refused):
            worker.tasks.pop(share.attempt, None)
        return self._note(worker, outcome)

    async def commit(self, name: WorkerId, attempt: AttemptId) -> CommandOutcome:
        """Run a reserved share under the gang lease."""
        worker = self._workers[name]
        outcome = await self._client.commit(
            worker.address, self._leader.epoch, attempt, self._cfg.timing.gang_lease
        )
        return self._note(worker, outcome)

    async def confirm(self, name: WorkerId, attempt: AttemptId) -> CommandOutcome:
        """Tell a share that its whole gang runs."""
        worker = self._workers[name]
        outcome = await self._client.confirm(worker.address, self._leader.epoch, attempt)
        return self._note(worker, outcome)

    async def checkpoint(self, name: WorkerId, attempt: AttemptId) -> CommandOutcome:
        """Save a share's state and end it."""
        worker = self._workers[name]
        outcome = await self._client.checkpoint(worker.address, self._leader.epoch, attempt)
        return self._note(worker, outcome)

    async def stop_task(self, name: WorkerId, attempt: AttemptId) -> CommandOutcome:
        """End a share or release its reservation."""
        worker = self._workers.get(name)
        if worker is None:
            return Unreachable(f"{name} is not a worker of this failure domain", sent=False)
        outcome = await self._client.stop(worker.address, self._leader.epoch, attempt)
        return self._note(worker, outcome)

    def _note(self, worker: _Worker, outcome: CommandOutcome) -> CommandOutcome:
        if isinstance(outcome, Accepted) and outcome.report is not None:
            worker.tasks[outcome.report.attempt] = outcome.report
        elif isinstance(outcome, Refused):
            self._check_epoch(outcome)
        return outcome

    def _check_epoch(self, refused: Refused) -> None:
        if refused.refusal is Refusal.STALE_EPOCH and refused.epoch > self._leader.epoch:
            self._leader.step_down(f"a worker has seen epoch {refused.epoch}")

    async def _list_instances(self) -> None:
        listed = await self._client.list_instances()
        if isinstance(listed, Unreachable):
            return
        self.fire(instances_listed(listed))
        for instance in listed:
            if (
                instance.kind is InstanceKind.WORKER
                and instance.failure_domain == self._cfg.failure_domain
            ):
                self._update_worker(instance)

    def _update_worker(self, instance: Instance) -> None:
        name = instance.worker_id
        worker = self._workers.get(name)
        if worker is None:
            worker = _Worker(instance, Address.parse(instance.address))
            self._workers[name] = worker
            log_event(LogEvent.WORKER_JOINED, worker=name)
            if self._leader.leads:
                self.run_task(self._hold_lease(worker, self._leader.epoch))
        worker.instance = instance
        if instance.status is InstanceStatus.LEAVING:
            worker.state = WorkerState.LEAVING

    @handler("leadership_gained")
    def _on_leadership_gained(self, epoch: Epoch) -> None:
        for worker in self._workers.values():
            worker.seen = 0
            worker.reported = False
            worker.tasks.clear()
            self.run_task(self._hold_lease(worker, epoch))

    async def _hold_lease(self, worker: _Worker, epoch: Epoch) -> None:
        """Renew one worker's leases for as long as this epoch leads."""
        timing = self._cfg.timing
        while not self._stopped and self._leader.epoch == epoch:
            request = LeaseRequest(
                self._cfg.failure_domain,
                epoch,
                timing.worker_lease,
                worker.seen,
                timing.worker_poll if worker.reported else 0.0,
            )
            outcome = await self._client.renew(worker.address, request)
            if self._leader.epoch != epoch:
                return
            if isinstance(outcome, LeaseReport):
                self._accept_report(worker, outcome)
            elif isinstance(outcome, Refused):
                self._check_epoch(outcome)
            else:
                self._lose(worker)
                await sleep(self.clock, RETRY_DELAY)

    def _accept_report(self, worker: _Worker, report: LeaseReport) -> None:
        if worker.state is WorkerState.LOST:
            worker.state = WorkerState.HEALTHY
            log_event(LogEvent.WORKER_RECOVERED, worker=report.worker)
        worker.seen = report.sequence
        worker.reported = True
        for task in report.tasks:
            worker.tasks[task.attempt] = task
            self.fire(task_reported(report.worker, task))
        self._forget_final(worker)

    def _forget_final(self, worker: _Worker) -> None:
        for attempt, task in list(worker.tasks.items()):
            if task.state.is_final:
                del worker.tasks[attempt]

    def _lose(self, worker: _Worker) -> None:
        if worker.state is WorkerState.LOST:
            return
        worker.state = WorkerState.LOST
        worker.seen = 0
        worker.reported = False
        log_event(LogEvent.WORKER_LOST, worker=worker.instance.instance)
        self.fire(worker_lost(worker.instance.worker_id))
