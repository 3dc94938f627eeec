"""Cancel keys of jobs that the store does not have."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from chivefall.store import ABSENT, BatchPart, Mismatch, Stored, Version, batch_key

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from chivefall.controllers._leader import LeaderController
    from chivefall.model import Epoch, JobId
    from chivefall.runtime import Future
    from chivefall.store import TransactionalStore

__all__ = ["PreventedJobs"]

JOBS_PER_REMOVAL = 15  # 2 entries a job; a store transaction takes 32


class PreventedJobs:
    """Removes the cancel keys of jobs that were never created.

    Such a key makes a submission fail that the store executes after the cancel was answered, so
    it is kept as long as the state of a final job.

    Parameters
    ----------
    run_task : callable
        Runs a coroutine and logs any exception it raises.
    retention : float
        Time after which a key is removed, in seconds.
    """

    def __init__(
        self,
        store: TransactionalStore,
        leader: LeaderController,
        run_task: Callable[[Coroutine[Any, Any, None]], Future[None]],
        retention: float,
    ) -> None:
        self._store = store
        self._leader = leader
        self._run_task = run_task
        self._retention = retention
        self._epoch: Epoch | None = None
        self._seen_at: dict[JobId, float] = {}  # in seconds since the Unix epoch; oldest first
        self._removing = False

    def open(self, epoch: Epoch) -> None:
        """Start to remove keys under an epoch."""
        self._epoch, self._seen_at = epoch, {}

    def close(self) -> None:
        """Leave all keys to the next leader."""
        self._epoch, self._seen_at = None, {}

    def add(self, job_id: JobId, now: float) -> None:
        """Record that there is a cancel key without a job."""
        self._seen_at.setdefault(job_id, now)

    def discard(self, job_id: JobId) -> bool:
        """Leave the key of a job to the job; return whether it had been added."""
        return self._seen_at.pop(job_id, None) is not None

    def remove_expired(self, now: float) -> None:
        """Remove some of the keys whose retention has ended."""
        if self._removing or self._epoch is None:
            return
        oldest = islice(self._seen_at.items(), JOBS_PER_REMOVAL)
        expired = [job_id for job_id, seen_at in oldest if now - seen_at > self._retention]
        if expired:
            self._removing = True
            done = self._run_task(self._remove(self._epoch, expired))
            done.add_done_callback(self._on_done)

    def _on_done(self, _: Future[None]) -> None:
        self._removing = False

    async def _remove(self, epoch: Epoch, job_ids: list[JobId]) -> None:
        """Remove keys; those that remain are tried again."""
        spec_keys = {batch_key(job_id, BatchPart.SPEC): job_id for job_id in job_ids}
        conditions = {self._leader.key: Version(epoch), **dict.fromkeys(spec_keys, ABSENT)}
        removes = [batch_key(job_id, BatchPart.CANCEL) for job_id in job_ids]
        outcome = await self._store.transact(conditions, (), removes)
        if self._epoch != epoch:
            return
        for key, job_id in spec_keys.items():
            has_job = isinstance(outcome, Mismatch) and outcome.current.get(key) is not None
            if isinstance(outcome, Stored) or has_job:
                self.discard(job_id)
