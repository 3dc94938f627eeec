"""The leader's state of a worker and of its tasks."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace

from chivefall.config import Address
from chivefall.model import AttemptId, ConnectionId, Epoch, TaskState
from chivefall.workers import Instance, LeaseReport, TaskReport

__all__ = ["Worker", "tasks_lost_by_restart"]


MAX_CONNECTIONS = 8  # more are rarely open to one worker


@dataclass
class Worker:
    """A worker and the tasks that it reported.

    Attributes
    ----------
    last_sequence : int
        Highest report sequence that was processed; 0 requests a complete report.
    connections : deque of ConnectionId
        Latest connections over which reports came. A sequence is only valid for the process
        that reported it, so later requests with one use these connections.
    ended_at : dict
        Time at which each recent attempt was first reported as ended.
    reported : bool
        Whether it has reported its tasks under this epoch and since it was last lost.
    lost : bool
        Whether it no longer responds to renewals.
    listed : bool
        Whether it is in the platform's list of instances.
    failed_renewals : int
        Consecutive renewals without a response.
    lease_end : float
        Time by which its last renewed lease has expired.
    renewal_epoch : Epoch
        Epoch for which a renewal loop was started; there is one loop for each epoch.
    """

    instance: Instance
    address: Address
    last_sequence: int = 0
    connections: deque[ConnectionId] = field(default_factory=lambda: deque(maxlen=MAX_CONNECTIONS))
    tasks: dict[AttemptId, TaskReport] = field(default_factory=dict)
    ended_at: dict[AttemptId, float] = field(default_factory=dict)
    reported: bool = False
    failed_renewals: int = 0
    lost: bool = False
    leaving: bool = False
    listed: bool = True
    lease_end: float = 0.0
    renewal_epoch: Epoch = Epoch(0)

    @property
    def free(self) -> int:
        """Return the accelerators not used or reserved by any unfinished task."""
        used = sum(task.accelerators for task in self.tasks.values() if not task.state.is_final)
        return self.instance.accelerators - used

    def record_report(self, task: TaskReport, now: float) -> None:
        """Store a task's report unless a newer one is stored."""
        last = self.tasks.get(task.attempt)
        if task.attempt in self.ended_at and not task.state.is_final:
            return
        if last is not None and task.stage < last.stage:
            return
        self.tasks[task.attempt] = task
        if task.state.is_final:
            self.ended_at.setdefault(task.attempt, now)


def tasks_lost_by_restart(worker: Worker, report: LeaseReport) -> tuple[TaskReport, ...]:
    """Return as stopped the running tasks that a restarted worker no longer reports."""
    reported = {task.attempt for task in report.tasks}
    return tuple(
        replace(task, state=TaskState.STOPPED, error="the worker restarted")
        for attempt, task in worker.tasks.items()
        if attempt not in reported and task.state is TaskState.RUNNING
    )
