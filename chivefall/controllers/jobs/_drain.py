"""Transfer of jobs between failure domains."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import msgspec
from circuits import handler

from chivefall.controllers._base import Controller
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
    WorkerState,
)
from chivefall.net import PeerFailure, Peers, decode_outcome, encode_outcome
from chivefall.routing import (
    DomainCandidate,
    TransferableJob,
    choose_transfer_targets,
    guarantees_cover,
)
from chivefall.runtime import wait_for
from chivefall.scheduling import find_placement
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from chivefall.config import Settings
    from chivefall.controllers._leader import LeaderController
    from chivefall.controllers._membership import MembershipController
    from chivefall.controllers.document._document import DocumentController
    from chivefall.controllers.jobs._jobs import JobController
    from chivefall.controllers.jobs._table import Job
    from chivefall.controllers.workers._workers import WorkerController
    from chivefall.runtime import Clock

__all__ = ["DrainController"]

TRANSFER = "transfer_job"
TRANSFER_INTERVAL_SECONDS = 1.0
OFFER_INTERVAL_SECONDS = 5.0  # lets the targets' next heartbeats arrive between two offers
MAX_JOBS_PER_OFFER = 8
MAX_OPEN_TRANSFERS = 32  # the peer socket buffers 64 messages
OFFER_DELAY_SECONDS = 5.0  # time in the local queue before a job is offered to other domains
MAX_CHECKPOINTS_PER_INTERVAL = 8  # small batches, so that the first jobs are transferred early
RECORD_TIMEOUT_SECONDS = 2.0  # wait for the record of a transferred job to be stored
RETRY_AFTER_SECONDS = 2.0  # retry hint for callers of an instance that does not lead


class DrainController(Controller):
    """Transfers jobs to the leaders of other failure domains and accepts jobs from them.

    While the domain is out of service, all transferable jobs leave it; running ones
    are checkpointed and queued first. While it is in service, jobs that stay queued
    are offered in small batches to domains that can start them or where their account
    can reclaim capacity.
    """

    def __init__(
        self,
        clock: Clock,
        cfg: Settings,
        peers: Peers,
        membership: MembershipController,
        document: DocumentController,
        leader: LeaderController,
        jobs: JobController,
        workers: WorkerController,
    ) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._peers = peers
        self._membership = membership
        self._document = document
        self._leader = leader
        self._jobs = jobs
        self._workers = workers
        self._offered_at = 0.0
        self._open_transfers = 0
        self._receiving: set[JobId] = set()

    def start(self) -> None:
        """Serve transfers from other leaders and start the periodic search for jobs to transfer."""
        self._peers.register_operation(
            TRANSFER, lambda body: self.run_task(self._serve_transfer(body))
        )
        self.every(TRANSFER_INTERVAL_SECONDS, self._checkpoint_and_transfer)

    def _checkpoint_and_transfer(self, now: float) -> None:
        in_service = self._document.document.is_in_service(self._cfg.failure_domain)
        if not self._leader.leads or not self._jobs.ready:
            return
        if not in_service:
            for job_id in self._jobs.drain_order(now)[:MAX_CHECKPOINTS_PER_INTERVAL]:
                self._jobs.checkpoint(job_id)
        self._transfer_jobs(now, leaving=not in_service)

    def _transfer_jobs(self, now: float, leaving: bool) -> None:
        jobs = self._jobs.jobs
        slots = MAX_OPEN_TRANSFERS - self._open_transfers
        for job in list(jobs.values()):
            if job.record.state is JobState.TRANSFERRING and not job.busy and slots > 0:
                slots -= 1
                self._start_transfer(job, job.record.moved_to)
        if not leaving:
            if now < self._offered_at + OFFER_INTERVAL_SECONDS:
                return
            self._offered_at = now
            slots = min(slots, MAX_JOBS_PER_OFFER)
        queued = [
            TransferableJob(
                job.record.job_id,
                job.record.spec,
                frozenset(job.refused_by),
                leaving,
                self._reclaim_domains(job.record.spec),
            )
            for job in jobs.values()
            if job.record.state is JobState.QUEUED
            and not job.busy
            and not job.record.cancel_requested
            and (leaving or job.queued_at + OFFER_DELAY_SECONDS <= now)
        ]
        if queued and slots > 0:
            for job_id, domain in choose_transfer_targets(queued, self._candidates(now))[:slots]:
                self._start_transfer(jobs[job_id], domain)

    def _reclaim_domains(self, spec: JobSpec) -> frozenset[DomainId]:
        """Return the domains where a job's account can reclaim capacity; none if it can here."""
        document = self._document.document
        domains = frozenset(
            domain
            for domain in document.failure_domains
            if guarantees_cover(self._document.guarantee_shares(domain), spec)
        )
        return frozenset() if self._cfg.failure_domain in domains else domains

    def _candidates(self, now: float) -> list[DomainCandidate]:
        document = self._document.document
        candidates = []
        for domain in document.failure_domains:
            leader = self._membership.leader_of(domain, now)
            is_eligible = domain != self._cfg.failure_domain and document.is_in_service(domain)
            if is_eligible and leader is not None and leader.capacity:
                candidates.append(DomainCandidate(domain, *leader.capacity[:3]))
        return candidates

    @handler("job_rejected")
    def _on_job_rejected(self, job_id: JobId, reason: str) -> None:
        job = self._jobs.jobs.get(job_id)
        if job is not None and job.record.state is JobState.QUEUED and not job.busy:
            self.run_task(self._transfer_rejected(job, reason))

    async def _transfer_rejected(self, job: Job, reason: str) -> None:
        """Transfer a job that can never run here, or fail it if no other domain accepts it."""
        while self._jobs.owns(job) and job.record.state is JobState.QUEUED:
            item = TransferableJob(
                job.record.job_id, job.record.spec, frozenset(job.refused_by), must_leave=True
            )
            chosen = choose_transfer_targets([item], self._candidates(self.clock.now()))
            if not chosen:
                self._jobs.reject(job, reason)
                return
            target = chosen[0][1]
            await self._transfer(job, target)
            job.refused_by.add(target)

    def _start_transfer(self, job: Job, target: DomainId) -> None:
        job.busy = True
        self.run_task(self._transfer(job, target))

    async def _transfer(self, job: Job, target: DomainId) -> None:
        """Create a job at another leader, then mark it as moved here.

        The target is recorded before the first call, so that after a crash of
        this leader its successor repeats the call to the same target.
        """
        job.busy = True
        self._open_transfers += 1
        try:
            if job.record.state is JobState.QUEUED:
                job.record = job.record.with_state(
                    JobState.TRANSFERRING, moved_to=target, transfers=job.record.transfers + 1
                )
                job.transfer_uncertain = False
                if not await self._jobs.records.save(job) or not self._jobs.owns(job):
                    return
            outcome = await self._request_transfer(job, target)
        finally:
            job.busy = False
            self._open_transfers -= 1
        if self._jobs.owns(job):
            self._apply_outcome(job, target, outcome)

    async def _request_transfer(self, job: Job, target: DomainId) -> Outcome:
        leader = self._membership.leader_of(target, self.clock.now())
        if leader is None:
            return NotRun(NotRunReason.NO_LEADER, f"failure domain {target} has no leader")
        body = msgspec.to_builtins(job.record)
        limit = self._cfg.timing.peer_timeout
        reply = await self._peers.call(leader.instance, TRANSFER, body, limit)
        if not isinstance(reply, PeerFailure):
            return decode_outcome(reply)
        if reply.sent:
            return Unknown(reply.reason)
        return NotRun(NotRunReason.UNREACHABLE, reply.reason)

    def _apply_outcome(self, job: Job, target: DomainId, outcome: Outcome) -> None:
        record, now = job.record, self.clock.now()
        if isinstance(outcome, Accepted):
            log_event(LogEvent.JOB_TRANSFERRED, job=record.job_id, to=target)
            self._jobs.update_record(job, record.with_state(JobState.MOVED, finished_at=now))
            return
        if not isinstance(outcome, NotRun):
            job.transfer_uncertain = True
            return
        # A leader gives these reasons only after it has checked its loaded records, so
        # the target does not have the job. After a lost reply, no other reason proves that.
        conclusive = outcome.reason in (NotRunReason.INFEASIBLE, NotRunReason.NO_CAPACITY)
        if outcome.reason is NotRunReason.INFEASIBLE:
            job.refused_by.add(target)
        if conclusive or not job.transfer_uncertain:
            self._jobs.update_record(job, record.with_state(JobState.QUEUED, moved_to=None))

    async def _serve_transfer(self, body: Any) -> Any:
        record = msgspec.convert(body, JobRecord)
        if record.job_id in self._receiving:
            return encode_outcome(Unknown("the same transfer is in progress"))
        self._receiving.add(record.job_id)
        try:
            return encode_outcome(await self._receive_transfer(record))
        finally:
            self._receiving.discard(record.job_id)

    async def _receive_transfer(self, record: JobRecord) -> Outcome:
        """Record a job of another domain; a repeated transfer of it is accepted again."""
        if not self._leader.leads or not self._jobs.ready:
            return NotRun(
                NotRunReason.NO_LEADER,
                "this instance does not lead its domain",
                RETRY_AFTER_SECONDS,
            )
        existing = self._jobs.jobs.get(record.job_id)
        if existing is not None and existing.record.transfers >= record.transfers:
            stored = await wait_for(self.clock, existing.saved, RECORD_TIMEOUT_SECONDS, False)
            # Without a valid lease, a successor may have loaded its records before this
            # record was written.
            certain = stored and self._leader.lease_is_valid(self.clock.now())
            return Accepted(record.job_id) if certain else Unknown("the job is not recorded yet")
        if not self._document.document.is_in_service(self._cfg.failure_domain):
            return NotRun(NotRunReason.NO_CAPACITY, "the failure domain is out of service")
        if not self._can_ever_fit(record):
            return NotRun(NotRunReason.INFEASIBLE, "the gang never fits this failure domain")
        received = replace(
            record.with_state(JobState.QUEUED, moved_to=None), failed_workers=(), attempt=None
        )
        return await self._jobs.accept_transfer(received, existing)

    def _can_ever_fit(self, record: JobRecord) -> bool:
        empty = [
            replace(view, free=view.accelerators, state=WorkerState.HEALTHY)
            for view in self._workers.views()
            if view.state is not WorkerState.LEAVING
        ]
        return find_placement(record.spec, empty) is not None
