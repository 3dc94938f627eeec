"""Workers as their leader knows them."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from chivefall.config import Address
from chivefall.model import AttemptId, Epoch, TaskState
from chivefall.workers import Instance, LeaseReport, TaskReport

__all__ = ["Worker", "tasks_lost_by_restart"]


@dataclass
class Worker:
    """A worker and the tasks that it reported.

    Attributes
    ----------
    failed_renewals : int
        Renewals in a row that were not answered.
    lease_end : float
        Time after which no lease that this leader renewed is in force.
    renewal_epoch : Epoch
        Epoch under which its leases are renewed now; each needs one loop only.
    ended : dict
        Time at which each of the latest attempts was seen to have ended.
    """

    instance: Instance
    address: Address
    last_sequence: int = 0
    tasks: dict[AttemptId, TaskReport] = field(default_factory=dict)
    ended: dict[AttemptId, float] = field(default_factory=dict)
    reported: bool = False
    failed_renewals: int = 0
    lost: bool = False
    leaving: bool = False
    listed: bool = True
    lease_end: float = 0.0
    renewal_epoch: Epoch = Epoch(0)

    @property
    def free(self) -> int:
        """Return the accelerators that no live task holds."""
        held = sum(task.accelerators for task in self.tasks.values() if not task.state.is_final)
        return self.instance.accelerators - held

    def record_report(self, task: TaskReport, now: float) -> None:
        """Store a task's report unless a later one is known."""
        known = self.tasks.get(task.attempt)
        if task.attempt in self.ended and not task.state.is_final:
            return
        if known is not None and task.stage < known.stage:
            return
        self.tasks[task.attempt] = task
        if task.state.is_final:
            self.ended.setdefault(task.attempt, now)


def tasks_lost_by_restart(worker: Worker, report: LeaseReport) -> tuple[TaskReport, ...]:
    """Return as stopped the tasks that a restarted worker does not know any more."""
    known = {task.attempt for task in report.tasks}
    return tuple(
        replace(task, state=TaskState.STOPPED, error="the worker restarted")
        for attempt, task in worker.tasks.items()
        if attempt not in known and task.state is TaskState.RUNNING
    )
