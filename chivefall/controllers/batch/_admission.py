"""Refusal of submissions while the accepted jobs take too much of the leader's memory."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from chivefall.batch import find_accounts_to_refuse
from chivefall.store import (
    ADMISSION_PREFIX,
    Listed,
    Put,
    Stored,
    Version,
    admission_key,
    parse_admission_key,
)
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable
    from typing import Any

    from chivefall.batch import BatchJob
    from chivefall.controllers._leader import LeaderController
    from chivefall.model import AccountId, Epoch
    from chivefall.runtime import Future
    from chivefall.store import TransactionalStore

__all__ = ["AdmissionControl"]

CHECK_INTERVAL_SECONDS = 1.0
READ_INTERVAL_SECONDS = 10.0
"""Time after which the keys are read again, as a write without a response may be executed late."""
MAX_CHANGES = 30  # of the 32 entries of a store transaction


class AdmissionControl:
    """Writes a key for each account whose submissions are refused; runs in the leader.

    Submissions require that the key of their account does not exist, so that all instances
    refuse them without a call of their own.

    Parameters
    ----------
    run_task : callable
        Runs a coroutine and logs any exception it raises.
    """

    def __init__(
        self,
        store: TransactionalStore,
        leader: LeaderController,
        run_task: Callable[[Coroutine[Any, Any, None]], Future[None]],
    ) -> None:
        self._store = store
        self._leader = leader
        self._run_task = run_task
        self._epoch: Epoch | None = None
        self._refused: frozenset[AccountId] = frozenset()
        self._next_read = 0.0
        self._next_check = 0.0
        self._calling = False

    def open(self, epoch: Epoch) -> None:
        """Start to write keys under an epoch; those of earlier leaders are read first."""
        self._epoch, self._next_read = epoch, 0.0

    def close(self) -> None:
        """Leave the keys to the next leader."""
        self._epoch = None

    def update(self, jobs: Iterable[BatchJob], now: float) -> None:
        """Decide which accounts to refuse at ``now``, in seconds since the Unix epoch."""
        if self._epoch is None or self._calling or now < self._next_check:
            return
        self._next_check = now + CHECK_INTERVAL_SECONDS
        used: Counter[AccountId] = Counter()
        for job in jobs:
            used[job.submission.account] += job.memory_bytes
        wanted = find_accounts_to_refuse(used, self._refused)
        if now >= self._next_read:
            call = self._read(self._epoch, now)
        elif wanted != self._refused:
            call = self._write(self._epoch, self._refused, wanted, used)
        else:
            return
        self._calling = True
        self._run_task(call).add_done_callback(self._on_done)

    def _on_done(self, _: Future[None]) -> None:
        self._calling = False

    async def _read(self, epoch: Epoch, now: float) -> None:
        listed = await self._store.list(ADMISSION_PREFIX)
        if isinstance(listed, Listed) and self._epoch == epoch:
            self._refused = frozenset(parse_admission_key(entry.key) for entry in listed.entries)
            self._next_read = now + READ_INTERVAL_SECONDS

    async def _write(
        self,
        epoch: Epoch,
        refused: frozenset[AccountId],
        wanted: frozenset[AccountId],
        used: Counter[AccountId],
    ) -> None:
        """Write some of the changed keys; the others follow with the next check."""
        changed = sorted(wanted ^ refused)[:MAX_CHANGES]
        puts = [Put(admission_key(name), b"") for name in changed if name in wanted]
        removes = [admission_key(name) for name in changed if name not in wanted]
        outcome = await self._store.transact({self._leader.key: Version(epoch)}, puts, removes)
        if self._epoch != epoch:
            return
        if not isinstance(outcome, Stored):
            self._next_read = 0.0
            return
        self._refused = refused ^ frozenset(changed)
        for name in changed:
            log_event(
                LogEvent.ADMISSION_CHANGED,
                account=name,
                refused=name in wanted,
                bytes=used[name],
                total=used.total(),
            )
