"""Leadership of the failure domain under a lease in the store."""

from __future__ import annotations

import itertools
import secrets
from enum import Enum
from typing import TYPE_CHECKING
from zlib import crc32

from chivefall.controllers._base import Controller
from chivefall.events import leadership_gained, leadership_lost
from chivefall.model import DomainId, Epoch
from chivefall.runtime import sleep
from chivefall.store import (
    ABSENT,
    Changed,
    Conflict,
    Found,
    Granted,
    LeaseExpired,
    LeaseId,
    Missing,
    ReadOutcome,
    Store,
    Stored,
    Unavailable,
    Unchanged,
    Version,
    leader_key,
)
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.config import Settings
    from chivefall.runtime import Clock

__all__ = ["LeaderController", "LeaderState"]

WATCH_SECONDS = 5.0  # one wait of a follower for the end of the present leadership
MAX_STAGGER_SECONDS = 0.1  # spreads the candidates after a removal; their order is fixed
WEAK_STAGGER_SECONDS = 0.4
"""How much later an instance on the weakest machine asks for the lease.

A removal reaches all watches within some milliseconds and two store calls take 10 ms,
so that a candidate on a stronger machine that can lead has done so by then.
"""
LEADER_CORES = 1.0  # a leader of 176 workers used 0.36 cores in its busiest second
LEADER_LINK_MBPS = 100.0  # at which the jobs of 176 workers, 1.5 MB, are read in 0.12 s


class LeaderState(Enum):
    """Whether this instance leads its failure domain.

    LAPSED: the lease may have expired because the store does not answer; the
    instance keeps its work but another one may hold a higher epoch.
    """

    FOLLOWER = "follower"
    LEADER = "leader"
    LAPSED = "lapsed"


