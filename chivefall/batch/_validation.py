"""Checks of the steps of a job, for submissions and for stored records."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from chivefall.batch._model import BatchSpec, StepSpec

__all__ = ["find_spec_problem"]

MAX_TASKS = 10_000  # per job; bounds the leader's memory and the size of a record


def find_spec_problem(spec: BatchSpec) -> str:
    """Return why a job cannot be scheduled, with a remedy, or an empty string."""
    if not spec.steps:
        return "the job has no steps; send at least one"
    for number, step in enumerate(spec.steps):
        problem = _find_step_problem(number, step)
        if problem:
            return f"step {number} {problem}"
    if spec.interval < 0:
        return "the interval between occurrences is negative; send 0 or more"
    tasks = sum(step.count for step in spec.steps) * spec.occurrences
    if tasks > MAX_TASKS:
        return f"the job has {tasks} tasks; send at most {MAX_TASKS}"
    return ""


def _find_step_problem(number: int, step: StepSpec) -> str:
    if step.count < 1:
        return "has no tasks; send a count of at least 1"
    if any(not 0 <= earlier < number for earlier in step.after):
        return "depends on a step that is not an earlier one; correct the list"
    return ""
