"""Routes job operations to the leader of the job's failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from chivefall.controllers._base import Controller
from chivefall.model import (
    Accepted,
    DomainId,
    JobId,
    JobRecord,
    JobSpec,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    domain_of_job,
)
from chivefall.net import PeerFailure, Peers, decode_outcome, encode_outcome
from chivefall.runtime import wait_for

if TYPE_CHECKING:
    from chivefall.config import Settings
    from chivefall.controllers._document import DocumentController
    from chivefall.controllers._jobs import JobController
    from chivefall.controllers._leader import LeaderController
    from chivefall.controllers._membership import MembershipController
    from chivefall.runtime import Clock

__all__ = ["JobRouter"]

RETRY_AFTER = 2.0  # seconds after which a domain without a leader may have one
SUBMIT = "submit_job"
WAIT = "wait_job"
STATUS = "job_status"


class JobRouter(Controller):
    """Calls the job controller here or at the peer that leads the domain."""

    def __init__(
        self,
        clock: Clock,
        cfg: Settings,
        peers: Peers,
        membership: MembershipController,
        document: DocumentController,
        leader: LeaderController,
        jobs: JobController,
    ) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._peers = peers
        self._membership = membership
        self._document = document
        self._leader = leader
        self._jobs = jobs

    def start(self) -> None:
        """Answer peers that ask this leader."""
        self._peers.serve(SUBMIT, lambda body: self.run_task(self._serve_submit(body)))
        self._peers.serve(WAIT, lambda body: self.run_task(self._serve_wait(body)))
        self._peers.serve(STATUS, lambda body: self.run_task(self._serve_status(body)))

    async def submit(self, spec: JobSpec, wait: bool, deadline: float, now: float) -> Outcome:
        """Submit a job in a failure domain with a leader and optionally wait for its end."""
        domain = self._choose_domain(now)
        if domain is None:
            return NotRun(
                NotRunReason.NO_LEADER, "no failure domain in service has a leader", RETRY_AFTER
            )
        if self._is_local(domain):
            outcome = await self._jobs.submit(spec)
        else:
            outcome = await self._ask(domain, SUBMIT, msgspec.to_builtins(spec), now)
        if wait and isinstance(outcome, Accepted):
            return await self.wait(outcome.job_id, deadline)
        return outcome

    async def wait(self, job_id: JobId, deadline: float) -> Outcome:
        """Wait for a job's final state until the deadline."""
        now = self.clock.now()
        domain = domain_of_job(job_id)
        remaining = max(0.0, deadline - now)
        if self._is_local(domain):
            fut = self.run_task(self._jobs.wait(job_id))
            return await wait_for(self.clock, fut, remaining, Accepted(job_id))
        outcome = await self._ask(domain, WAIT, job_id, now, remaining)
        return Accepted(job_id) if isinstance(outcome, NotRun) else outcome

    async def status(self, job_id: JobId, now: float) -> JobRecord | None:
        """Return a job's record, or None if no leader knows it."""
        domain = domain_of_job(job_id)
        if self._is_local(domain):
            return self._jobs.status(job_id)
        leader = self._membership.leader_of(domain, now)
        if leader is None:
            return None
        reply = await self._peers.call(
            leader.instance, STATUS, job_id, self._cfg.timing.peer_timeout
        )
        if reply is None or isinstance(reply, PeerFailure):
            return None
        return msgspec.convert(reply, JobRecord)

    def _choose_domain(self, now: float) -> DomainId | None:
        """Return the own domain if it has a leader, else the one with most free room."""
        document = self._document.document
        candidates = []
        for domain in document.failure_domains:
            if not document.is_in_service(domain):
                continue
            if self._is_local(domain):
                return domain
            leader = self._membership.leader_of(domain, now)
            if leader is not None:
                own = domain == self._cfg.failure_domain
                free = leader.capacity[0] if leader.capacity else 0
                candidates.append((own, free, domain))
        return max(candidates)[2] if candidates else None

    def _is_local(self, domain: DomainId) -> bool:
        return domain == self._cfg.failure_domain and self._leader.leads

    async def _ask(
        self, domain: DomainId, operation: str, body: Any, now: float, timeout: float = 0.0
    ) -> Outcome:
        leader = self._membership.leader_of(domain, now)
        if leader is None:
            return NotRun(NotRunReason.NO_LEADER, f"{domain} has no leader now", RETRY_AFTER)
        limit = timeout or self._cfg.timing.peer_timeout
        reply = await self._peers.call(leader.instance, operation, body, limit)
        if isinstance(reply, PeerFailure):
            if reply.sent:
                return Unknown(reply.reason)
            return NotRun(NotRunReason.UNREACHABLE, reply.reason, RETRY_AFTER)
        return decode_outcome(reply)

    async def _serve_submit(self, body: Any) -> Any:
        return encode_outcome(await self._jobs.submit(msgspec.convert(body, JobSpec)))

    async def _serve_wait(self, body: Any) -> Any:
        return encode_outcome(await self._jobs.wait(JobId(body)))

    async def _serve_status(self, body: Any) -> Any:
        record = self._jobs.status(JobId(body))
        return None if record is None else msgspec.to_builtins(record)
