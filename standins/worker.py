"""Stand-in for a worker that executes gang shares."""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from chivefall.config import Address
from chivefall.model import Epoch, TaskState, WorkerId
from chivefall.net import json_reply
from chivefall.runtime import Clock, Future, sleep, wait_for
from chivefall.workers import (
    CommandRefusalReason,
    CommandRefused,
    LeaseReport,
    LeaseRequest,
    TaskReport,
    TaskShare,
)
from standins._service import Service

if TYPE_CHECKING:
    from chivefall.net import HttpReply, HttpRequest

__all__ = ["Faults", "WorkerService", "WorkerState"]

REFUSED_STATUS = 409
FROZEN_CHECK_INTERVAL_SECONDS = 0.1  # between checks whether a freeze has ended
MAX_FINISHED_TASKS = 256  # kept for leaders that have not read them yet


@dataclass
class _Task:
    share: TaskShare
    state: TaskState
    sequence: int
    deadline: float
    confirmed: bool = False
    started_at: float = 0.0
    completed_seconds: float = 0.0
    result: Any = None
    error: str | None = None
    checkpoint: str | None = None
    ran: bool = False


@dataclass
class Faults:
    """Injected faults of a worker.

    Attributes
    ----------
    fail_tasks : bool
        Whether tasks fail as soon as they start.
    delay : float
        Seconds before a command is executed.
    lose_replies : bool
        Whether commands take effect but their replies are lost.
    frozen : bool
        Whether commands wait until the fault is removed.
    """

    fail_tasks: bool = False
    delay: float = 0.0
    lose_replies: bool = False
    frozen: bool = False


