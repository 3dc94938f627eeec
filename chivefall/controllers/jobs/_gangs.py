"""Starts, checkpoints and releases whole gangs."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from chivefall.controllers.jobs._table import Job, task_shares_of, workers_of
from chivefall.runtime import gather, sleep
from chivefall.workers import (
    CommandAccepted,
    CommandOutcome,
    CommandRefusalReason,
    CommandRefused,
    Unreachable,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from chivefall.config import Timing
    from chivefall.controllers.workers._workers import WorkerController
    from chivefall.model import WorkerId
    from chivefall.runtime import Clock

__all__ = ["GangCommands"]

STOP_RETRY_DELAY_SECONDS = 1.0  # a stop is repeated until the share is proven to have ended
MAX_CONFIRM_TRIES = 2  # unlike a reservation or commit, a confirmation is safe to repeat


class GangCommands:
    """Sends commands to all shares of a gang.

    Parameters
    ----------
    may_start : callable
        Returns whether tasks may start now (G3). Called again right before the
        commit, because this instance may have been paused since the decision.
    is_current : callable
        Returns whether this instance still manages the job.
    """

    def __init__(
        self,
        clock: Clock,
        timing: Timing,
        workers: WorkerController,
        run_task: Callable,
        may_start: Callable[[float], bool],
        is_current: Callable[[Job], bool],
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._workers = workers
        self._run_task = run_task
        self._may_start = may_start
        self._is_current = is_current

    async def start(self, job: Job) -> bool:
        """Reserve, commit and confirm every share; return whether the whole gang runs."""
        shares = task_shares_of(job.record)
        attempt = job.record.attempt
        if not await self._send_to_all(job, lambda name: self._workers.reserve(name, shares[name])):
            return False
        if not self._may_start(self._clock.now()) or not self._is_current(job):
            return False
        job.committed = True
        job.record = replace(job.record, ran=True)
        if not await self._send_to_all(job, lambda name: self._workers.commit(name, attempt)):
            return False
        return await self.confirm(job)

    async def confirm(self, job: Job) -> bool:
        """Confirm to every share that the whole gang runs; others end with the gang lease."""
        attempt = job.record.attempt
        job.confirmed = True
        return await self._send_to_all(
            job, lambda name: self._workers.confirm(name, attempt), MAX_CONFIRM_TRIES
        )

    async def checkpoint(self, job: Job) -> bool:
        """Checkpoint every share; return whether all commands succeeded."""
        attempt = job.record.attempt
        return await self._send_to_all(job, lambda name: self._workers.checkpoint(name, attempt))

    async def release(self, job: Job) -> None:
        """Stop every share until it is proven to have ended or its lease has expired."""
        await gather([self._run_task(self._stop_share(job, n)) for n in workers_of(job.record)])

    async def _send_to_all(
        self,
        job: Job,
        command: Callable[[WorkerId], Coroutine[None, None, CommandOutcome]],
        tries: int = 1,
    ) -> bool:
        names = workers_of(job.record)
        outcomes = await gather(
            [self._run_task(self._send(job, name, command, tries)) for name in names]
        )
        failed = [name for name, accepted in zip(names, outcomes, strict=True) if not accepted]
        job.avoid.update(failed)
        return not failed and self._is_current(job)

    async def _send(self, job: Job, name: WorkerId, command: Callable, tries: int) -> bool:
        for _ in range(tries):
            outcome = await command(name)
            if isinstance(outcome, CommandAccepted):
                job.record_report(name, outcome.report)
                return True
            if isinstance(outcome, CommandRefused):
                return False
        return False

    async def _stop_share(self, job: Job, name: WorkerId) -> None:
        attempt, since = job.record.attempt, self._clock.now()
        if not job.committed and not self._workers.has_unfinished_task(name, attempt):
            return  # the reservation was refused or never sent
        while self._is_current(job):
            outcome = await self._workers.stop_task(name, attempt)
            if isinstance(outcome, CommandAccepted) and outcome.report.state.is_final:
                job.record_report(name, outcome.report)
                return
            if (
                isinstance(outcome, CommandRefused)
                and outcome.refusal is CommandRefusalReason.UNKNOWN_TASK
            ):
                break
            if isinstance(outcome, Unreachable) and self._lease_ended(job, name, since):
                break
            await sleep(self._clock, STOP_RETRY_DELAY_SECONDS)
        self._workers.remove_task(name, attempt)

    def _lease_ended(self, job: Job, name: WorkerId, since: float) -> bool:
        now = self._clock.now()
        if not job.confirmed:
            # An unconfirmed share ends with the gang lease. No reservation or commit was sent
            # after ``since``, and earlier ones take effect within ``worker_timeout``.
            return now > since + self._timing.gang_lease + self._timing.worker_timeout
        return now > self._workers.lease_end(name)
