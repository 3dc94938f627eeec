"""Routes job operations to the leader of the job's failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from chivefall.controllers._base import Controller
from chivefall.controllers.jobs._table import WaitReply
from chivefall.model import (
    Accepted,
    DomainId,
    JobId,
    JobRecord,
    JobSpec,
    JobState,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    domain_of_job,
)
from chivefall.net import PeerFailure, Peers, decode_outcome, encode_outcome
from chivefall.routing import DomainCandidate, choose_domain, guarantees_cover
from chivefall.runtime import sleep

if TYPE_CHECKING:
    from chivefall.config import Settings
    from chivefall.controllers._leader import LeaderController
    from chivefall.controllers._membership import MembershipController
    from chivefall.controllers.document._document import DocumentController
    from chivefall.controllers.jobs._jobs import JobController
    from chivefall.runtime import Clock

__all__ = ["JobRouter"]

RETRY_AFTER_SECONDS = 2.0  # retry hint for callers; a domain without a leader may have one by then
MAX_PEER_WAIT_SECONDS = 5.0  # long poll at a leader; short, so that its failure is noticed
WAIT_RETRY_DELAY_SECONDS = 0.5  # between two long polls
MAX_TRANSFERS_FOLLOWED = 8  # of one job, by one status or cancel request
SUBMIT = "submit_job"
WAIT = "wait_job"
STATUS = "job_status"
CANCEL = "cancel_job"
CANCEL_CALL_TIMEOUT_SECONDS = 12.0  # longer than CANCEL_WAIT_SECONDS of the leader


class JobRouter(Controller):
    """Calls the job controller of a failure domain's leader, locally or at a peer."""

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
        """Serve job operations to peers."""
        self._peers.register_operation(SUBMIT, lambda body: self.run_task(self._serve_submit(body)))
        self._peers.register_operation(WAIT, lambda body: self.run_task(self._serve_wait(body)))
        self._peers.register_operation(STATUS, lambda body: self.run_task(self._serve_status(body)))
        self._peers.register_operation(CANCEL, lambda body: self.run_task(self._serve_cancel(body)))

    async def submit(self, spec: JobSpec, caller_waits: bool, now: float) -> Outcome:
        """Submit a job to the leader of a suitable failure domain.

        While the store is down, only an idempotent job whose caller waits is accepted.
        """
        domain = choose_domain(spec, self._candidates(spec, now))
        if domain is None:
            return NotRun(
                NotRunReason.NO_LEADER,
                "no failure domain in service has a leader",
                RETRY_AFTER_SECONDS,
            )
        if self._is_local(domain):
            return await self._jobs.submit(spec, caller_waits)
        return await self._submit_at(domain, spec, caller_waits)

    async def wait(self, job_id: JobId, deadline: float) -> Outcome:
        """Wait until the deadline for a job to end, following it to other domains.

        Returns Accepted if the job has not ended by then.
        """
        domain = domain_of_job(job_id)
        while (remaining := deadline - self.clock.now()) > 0:
            reply = await self._wait_at(domain, job_id, min(remaining, MAX_PEER_WAIT_SECONDS))
            if reply.outcome is not None:
                return reply.outcome
            if reply.moved_to is not None:
                domain = reply.moved_to
            elif not self._has_leader(domain):
                domain = await self._locate(job_id) or domain
            await sleep(self.clock, WAIT_RETRY_DELAY_SECONDS)
        return Accepted(job_id)

    async def status(self, job_id: JobId, now: float) -> JobRecord | None:
        """Return a job's record, or None if no reachable leader has one."""
        return await self._follow(job_id, self._status_at)

    async def cancel(self, job_id: JobId) -> JobRecord | Unknown | None:
        """Cancel a job in whichever domain it is; None if no reachable leader has it."""
        return await self._follow(job_id, self._cancel_at)

    async def _follow(self, job_id: JobId, operation) -> JobRecord | Unknown | None:
        """Apply an operation in the job's domain, and again in each domain it moved to."""
        domain, result = domain_of_job(job_id), None
        if not self._has_leader(domain):
            domain = await self._locate(job_id) or domain
        for _ in range(MAX_TRANSFERS_FOLLOWED):
            result = await operation(domain, job_id)
            if not isinstance(result, JobRecord) or result.state is not JobState.MOVED:
                return result
            domain = result.moved_to
        return result

    async def _locate(self, job_id: JobId) -> DomainId | None:
        """Return the domain of a job whose original domain has no leader, or None."""
        for domain in self._document.document.failure_domains:
            record = await self._status_at(domain, job_id)
            if record is not None:
                return domain if record.state is not JobState.MOVED else record.moved_to
        return None

    def _has_leader(self, domain: DomainId) -> bool:
        now = self.clock.now()
        return self._is_local(domain) or self._membership.leader_of(domain, now) is not None

    async def _wait_at(self, domain: DomainId, job_id: JobId, seconds: float) -> WaitReply:
        if self._is_local(domain):
            return await self._jobs.wait(job_id, seconds)
        limit = seconds + self._cfg.timing.peer_timeout
        reply = await self._call(domain, WAIT, [job_id, seconds], limit)
        if isinstance(reply, PeerFailure):
            return WaitReply()
        outcome, moved_to = reply
        return WaitReply(decode_outcome(outcome) if outcome else None, moved_to)

    async def _status_at(self, domain: DomainId, job_id: JobId) -> JobRecord | None:
        if self._is_local(domain):
            return self._jobs.status(job_id)
        reply = await self._call(domain, STATUS, job_id, self._cfg.timing.peer_timeout)
        if reply is None or isinstance(reply, PeerFailure):
            return None
        return msgspec.convert(reply, JobRecord)

    async def _cancel_at(self, domain: DomainId, job_id: JobId) -> JobRecord | Unknown | None:
        if self._is_local(domain):
            return await self._jobs.cancel(job_id)
        reply = await self._call(domain, CANCEL, job_id, CANCEL_CALL_TIMEOUT_SECONDS)
        if isinstance(reply, PeerFailure):
            return Unknown(reply.reason) if reply.sent else None
        if reply is None or "job_id" in reply:
            return None if reply is None else msgspec.convert(reply, JobRecord)
        return decode_outcome(reply)

    def _candidates(self, spec: JobSpec, now: float) -> list[DomainCandidate]:
        """Return the failure domains in service that have a leader."""
        document = self._document.document
        candidates = []
        for domain in document.failure_domains:
            capacity = self._capacity(domain, now)
            if capacity is None or not document.is_in_service(domain):
                continue
            guaranteed = guarantees_cover(self._document.guarantee_shares(domain), spec)
            is_local = domain == self._cfg.failure_domain
            candidates.append(
                DomainCandidate(domain, *capacity[:3], guaranteed=guaranteed, is_local=is_local)
            )
        return candidates

    def _capacity(self, domain: DomainId, now: float) -> tuple[int, ...] | None:
        """Return the capacity reported by a domain's leader, or None without a leader."""
        if self._is_local(domain):
            return self._jobs.capacity_summary()
        leader = self._membership.leader_of(domain, now)
        return None if leader is None else leader.capacity

    def _is_local(self, domain: DomainId) -> bool:
        return domain == self._cfg.failure_domain and self._leader.leads

    async def _call(
        self, domain: DomainId, operation: str, body: Any, timeout: float
    ) -> Any | PeerFailure:
        leader = self._membership.leader_of(domain, self.clock.now())
        if leader is None:
            return PeerFailure(f"failure domain {domain} has no leader", sent=False)
        return await self._peers.call(leader.instance, operation, body, timeout)

    async def _submit_at(self, domain: DomainId, spec: JobSpec, caller_waits: bool) -> Outcome:
        body = [msgspec.to_builtins(spec), caller_waits]
        reply = await self._call(domain, SUBMIT, body, self._cfg.timing.peer_timeout)
        if isinstance(reply, PeerFailure):
            if reply.sent:
                return Unknown(reply.reason)
            return NotRun(NotRunReason.UNREACHABLE, reply.reason, RETRY_AFTER_SECONDS)
        return decode_outcome(reply)

    async def _serve_submit(self, body: Any) -> Any:
        spec, wait = body
        return encode_outcome(await self._jobs.submit(msgspec.convert(spec, JobSpec), wait))

    async def _serve_wait(self, body: Any) -> Any:
        job_id, seconds = body
        reply = await self._jobs.wait(JobId(job_id), seconds)
        return [reply.outcome and encode_outcome(reply.outcome), reply.moved_to]

    async def _serve_status(self, body: Any) -> Any:
        record = self._jobs.status(JobId(body))
        return None if record is None else msgspec.to_builtins(record)

    async def _serve_cancel(self, body: Any) -> Any:
        result = await self._jobs.cancel(JobId(body))
        if isinstance(result, Unknown):
            return encode_outcome(result)
        return None if result is None else msgspec.to_builtins(result)
