"""Leader election for a failure domain, based on a lease in the store."""

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

WATCH_TIMEOUT_SECONDS = 5.0  # of one watch on the leader key by a follower
MAX_STAGGER_SECONDS = 0.1  # spreads the candidates after the key's removal, in a fixed order
LOW_RESOURCE_DELAY_SECONDS = 0.4
"""Additional delay before an instance on the weakest machine requests the lease.

A removal reaches all watches within a few milliseconds and two store calls take 10 ms,
so a candidate on a stronger machine has acquired the lease by then if it can.
"""
SUFFICIENT_LEADER_CORES = 1.0  # a leader of 176 workers used 0.36 cores in its busiest second
SUFFICIENT_LEADER_LINK_MBPS = 100.0  # reads the jobs of 176 workers, 1.5 MB, in 0.12 s


class LeaderState(Enum):
    """Whether this instance leads its failure domain.

    LAPSED: the lease could not be renewed in time and may have expired. The
    instance keeps its work, but another one may already hold a higher epoch.
    """

    FOLLOWER = "follower"
    LEADER = "leader"
    LAPSED = "lapsed"


class LeaderController(Controller):
    """Acquires, renews and releases the leader lease.

    The epoch is the store's version of the leader key. It grows with every
    write, so workers can fence older leaders. A ``leadership_gained`` event
    that follows another one without a ``leadership_lost`` in between means that
    the instance acquired the lease again under a higher epoch.

    Parameters
    ----------
    get_peer_epoch : callable
        Returns the highest epoch in recent heartbeats from peers of the failure
        domain, or 0.
    scope : str, optional
        Scope of the leadership; by default the failure domain in the settings.
    watches : bool
        Whether a follower watches the leader key instead of polling it, so that
        it takes over as soon as the key is removed.
    """

    def __init__(
        self,
        clock: Clock,
        cfg: Settings,
        store: Store,
        get_peer_epoch: Callable[[float], Epoch],
        scope: str | None = None,
        *,
        watches: bool = False,
    ) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._store = store
        self._get_peer_epoch = get_peer_epoch
        self._watches = watches
        self._acquire_delay = _acquire_delay(cfg)
        self._key = leader_key(DomainId(scope) if scope else cfg.failure_domain)
        self._value_prefix = f"{cfg.instance} {secrets.token_hex(8)} ".encode()
        self._attempts = itertools.count(1)
        self._lease: LeaseId | None = None
        self._valid_until = float("-inf")
        self._next_check = float("-inf")
        self._busy = False
        self._state = LeaderState.FOLLOWER
        self.epoch = Epoch(0)

    @property
    def state(self) -> LeaderState:
        """Return the current state.

        The clock is read on every access, because the lease may have expired
        while the process was paused.
        """
        if self._state is LeaderState.LEADER and self.clock.now() >= self._valid_until:
            return LeaderState.LAPSED
        return self._state

    @property
    def leads(self) -> bool:
        """Return whether this instance acts as leader, also after its lease lapsed."""
        return self._state is not LeaderState.FOLLOWER

    @property
    def key(self) -> str:
        """Return the leader key, whose version is the epoch."""
        return self._key

    @property
    def valid_until(self) -> float:
        """Return the time until which the store last granted the lease."""
        return self._valid_until

    def lease_is_valid(self, now: float) -> bool:
        """Return whether the lease is certain to be held."""
        return self._state is LeaderState.LEADER and now < self._valid_until

    def start(self) -> None:
        """Start acquiring or renewing the lease at each renewal interval."""
        self.every(self._cfg.timing.leader_renewal, self._tick)

    def stop(self) -> None:
        """Release the lease so that a peer can take over immediately."""
        super().stop()
        self.step_down("shutdown")

    def step_down(self, reason: str) -> None:
        """Stop leading and release the lease."""
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
        """Step down if ``epoch``, issued in this failure domain, exceeds this instance's epoch."""
        if self.leads and epoch > self.epoch:
            self.step_down(f"a peer leads with epoch {epoch}")

    def _tick(self, now: float) -> None:
        peer_epoch = self._get_peer_epoch(now)
        self.step_down_if_superseded(peer_epoch)
        if now >= self._valid_until:
            self._mark_lapsed()
        if self._busy:
            return
        if self._lease is not None:
            self._run_exclusive(self._renew())
        elif self.leads or not peer_epoch or now >= self._next_check:
            # The leader that sends heartbeats may have lost the store while this
            # instance can reach it, so the key is still read once per lease period.
            self._next_check = now + self._cfg.timing.leader_lease
            self._run_exclusive(self._acquire())

    def _mark_lapsed(self) -> None:
        if self._state is LeaderState.LEADER:
            self._state = LeaderState.LAPSED
            log_event(LogEvent.LEADERSHIP_LAPSED, epoch=self.epoch)

    def _run_exclusive(self, coro) -> None:
        self._busy = True
        self.run_task(coro).add_done_callback(lambda _: setattr(self, "_busy", False))

    async def _renew(self) -> None:
        lease, requested_at = self._lease, self.clock.now()
        outcome = await self._store.renew_lease(lease)
        if self._lease != lease:
            return
        if isinstance(outcome, Granted):
            self._valid_until = requested_at + outcome.ttl
            self._state = LeaderState.LEADER
        elif isinstance(outcome, LeaseExpired):
            self._lease = None
            self._mark_lapsed()
            await self._acquire()

    async def _acquire(self) -> None:
        """Create the leader key if it is absent; step down if another process holds it."""
        found = await self._store.get(self._key)
        if isinstance(found, Found):
            self._step_down_unless_own(found.entry.value)
            if self._watches and not self.leads and not self._stopped:
                found = await self._await_removal(found.entry.version)
        elif isinstance(found, Missing) and self._watches and not self.leads:
            await sleep(self.clock, self._acquire_delay)
            found = await self._store.get(self._key)
        if not isinstance(found, Missing) or self._stopped:
            return
        requested_at = self.clock.now()
        granted = await self._store.grant_lease(self._cfg.timing.leader_lease)
        if not isinstance(granted, Granted):
            return
        value = self._value_prefix + str(next(self._attempts)).encode()
        outcome = await self._store.put(self._key, value, ABSENT, granted.lease)
        if isinstance(outcome, Unavailable):
            outcome = await self._read_back(value)
        if isinstance(outcome, Conflict) and outcome.current is not None:
            self._step_down_unless_own(outcome.current.value)
        valid_until = requested_at + granted.ttl
        if isinstance(outcome, Stored) and not self._stopped and self.clock.now() < valid_until:
            self._become_leader(granted.lease, valid_until, Epoch(outcome.version))
        else:
            await self._store.revoke_lease(granted.lease)

    async def _await_removal(self, version: Version) -> ReadOutcome:
        """Watch the leader key until it changes, then read it."""
        outcome = await self._store.watch(self._key, version, WATCH_TIMEOUT_SECONDS)
        while isinstance(outcome, Unchanged) and not self._stopped:
            outcome = await self._store.watch(self._key, outcome.version, WATCH_TIMEOUT_SECONDS)
        if not isinstance(outcome, Changed):
            return Unavailable("watch of the leader key failed")
        # Without the delay, all candidates that saw the removal would request leases at once.
        await sleep(self.clock, self._acquire_delay)
        return await self._store.get(self._key)

    def _step_down_unless_own(self, value: bytes) -> None:
        """Step down if the leader key belongs to another process.

        A key written by this process is a leftover of an attempt whose reply was
        lost; its lease was revoked or will expire.
        """
        if not value.startswith(self._value_prefix):
            self.step_down("another instance holds the lease")

    async def _read_back(self, value: bytes) -> Stored | Conflict | Unavailable:
        """Read the leader key to find out whether a write with a lost reply took effect."""
        found = await self._store.get(self._key)
        if not isinstance(found, Found):
            return Unavailable("the leader key could not be read back after its write")
        if found.entry.value == value:
            return Stored(found.entry.version)
        return Conflict(found.entry)

    def _become_leader(self, lease: LeaseId, valid_until: float, epoch: Epoch) -> None:
        self._state = LeaderState.LEADER
        self._lease = lease
        self._valid_until = valid_until
        self.epoch = epoch
        log_event(LogEvent.LEADERSHIP_GAINED, epoch=epoch)
        self.fire(leadership_gained(epoch))


def _acquire_delay(cfg: Settings) -> float:
    """Return the delay in seconds before a candidate requests a free lease."""
    spread = MAX_STAGGER_SECONDS * crc32(cfg.instance.encode()) / 2**32
    if cfg.batch is None:
        return spread
    cores = cfg.batch.cores * cfg.batch.core_share / SUFFICIENT_LEADER_CORES
    capability = min(1.0, cores, cfg.batch.link_mbps / SUFFICIENT_LEADER_LINK_MBPS)
    return spread + LOW_RESOURCE_DELAY_SECONDS * (1.0 - capability)
