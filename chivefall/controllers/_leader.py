"""Leadership of the failure domain under a lease in the store."""

from __future__ import annotations

import secrets
from enum import Enum
from typing import TYPE_CHECKING

from chivefall.controllers._base import Controller
from chivefall.events import leadership_gained, leadership_lost
from chivefall.model import Epoch
from chivefall.store import (
    ABSENT,
    Conflict,
    Found,
    Granted,
    LeaseExpired,
    LeaseId,
    Store,
    Stored,
    Unavailable,
    leader_key,
)
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.config import Settings
    from chivefall.runtime import Clock

__all__ = ["LeaderController", "LeaderState"]


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
    write and so fences older leaders at the workers.
    """

    def __init__(
        self,
        clock: Clock,
        cfg: Settings,
        store: Store,
        other_leader_heard: Callable[[float], bool],
    ) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._store = store
        self._other_leader_heard = other_leader_heard
        self._key = leader_key(cfg.failure_domain)
        self._lease: LeaseId | None = None
        self._valid_until = float("-inf")
        self._busy = False
        self.state = LeaderState.FOLLOWER
        self.epoch = Epoch(0)

    @property
    def leads(self) -> bool:
        """Return whether this instance acts as leader."""
        return self.state is not LeaderState.FOLLOWER

    def lease_is_valid(self, now: float) -> bool:
        """Return whether the lease is certain to be held."""
        return self.state is LeaderState.LEADER and now < self._valid_until

    def start(self) -> None:
        """Begin to acquire or renew the lease at each renewal interval."""
        self.every(self._cfg.timing.leader_renewal, self._turn)

    def stop(self) -> None:
        """Give the lease up so that a peer takes over at once."""
        super().stop()
        if self.leads and self._lease is not None:
            self.run_task(self._store.revoke_lease(self._lease))
            self.step_down("shutdown")

    def step_down(self, reason: str) -> None:
        """Stop leading; called when a higher epoch was seen."""
        if not self.leads:
            return
        log_event(LogEvent.LEADERSHIP_LOST, epoch=self.epoch, reason=reason)
        self.state = LeaderState.FOLLOWER
        self.epoch = Epoch(0)
        self._lease = None
        self.fire(leadership_lost(reason))

    def _turn(self, now: float) -> None:
        if self.state is LeaderState.LEADER and now >= self._valid_until:
            self.state = LeaderState.LAPSED
        if self._busy:
            return
        if self.leads:
            self._begin(self._renew())
        elif not self._other_leader_heard(now):
            self._begin(self._acquire())

    def _begin(self, coro) -> None:
        self._busy = True
        self.run_task(coro).add_done_callback(lambda _: setattr(self, "_busy", False))

    async def _renew(self) -> None:
        asked_at = self.clock.now()
        outcome = await self._store.renew_lease(self._lease)
        if isinstance(outcome, Granted):
            self._valid_until = asked_at + outcome.ttl
            if self.state is LeaderState.LAPSED:
                self.state = LeaderState.LEADER
        elif isinstance(outcome, LeaseExpired):
            self.step_down("the lease expired")

    async def _acquire(self) -> None:
        asked_at = self.clock.now()
        granted = await self._store.grant_lease(self._cfg.timing.leader_lease)
        if not isinstance(granted, Granted):
            return
        nonce = f"{self._cfg.instance} {secrets.token_hex(8)}".encode()
        outcome = await self._store.put(self._key, nonce, ABSENT, granted.lease)
        if isinstance(outcome, Unavailable):
            outcome = await self._read_back(nonce)
        if isinstance(outcome, Stored) and not self._stopped:
            self._lead(granted.lease, asked_at + granted.ttl, Epoch(outcome.version))
        else:
            await self._store.revoke_lease(granted.lease)

    async def _read_back(self, nonce: bytes) -> Stored | Conflict | Unavailable:
        """Return whether a write whose reply was lost took effect."""
        found = await self._store.get(self._key)
        if isinstance(found, Found) and found.entry.value == nonce:
            return Stored(found.entry.version)
        return Unavailable("the leader key is not ours")

    def _lead(self, lease: LeaseId, valid_until: float, epoch: Epoch) -> None:
        if self.clock.now() >= valid_until:
            return
        self.state = LeaderState.LEADER
        self._lease = lease
        self._valid_until = valid_until
        self.epoch = epoch
        log_event(LogEvent.LEADERSHIP_GAINED, epoch=epoch)
        self.fire(leadership_gained(epoch))
