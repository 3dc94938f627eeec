"""Bound of the memory that accepted jobs take in the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from chivefall.batch._model import BatchSpec
    from chivefall.model import AccountId

__all__ = ["MAX_JOBS_BYTES", "estimate_memory", "find_accounts_to_refuse"]

MAX_JOBS_BYTES = 48_000_000
"""Memory of all jobs from which on submissions are refused.

An account below its share is still served, so that the jobs may take up to twice as much. The
smallest machines have 200 MB, and a leader of 270 workers takes 99 MB without them.
"""
RESUME_FRACTION = 0.8  # of MAX_JOBS_BYTES, below which all submissions are accepted again
JOB_BYTES = 3500
STEP_BYTES = 380
DEPENDENCY_BYTES = 28
TASK_BYTES = 4


def estimate_memory(spec: BatchSpec) -> int:
    """Return about how many bytes a job takes in the leader, without its running tasks."""
    tasks = sum(step.count for step in spec.steps) * spec.occurrences
    dependencies = sum(len(step.after) for step in spec.steps)
    return (
        JOB_BYTES
        + len(spec.payload)
        + STEP_BYTES * len(spec.steps)
        + DEPENDENCY_BYTES * dependencies
        + TASK_BYTES * tasks
    )


def find_accounts_to_refuse(
    used: Mapping[AccountId, int], refused: frozenset[AccountId]
) -> frozenset[AccountId]:
    """Return the accounts whose submissions to refuse.

    Parameters
    ----------
    used : dict
        Estimated memory of the jobs of each account, in bytes.
    refused : frozenset of AccountId
        Accounts that are refused now.
    """
    total = sum(used.values())
    if total < RESUME_FRACTION * MAX_JOBS_BYTES:
        return frozenset()
    if total <= MAX_JOBS_BYTES:
        return refused
    share = MAX_JOBS_BYTES / len(used)
    return refused | {account for account, size in used.items() if size >= share}