class CommandRefusedError(Exception):
    """A command that the worker refuses."""

    def __init__(self, reason: CommandRefusalReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class WorkerState:
    """Tasks and leases of one worker, independent of the transport.

    A task runs for the ``run_time`` seconds of its payload (a list has one entry
    for each member), or for its declared run time if the payload has none. Its
    result contains its members and payload.
    """

    def __init__(self, name: WorkerId, accelerators: int, clock: Clock) -> None:
        self.name = name
        self.accelerators = accelerators
        self.epoch = Epoch(0)
        self._clock = clock
        self._sequence = 1  # 0 in a request stands for all tasks
        self._tasks: dict[str, _Task] = {}
        self.faults = Faults()
        self.restarts = 0
        self._change_waiters: list[Future[None]] = []
        self._lease_until = float("inf")

    @property
    def free_accelerators(self) -> int:
        """Number of accelerators that are not allocated to a live task."""
        return self.accelerators - sum(
            task.share.accelerators for task in self._tasks.values() if not task.state.is_final
        )

    def check_epoch(self, epoch: Epoch) -> None:
        """Refuse an epoch lower than the highest one seen, and remember a higher one."""
        if epoch < self.epoch:
            raise CommandRefusedError(CommandRefusalReason.STALE_EPOCH)
        self.epoch = epoch

    async def renew(self, request: LeaseRequest) -> LeaseReport:
        """Renew the leases and return the tasks that changed after the seen sequence number.

        If none has changed, wait up to ``request.wait`` seconds for a change.
        """
        self.check_epoch(request.epoch)
        if request.ttl > 0:
            self._renew_until(self._clock.now() + request.ttl)
        if not self._changes(request.seen) and request.wait > 0 and request.seen:
            fut: Future[None] = Future()
            self._change_waiters.append(fut)
            await wait_for(self._clock, fut, request.wait, None)
            self.check_epoch(request.epoch)
        tasks = tuple(self.report(task) for task in self._changes(request.seen))
        return LeaseReport(self.name, self._sequence, tasks)

    def reserve(self, share: TaskShare, ttl: float) -> TaskReport:
        """Reserve accelerators for ``ttl`` seconds without running anything."""
        if share.attempt in self._tasks:
            raise CommandRefusedError(CommandRefusalReason.DUPLICATE)
        if share.accelerators > self.free_accelerators:
            raise CommandRefusedError(CommandRefusalReason.NO_ROOM)
        task = _Task(share, TaskState.RESERVED, 0, self._clock.now() + ttl)
        task.completed_seconds = _checkpointed_progress(share.checkpoint)
        self._tasks[share.attempt] = task
        self._record_change(task)
        self._end_at_deadline(task)
        return self.report(task)

    def commit(self, attempt: str, gang_lease: float) -> TaskReport:
        """Start a reserved share; it ends after ``gang_lease`` seconds unless confirmed."""
        task = self._task(attempt, TaskState.RESERVED)
        task.state = TaskState.RUNNING
        task.ran = True
        task.started_at = self._clock.now()
        task.deadline = task.started_at + gang_lease
        self._record_change(task)
        payload = task.share.payload
        run_time = payload.get("run_time") if isinstance(payload, dict) else None
        if isinstance(run_time, list):
            run_time = run_time[task.share.members[0]]
        remaining = (task.share.run_time if run_time is None else run_time) - task.completed_seconds
        if self.faults.fail_tasks:
            remaining = 0.0
            task.error = f"{self.name} is set to fail all tasks"
        self._clock.call_later(max(0.0, remaining), lambda: self._complete(task))
        return self.report(task)

    def confirm(self, attempt: str) -> TaskReport:
        """Keep a running share under the worker's lease instead of the gang lease."""
        task = self._task(attempt, TaskState.RUNNING, TaskState.SUCCEEDED)
        task.confirmed = True
        task.deadline = float("inf")
        self._record_change(task)
        return self.report(task)

    def checkpoint(self, attempt: str) -> TaskReport:
        """Save the progress of a running share as a checkpoint and end it."""
        task = self._task(attempt, TaskState.RUNNING)
        task.checkpoint = f"{attempt}@{self._progress(task):.3f}"
        self._end(task, TaskState.CHECKPOINTED)
        return self.report(task)

    def stop(self, attempt: str) -> TaskReport:
        """End a share or release its reservation; a share that has ended stays as it is."""
        task = self._tasks.get(attempt)
        if task is None:
            raise CommandRefusedError(CommandRefusalReason.UNKNOWN_TASK)
        if not task.state.is_final:
            self._end(task, TaskState.STOPPED)
        return self.report(task)

    def reports(self) -> list[TaskReport]:
        """Return the current state of all tasks."""
        return [self.report(task) for task in self._tasks.values()]

    def restart(self) -> None:
        """Discard all tasks and the epoch, as a restarted process does."""
        self.restarts += 1
        self._tasks.clear()
        self._sequence = 1
        self.epoch = Epoch(0)
        waiting, self._change_waiters = self._change_waiters, []
        for fut in waiting:
            fut.set_result(None)

    def report(self, task: _Task) -> TaskReport:
        """Return the current state of a task."""
        return TaskReport(
            task.share.attempt,
            task.share.job_id,
            task.state,
            task.share.accelerators,
            task.share.account,
            self._progress(task),
            task.checkpoint,
            task.result,
            task.error,
            task.confirmed,
            task.ran,
        )

    def _task(self, attempt: str, *states: TaskState) -> _Task:
        task = self._tasks.get(attempt)
        if task is None or task.state not in states:
            raise CommandRefusedError(CommandRefusalReason.UNKNOWN_TASK)
        return task

    def _progress(self, task: _Task) -> float:
        if task.state is TaskState.RUNNING:
            return task.completed_seconds + self._clock.now() - task.started_at
        return task.completed_seconds

    def _changes(self, seen: int) -> list[_Task]:
        return [task for task in self._tasks.values() if task.sequence > seen]

    def _record_change(self, task: _Task) -> None:
        self._sequence += 1
        task.sequence = self._sequence
        waiting, self._change_waiters = self._change_waiters, []
        for fut in waiting:
            fut.set_result(None)

    def _complete(self, task: _Task) -> None:
        if task.state is not TaskState.RUNNING:
            return
        payload = task.share.payload
        if isinstance(payload, dict) and payload.get("fail"):
            task.error = "the program failed"
        if task.error is not None:
            self._end(task, TaskState.FAILED)
        else:
            task.result = {"members": list(task.share.members), "payload": task.share.payload}
            self._end(task, TaskState.SUCCEEDED)

    def _end(self, task: _Task, state: TaskState) -> None:
        task.completed_seconds = self._progress(task)
        task.state = state
        self._record_change(task)
        finished = [name for name, item in self._tasks.items() if item.state.is_final]
        for name in finished[:-MAX_FINISHED_TASKS]:
            del self._tasks[name]

    def _end_at_deadline(self, task: _Task) -> None:
        if task.state.is_final or task.deadline == float("inf"):
            return
        remaining = task.deadline - self._clock.now()
        if remaining <= 0:
            task.error = "the gang lease expired before all members were confirmed"
            self._end(task, TaskState.STOPPED)
        else:
            self._clock.call_later(remaining, lambda: self._end_at_deadline(task))

    def _renew_until(self, until: float) -> None:
        first = self._lease_until == float("inf")
        self._lease_until = until
        if first:
            self._check_lease()

    def _check_lease(self) -> None:
        remaining = self._lease_until - self._clock.now()
        if remaining > 0:
            self._clock.call_later(remaining, self._check_lease)
            return
        self._lease_until = float("inf")
        for task in list(self._tasks.values()):
            if not task.state.is_final:
                task.error = "the worker's lease expired"
                self._end(task, TaskState.STOPPED)


def _checkpointed_progress(checkpoint: str | None) -> float:
    """Return the seconds of work in a checkpoint, which its name ends with."""
    return float(checkpoint.rpartition("@")[2]) if checkpoint else 0.0


class WorkerService(Service):
    """HTTP server of the stand-in worker."""

    def __init__(self, address: Address, name: WorkerId, accelerators: int) -> None:
        super().__init__(address)
        self._state = WorkerState(name, accelerators, self.clock)

    async def handle(self, req: HttpRequest) -> HttpReply:
        """Return the reply to a command."""
        faults = self._state.faults
        if req.path == "/control/faults":
            self._state.faults = msgspec.json.decode(req.body, type=Faults)
            return json_reply(200, self._state.faults)
        while faults.frozen or faults.delay:
            await sleep(self.clock, faults.delay or FROZEN_CHECK_INTERVAL_SECONDS)
            faults = self._state.faults
            if not faults.frozen:
                break
        try:
            reply = json_reply(200, await self._execute(req))
            if faults.lose_replies:
                await Future()
            return reply
        except CommandRefusedError as exc:
            return json_reply(REFUSED_STATUS, CommandRefused(exc.reason, self._state.epoch))
        except msgspec.DecodeError:
            return json_reply(
                400, CommandRefused(CommandRefusalReason.MALFORMED, self._state.epoch)
            )

    async def _execute(self, req: HttpRequest) -> LeaseReport | TaskReport:
        state = self._state
        parts = req.path.strip("/").split("/")
        if parts == ["v1", "lease"]:
            return await state.renew(msgspec.json.decode(req.body, type=LeaseRequest))
        body = msgspec.json.decode(req.body)
        state.check_epoch(Epoch(body["epoch"]))
        match parts:
            case ["v1", "reservations"]:
                return state.reserve(msgspec.convert(body["share"], TaskShare), body["ttl"])
            case ["v1", "reservations", attempt, "commit"]:
                return state.commit(attempt, body["gang_lease"])
            case ["v1", "tasks", attempt, "confirm"]:
                return state.confirm(attempt)
            case ["v1", "tasks", attempt, "checkpoint"]:
                return state.checkpoint(attempt)
            case ["v1", "tasks", attempt, "stop"]:
                return state.stop(attempt)
        raise CommandRefusedError(CommandRefusalReason.UNKNOWN_TASK)


def main() -> None:
    """Run the stand-in worker."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--accelerators", type=int, default=8)
    args = parser.parse_args()
    WorkerService(Address.parse(args.listen), WorkerId(args.name), args.accelerators).run()


if __name__ == "__main__":
    main()
