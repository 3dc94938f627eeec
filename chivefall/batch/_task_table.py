"""The tasks of a batch job, of which only those with a state of their own are in memory."""

from __future__ import annotations

from array import array
from dataclasses import dataclass
from itertools import pairwise
from typing import TYPE_CHECKING

from chivefall.batch._model import RunNumber, TaskKey
from chivefall.batch._task import Task, TaskState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from chivefall.batch._model import BatchSpec

__all__ = ["StepTasks", "TaskTable"]

MAX_IDLE_OCCURRENCES = 64
"""Occurrences of one job that are open without a task on a worker.

The next one opens once a task of one of them is assigned. A job with thousands of due
occurrences therefore neither takes memory nor lengthens a round in proportion to them.
"""
MAX_STORED_RUN_NUMBER = 2**32 - 1


class _DoneRuns:
    """Numbers of the last runs of done tasks, in four bytes for each task of a job."""

    def __init__(self, spec: BatchSpec) -> None:
        self._first_of_step = [0]
        for step in spec.steps:
            self._first_of_step.append(self._first_of_step[-1] + step.count)
        self._numbers = array("I", [0]) * (self._first_of_step[-1] * spec.occurrences)

    def _position(self, key: TaskKey) -> int:
        return key.occurrence * self._first_of_step[-1] + self._first_of_step[key.step] + key.index

    def __getitem__(self, key: TaskKey) -> RunNumber:
        """Return the number of the last run of a done task; 0 for any other task."""
        return RunNumber(self._numbers[self._position(key)])

    def of_occurrence(self, occurrence: int) -> Iterator[tuple[TaskKey, RunNumber]]:
        """Yield the done tasks of an occurrence with the numbers of their last runs."""
        count = self._first_of_step[-1]
        numbers = self._numbers[occurrence * count : (occurrence + 1) * count]
        for step, (first, end) in enumerate(pairwise(self._first_of_step)):
            for index, number in enumerate(numbers[first:end]):
                if number:
                    yield TaskKey(occurrence, step, index), RunNumber(number)

    def __setitem__(self, key: TaskKey, number: RunNumber) -> None:
        # A record of another writer may hold any number.
        self._numbers[self._position(key)] = min(max(1, number), MAX_STORED_RUN_NUMBER)


class StepTasks:
    """Tasks of one step of one occurrence.

    A task without a run has no state but its index, and a done task that no worker holds any
    more only the number of its last run, so neither is kept as an object.

    Attributes
    ----------
    count : int
        Number of tasks.
    unfinished : int
        Number of tasks that are not done.
    """

    __slots__ = ("_done", "_kept", "_occurrence", "_step", "count", "unfinished")

    def __init__(
        self, occurrence: int, step: int, count: int, unfinished: int, done: _DoneRuns
    ) -> None:
        self._occurrence = occurrence
        self._step = step
        self._done = done  # of the tasks that are not kept
        self._kept: dict[int, Task] = {}
        self.count = count
        self.unfinished = unfinished

    @property
    def has_waiting(self) -> bool:
        """Return whether any task is neither done nor on a worker."""
        held = (TaskState.ASSIGNED, TaskState.RUNNING)
        return self.unfinished > sum(task.state in held for task in self._kept.values())

    @property
    def is_settled(self) -> bool:
        """Return whether all tasks are done and no worker holds one of them."""
        return not self.unfinished and not self._kept

    def get(self, index: int) -> Task:
        """Return a task; one that is not kept is made anew, so changes to it are lost."""
        task = self._kept.get(index)
        if task is None:
            task = _new_task(self._key(index), self._done)
        return task

    def keep(self, index: int) -> Task:
        """Return a task and keep it from now on, unless it is done."""
        task = self.get(index)
        if task.state is not TaskState.DONE:
            self._kept[index] = task
        return task

    def drop_if_done(self, task: Task) -> bool:
        """Stop keeping a task if it is done and no worker holds it; return whether it was kept."""
        if task.state is not TaskState.DONE or task.assignment is not None:
            return False
        self._done[task.key] = task.last_run_number
        return self._kept.pop(task.key.index, None) is not None

    def kept(self) -> list[Task]:
        """Return the tasks that have a state of their own."""
        return list(self._kept.values())

    def count_waiting(self, now: float, *, is_busy: bool) -> int:
        """Return how many tasks can start at ``now``, in seconds since the Unix epoch."""
        return self.unfinished - sum(
            task.state is not TaskState.DONE and not task.can_start(now, is_busy=is_busy)
            for task in self._kept.values()
        )

    def waiting_keys(self, now: float, *, is_busy: bool) -> Iterator[TaskKey]:
        """Yield the keys of the tasks that can start at ``now``."""
        for index in range(self.count):
            key, task = self._key(index), self._kept.get(index)
            can_start = (
                not self._done[key] if task is None else task.can_start(now, is_busy=is_busy)
            )
            if can_start:
                yield key

    def _key(self, index: int) -> TaskKey:
        return TaskKey(self._occurrence, self._step, index)


