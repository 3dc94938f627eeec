"""Check whether a job can ever run in a failure domain."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from chivefall.model import Adjacency

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from chivefall.model import Account, AccountId, JobSpec, RackId
    from chivefall.scheduling._cluster import WorkerView

__all__ = ["infeasibility_reason"]


def infeasibility_reason(
    spec: JobSpec, workers: Iterable[WorkerView], accounts: Mapping[AccountId, Account]
) -> str | None:
    """Return why a job can never run on these workers, or None if it can.

    Workers count regardless of their state and load, because a lost or quarantined
    worker may recover. Without workers only the quota of the account is checked.
    """
    account = accounts.get(spec.account)
    need = spec.total_accelerators
    if account is not None and need > account.max_accelerators:
        return (
            f"the job needs {need} accelerators, but the quota of account {spec.account} is"
            f" {account.max_accelerators}; use a smaller gang or ask for a larger quota"
        )
    sizes: dict[RackId, list[int]] = defaultdict(list)
    for worker in workers:
        sizes[worker.rack].append(worker.accelerators)
    if not sizes or spec.accelerators == 0:
        return None
    largest = _largest_gang(spec, list(sizes.values()))
    if largest >= spec.gang_size:
        return None
    return (
        f"a gang of {spec.gang_size} members with {spec.accelerators} accelerators each fits no"
        f" {spec.adjacency.value}; the largest gang of such members that fits has {largest}"
    )


def _largest_gang(spec: JobSpec, racks: list[list[int]]) -> int:
    if spec.adjacency is Adjacency.WORKER:
        return max(size // spec.accelerators for rack in racks for size in rack)
    slots = [sum(size // spec.accelerators for size in rack) for rack in racks]
    return sum(slots) if spec.adjacency is Adjacency.DOMAIN else max(slots)