class LeaderController(Controller):
    """Acquires, renews and gives up the leader lease.

    The epoch is the store's version of the leader key, which grows with every
    write and so fences older leaders at the workers. The event
    ``leadership_gained`` without a ``leadership_lost`` before it means that the
    instance acquired the lease again under a higher epoch.

    Parameters
    ----------
    heard_epoch : callable
        Returns the highest epoch that a peer of the failure domain announced
        lately, or 0.
    scope : str, optional
        What is led; the failure domain of the settings by default.
    watches : bool
        Whether a follower watches the leader key instead of reading it at each
        interval, so that it follows a leader that is gone at once.
    """

    def __init__(
        self,
        clock: Clock,
        cfg: Settings,
        store: Store,
        heard_epoch: Callable[[float], Epoch],
        scope: str | None = None,
        *,
        watches: bool = False,
    ) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._store = store
        self._heard_epoch = heard_epoch
        self._watches = watches
        self._stagger = _stagger_of(cfg)
        self._key = leader_key(DomainId(scope) if scope else cfg.failure_domain)
        self._name = f"{cfg.instance} {secrets.token_hex(8)} ".encode()
        self._attempts = itertools.count(1)
        self._lease: LeaseId | None = None
        self._valid_until = float("-inf")
        self._next_check = float("-inf")
        self._busy = False
        self._state = LeaderState.FOLLOWER
        self.epoch = Epoch(0)

    @property
    def state(self) -> LeaderState:
        """Return the state at the present time.

        The clock is read again at each use, because the lease may have ended
        while the process was paused.
        """
        if self._state is LeaderState.LEADER and self.clock.now() >= self._valid_until:
            return LeaderState.LAPSED
        return self._state

    @property
    def leads(self) -> bool:
        """Return whether this instance acts as leader."""
        return self._state is not LeaderState.FOLLOWER

    @property
    def key(self) -> str:
        """Return the key whose version is the epoch."""
        return self._key

    @property
    def valid_until(self) -> float:
        """Return the time up to which the lease was last confirmed."""
        return self._valid_until

    def lease_is_valid(self, now: float) -> bool:
        """Return whether the lease is certain to be held."""
        return self._state is LeaderState.LEADER and now < self._valid_until

    def start(self) -> None:
        """Begin to acquire or renew the lease at each renewal interval."""
        self.every(self._cfg.timing.leader_renewal, self._turn)

    def stop(self) -> None:
        """Give the lease up so that a peer takes over at once."""
        super().stop()
        self.step_down("shutdown")

    def step_down(self, reason: str) -> None:
        """Stop leading and give the lease up."""
        if not self.leads:
            return
        log_event(LogEvent.LEADERSHIP_LOST, epoch=self.epoch, reason=reason)
        if self._lease is not None:
            self.run_task(self._store.revoke_lease(self._lease))
        self._state = LeaderState.FOLLOWER
        self.epoch = Epoch(0)
        self._lease = None
        self.fire(leadership_lost(reason))

    def step_down_if_superseded(self, epoch: Epoch) -> None:
        """Step down if a higher epoch of this failure domain was issued."""
        if self.leads and epoch > self.epoch:
            self.step_down(f"a peer leads with epoch {epoch}")

    def _turn(self, now: float) -> None:
        heard = self._heard_epoch(now)
        self.step_down_if_superseded(heard)
        if now >= self._valid_until:
            self._lapse()
        if self._busy:
            return
        if self._lease is not None:
            self._begin(self._renew())
        elif self.leads or not heard or now >= self._next_check:
            # A heard leader may have lost the store while this instance reaches
            # it, so the key is read once in each lease period all the same.
            self._next_check = now + self._cfg.timing.leader_lease
            self._begin(self._acquire())

    def _lapse(self) -> None:
        if self._state is LeaderState.LEADER:
            self._state = LeaderState.LAPSED
            log_event(LogEvent.LEADERSHIP_LAPSED, epoch=self.epoch)

    def _begin(self, coro) -> None:
        self._busy = True
        self.run_task(coro).add_done_callback(lambda _: setattr(self, "_busy", False))

    async def _renew(self) -> None:
        lease, asked_at = self._lease, self.clock.now()
        outcome = await self._store.renew_lease(lease)
        if self._lease != lease:
            return
        if isinstance(outcome, Granted):
            self._valid_until = asked_at + outcome.ttl
            self._state = LeaderState.LEADER
        elif isinstance(outcome, LeaseExpired):
            self._lease = None
            self._lapse()
            await self._acquire()

    async def _acquire(self) -> None:
        """Create the leader key unless it exists; a lapsed leader steps down if it does."""
        found = await self._store.get(self._key)
        if isinstance(found, Found):
            self._defer_to(found.entry.value)
            if self._watches and not self.leads and not self._stopped:
                found = await self._await_removal(found.entry.version)
        elif isinstance(found, Missing) and self._watches and not self.leads:
            await sleep(self.clock, self._stagger)
            found = await self._store.get(self._key)
        if not isinstance(found, Missing) or self._stopped:
            return
        asked_at = self.clock.now()
        granted = await self._store.grant_lease(self._cfg.timing.leader_lease)
        if not isinstance(granted, Granted):
            return
        value = self._name + str(next(self._attempts)).encode()
        outcome = await self._store.put(self._key, value, ABSENT, granted.lease)
        if isinstance(outcome, Unavailable):
            outcome = await self._read_back(value)
        if isinstance(outcome, Conflict) and outcome.current is not None:
            self._defer_to(outcome.current.value)
        valid_until = asked_at + granted.ttl
        if isinstance(outcome, Stored) and not self._stopped and self.clock.now() < valid_until:
            self._lead(granted.lease, valid_until, Epoch(outcome.version))
        else:
            await self._store.revoke_lease(granted.lease)

    async def _await_removal(self, version: Version) -> ReadOutcome:
        """Watch the leader key until it changes and return what it is then."""
        outcome = await self._store.watch(self._key, version, WATCH_SECONDS)
        while isinstance(outcome, Unchanged) and not self._stopped:
            outcome = await self._store.watch(self._key, outcome.version, WATCH_SECONDS)
        if not isinstance(outcome, Changed):
            return Unavailable("the leader key cannot be watched")
        # Candidates that all saw the removal would otherwise ask for leases at once.
        await sleep(self.clock, self._stagger)
        return await self._store.get(self._key)

    def _defer_to(self, value: bytes) -> None:
        """Step down if the leader key belongs to another process.

        A key of this process is left from an attempt whose reply was lost; its
        lease was revoked or expires.
        """
        if not value.startswith(self._name):
            self.step_down("another instance holds the lease")

    async def _read_back(self, value: bytes) -> Stored | Conflict | Unavailable:
        """Return whether a write whose reply was lost took effect."""
        found = await self._store.get(self._key)
        if not isinstance(found, Found):
            return Unavailable("the leader key cannot be read back")
        if found.entry.value == value:
            return Stored(found.entry.version)
        return Conflict(found.entry)

    def _lead(self, lease: LeaseId, valid_until: float, epoch: Epoch) -> None:
        self._state = LeaderState.LEADER
        self._lease = lease
        self._valid_until = valid_until
        self.epoch = epoch
        log_event(LogEvent.LEADERSHIP_GAINED, epoch=epoch)
        self.fire(leadership_gained(epoch))


def _stagger_of(cfg: Settings) -> float:
    """Return the wait before a candidate asks for a free lease, in seconds."""
    spread = MAX_STAGGER_SECONDS * crc32(cfg.instance.encode()) / 2**32
    if cfg.batch is None:
        return spread
    cores = cfg.batch.cores * cfg.batch.core_share / LEADER_CORES
    strength = min(1.0, cores, cfg.batch.link_mbps / LEADER_LINK_MBPS)
    return spread + WEAK_STAGGER_SECONDS * (1.0 - strength)