class TaskTable:
    """The tasks of a job, by occurrence and step.

    An occurrence is open from the time at which its tasks may start until all of them are done
    and no worker holds one. Each task of the others takes four bytes.
    """

    def __init__(self, spec: BatchSpec) -> None:
        self._spec = spec
        self._steps: dict[tuple[int, int], StepTasks] = {}
        self._open: dict[int, _OpenOccurrence] = {}
        self._is_closed = bytearray(spec.occurrences)  # 1 for each one that has been closed
        self._done = _DoneRuns(spec)
        self._unfinished_occurrences = spec.occurrences
        self._next_occurrence = 0  # the earlier ones have been opened

    @property
    def is_complete(self) -> bool:
        """Return whether all tasks are done; workers may still hold members of a gang."""
        return not self._unfinished_occurrences

    def unfinished(self, occurrence: int, step: int) -> int:
        """Return how many tasks of a step are not done."""
        tasks = self._steps.get((occurrence, step))
        if tasks is not None:
            return tasks.unfinished
        return 0 if self._is_closed[occurrence] else self._spec.steps[step].count

    def has_waiting(self, occurrence: int, step: int) -> bool:
        """Return whether any task of a step is neither done nor on a worker."""
        tasks = self._steps.get((occurrence, step))
        return not self._is_closed[occurrence] if tasks is None else tasks.has_waiting

    def of_step(self, occurrence: int, step: int) -> StepTasks:
        """Return the tasks of a step, and open its occurrence unless it has been closed."""
        tasks = self._steps.get((occurrence, step))
        if tasks is not None:
            return tasks
        unfinished = self.unfinished(occurrence, step)
        tasks = StepTasks(occurrence, step, self._spec.steps[step].count, unfinished, self._done)
        if not self._is_closed[occurrence]:
            self._open_occurrence(occurrence)
            self._steps[occurrence, step] = tasks
        return tasks

    def get(self, key: TaskKey) -> Task | None:
        """Return a task, or None if the job has no such task.

        Changes to a task without a state of its own are lost; see ``keep``.
        """
        if not self._has(key):
            return None
        tasks = self._steps.get((key.occurrence, key.step))
        if tasks is not None:
            return tasks.get(key.index)
        return _new_task(key, self._done)

    def keep(self, key: TaskKey) -> Task | None:
        """Return a task and keep it from now on, or None if the job has no such task."""
        return self.of_step(key.occurrence, key.step).keep(key.index) if self._has(key) else None

    def finish(self, task: Task) -> bool:
        """Record that a kept task is done; return whether this closed its occurrence."""
        occurrence = task.key.occurrence
        tasks = self._steps[occurrence, task.key.step]
        task.state, task.progress = TaskState.DONE, 1.0
        tasks.unfinished -= 1
        if not tasks.unfinished:
            item = self._open[occurrence]
            item.unfinished_steps -= 1
            if not item.unfinished_steps:
                self._unfinished_occurrences -= 1
        return self.drop_if_done(task)

    def drop_if_done(self, task: Task) -> bool:
        """Stop keeping a task if it is done and no worker holds it.

        Returns whether this closed its occurrence.
        """
        occurrence, step, _ = task.key
        tasks = self._steps.get((occurrence, step))
        if tasks is None or not tasks.drop_if_done(task) or not tasks.is_settled:
            return False
        item = self._open[occurrence]
        item.unsettled_steps -= 1
        if item.unsettled_steps:
            return False
        del self._open[occurrence]
        self._is_closed[occurrence] = 1
        for number in range(len(self._spec.steps)):
            del self._steps[occurrence, number]
        return True

    def kept(self) -> Iterator[Task]:
        """Yield the tasks that have a state of their own."""
        for tasks in self._steps.values():
            yield from tasks.kept()

    def kept_steps(self) -> Iterator[tuple[int, int, list[Task]]]:
        """Yield the steps with kept tasks, as occurrence, step and these tasks."""
        for (occurrence, step), tasks in self._steps.items():
            kept = tasks.kept()
            if kept:
                yield occurrence, step, kept

    def done_runs(self) -> Iterator[tuple[TaskKey, RunNumber]]:
        """Yield the done tasks that are not kept, with the numbers of their last runs."""
        for occurrence, is_closed in enumerate(self._is_closed):
            if is_closed or occurrence in self._open:
                yield from self._done.of_occurrence(occurrence)

    def due_occurrences(self, now: float) -> list[int]:
        """Return the open occurrences whose tasks may start at ``now``.

        ``now`` is in seconds since the Unix epoch. Occurrences that are due are opened in their
        order, MAX_IDLE_OCCURRENCES at a time.
        """
        if self._is_due(self._next_occurrence, now):
            idle = self._open.keys() - {
                task.key.occurrence for task in self.kept() if task.assignment is not None
            }
            room = MAX_IDLE_OCCURRENCES - len(idle)
            while room > 0 and self._is_due(self._next_occurrence, now):
                room -= self._open_occurrence(self._next_occurrence)
                self._next_occurrence += 1
        return [item for item in self._open if self._spec.earliest_start(item) <= now]

    def _is_due(self, occurrence: int, now: float) -> bool:
        spec = self._spec
        return occurrence < spec.occurrences and spec.earliest_start(occurrence) <= now

    def _open_occurrence(self, occurrence: int) -> bool:
        """Open an occurrence, and return whether it had never been opened."""
        if occurrence in self._open or self._is_closed[occurrence]:
            return False
        steps = len(self._spec.steps)
        self._open[occurrence] = _OpenOccurrence(steps, steps)
        return True

    def _has(self, key: TaskKey) -> bool:
        spec = self._spec
        return (
            0 <= key.occurrence < spec.occurrences
            and 0 <= key.step < len(spec.steps)
            and 0 <= key.index < spec.steps[key.step].count
        )


@dataclass(slots=True)
class _OpenOccurrence:
    """Counts of an open occurrence.

    Attributes
    ----------
    unfinished_steps : int
        Steps of which not all tasks are done.
    unsettled_steps : int
        These, and steps of which a worker still holds a task.
    """

    unfinished_steps: int
    unsettled_steps: int


def _new_task(key: TaskKey, done: _DoneRuns) -> Task:
    """Return a task that is not kept."""
    if not done[key]:
        return Task(key)
    return Task(key, TaskState.DONE, done[key], progress=1.0)
