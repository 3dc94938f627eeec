"""Known endpoints of the services and requests sent to them."""

from __future__ import annotations

import itertools
import random
import secrets
from collections import Counter, defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING

from circuits import handler

from chivefall.config import Address
from chivefall.controllers._base import Controller
from chivefall.controllers.endpoints._queue import Waiter, WaitQueue
from chivefall.endpoints import EndpointClient, EndpointRequest
from chivefall.model import (
    AccountId,
    Document,
    EndpointId,
    InstanceKind,
    InstanceStatus,
    NotRun,
    NotRunReason,
    Outcome,
    RequestId,
    ServiceId,
)
from chivefall.routing import (
    AttemptEnd,
    AttemptResult,
    Endpoint,
    Finish,
    RequestState,
    RetryBudget,
    RoutingContext,
    choose_endpoint,
    next_available,
    next_step,
)
from chivefall.runtime import sleep
from chivefall.telemetry import LogEvent, Metrics, log_event

if TYPE_CHECKING:
    from typing import Any

    from chivefall.config import Settings
    from chivefall.controllers.document._document import DocumentController
    from chivefall.runtime import Clock, TimerHandle
    from chivefall.workers import Instance

__all__ = ["EndpointController", "ServiceRequest"]

MIN_RETRY_AFTER_SECONDS = 1.0  # if it is unknown when a retry can succeed


class ServiceRequest:
    """A request to a service and the endpoints that it was already sent to."""

    __slots__ = ("account", "body", "deadline", "idempotent", "service", "tried")

    def __init__(
        self,
        service: ServiceId,
        account: AccountId,
        body: Any,
        idempotent: bool,
        deadline: float,
    ) -> None:
        self.service = service
        self.account = account
        self.body = body
        self.idempotent = idempotent
        self.deadline = deadline
        self.tried: set[EndpointId] = set()


class EndpointController(Controller):
    """Selects endpoints, tracks their outstanding requests and retries within a budget."""

    def __init__(
        self,
        clock: Clock,
        cfg: Settings,
        client: EndpointClient,
        document: DocumentController,
        metrics: Metrics,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._client = client
        self._document = document
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._endpoints: dict[ServiceId, dict[EndpointId, Endpoint]] = defaultdict(dict)
        self._queues: dict[ServiceId, WaitQueue] = {}
        self._wakeups: dict[ServiceId, TimerHandle] = {}
        self._budgets: dict[AccountId, RetryBudget] = {}
        self._context = RoutingContext(cfg.failure_domain, in_service=self._in_service)
        # Makes request ids of this process distinct from those of earlier ones.
        self._incarnation = secrets.token_hex(8)
        self._numbers = itertools.count(1)

    def start(self) -> None:
        """Do nothing; endpoints are added when the platform's list is read."""

    def stop(self) -> None:
        """Fail the requests that still wait for an endpoint."""
        super().stop()
        for queue in self._queues.values():
            queue.clear()

    def endpoints(self, service: ServiceId) -> tuple[Endpoint, ...]:
        """Return the known endpoints of a service."""
        return tuple(self._endpoints.get(service, {}).values())

    async def call(self, req: ServiceRequest) -> Outcome:
        """Send a request to an endpoint of its service and return its outcome."""
        service = self._document.document.services.get(req.service)
        if service is None:
            return NotRun(
                NotRunReason.UNKNOWN_SERVICE,
                f"service {req.service!r} is not defined in the document; check the path",
            )
        self._budget(req.account).record_first_attempt()
        state = RequestState(req.idempotent, req.deadline, service.max_attempts)
        fallback: Outcome | None = None
        while True:
            endpoint = await self._acquire(req)
            if endpoint is None:
                return fallback or self._unavailable_outcome(req)
            result = await self._attempt(req, endpoint, service.timeout)
            state = replace(state, attempts=state.attempts + 1)
            step = next_step(result, state, self.clock.now(), self._rng)
            if isinstance(step, Finish) or not self._take_retry(req):
                return step.outcome if isinstance(step, Finish) else step.fallback
            ran = result.end is not AttemptEnd.NOT_RUN
            state = replace(state, may_have_run=state.may_have_run or ran)
            fallback = step.fallback
            self._metrics.retries.inc({"service": req.service})
            await sleep(self.clock, step.delay)

    def _take_retry(self, req: ServiceRequest) -> bool:
        """Take a retry from the budget if an endpoint is available before the deadline."""
        now = self.clock.now()
        available_at = next_available(self.endpoints(req.service), self._context, now, req.tried)
        if available_at is None or available_at >= req.deadline:
            return False
        return self._budget(req.account).take()

    def _budget(self, account: AccountId) -> RetryBudget:
        return self._budgets.setdefault(account, RetryBudget())

    async def _attempt(
        self, req: ServiceRequest, endpoint: Endpoint, timeout: float
    ) -> AttemptResult:
        now = self.clock.now()
        req.tried.add(endpoint.endpoint)
        request_id = f"{self._cfg.instance}.{self._incarnation}.{next(self._numbers)}"
        attempt = EndpointRequest(
            RequestId(request_id), req.service, req.account, req.body, req.idempotent
        )
        limit = min(timeout, req.deadline - now)
        try:
            result = await self._client.call(Address.parse(endpoint.address), attempt, limit, now)
        except Exception as exc:  # noqa: BLE001 - release the slot and return an outcome anyway
            self._log_error(exc)
            result = AttemptResult(AttemptEnd.LOST, "internal error of the instance")
        endpoint.outstanding -= 1
        self._record_result(endpoint, result)
        self._dispatch_waiting(req.service)
        return result

    def _record_result(self, endpoint: Endpoint, result: AttemptResult) -> None:
        now = self.clock.now()
        if result.leaving and not endpoint.is_leaving(now):
            log_event(LogEvent.ENDPOINT_LEAVING, endpoint=endpoint.endpoint)
        if result.leaving:
            endpoint.record_leaving(now)
        if result.retry_after is not None:
            endpoint.record_pause(now, result.retry_after)
        if not result.is_failure:
            if result.retry_after is None:
                endpoint.record_success()
            return
        responded = result.end is AttemptEnd.ANSWERED
        endpoint.record_failure(
            now, not responded or self._majority_can_serve(endpoint.service, now)
        )
        if now < endpoint.ejected_until:
            log_event(LogEvent.ENDPOINT_EJECTED, endpoint=endpoint.endpoint, reason=result.detail)

    def _majority_can_serve(self, service: ServiceId, now: float) -> bool:
        """Return whether more than half of a service's endpoints can serve.

        Prevents a request that fails on every endpoint from ejecting all of them.
        """
        endpoints = self.endpoints(service)
        return 2 * sum(item.can_serve(now) for item in endpoints) > len(endpoints)

    async def _acquire(self, req: ServiceRequest) -> Endpoint | None:
        """Reserve an endpoint, waiting in the queue if necessary; None if there is none in time."""
        now = self.clock.now()
        if self._stopped or now >= req.deadline:
            return None
        queue = self._queues.setdefault(req.service, WaitQueue(self.clock))
        if not queue:
            endpoint = self._reserve(req.service, req.tried)
            if endpoint is not None:
                return endpoint
        available_at = next_available(self.endpoints(req.service), self._context, now, req.tried)
        if available_at is None or available_at >= req.deadline:
            return None
        fut = queue.add(Waiter(req.deadline, req.tried))
        self._dispatch_waiting(req.service)
        return None if fut is None else await fut

    def _reserve(self, service: ServiceId, tried: set[EndpointId]) -> Endpoint | None:
        endpoint = choose_endpoint(
            self.endpoints(service), self._context, self.clock.now(), self._rng, tried
        )
        if endpoint is not None:
            endpoint.outstanding += 1
        return endpoint

    def _dispatch_waiting(self, service: ServiceId) -> None:
        """Assign free endpoints to waiting requests; run again when a pause ends."""
        queue = self._queues.get(service)
        if not queue:
            return
        queue.dispatch(lambda waiter: self._reserve(service, waiter.tried))
        now = self.clock.now()
        available_at = next_available(self.endpoints(service), self._context, now)
        if queue and available_at is not None and available_at > now:
            if service in self._wakeups:
                self._wakeups[service].cancel()
            self._wakeups[service] = self.clock.call_later(
                available_at - now, lambda: self._dispatch_waiting(service)
            )

    def _unavailable_outcome(self, req: ServiceRequest) -> NotRun:
        now = self.clock.now()
        if self._stopped:
            return NotRun(
                NotRunReason.SHUTTING_DOWN, "the instance is shutting down", MIN_RETRY_AFTER_SECONDS
            )
        available_at = next_available(self.endpoints(req.service), self._context, now)
        if available_at is None:
            return NotRun(
                NotRunReason.UNREACHABLE,
                f"no endpoint of service {req.service!r} is known",
                self._cfg.timing.instance_list,
            )
        if now >= req.deadline:
            return NotRun(
                NotRunReason.DEADLINE_EXCEEDED,
                "no endpoint became free before the deadline",
                max(MIN_RETRY_AFTER_SECONDS, available_at - now),
            )
        return NotRun(
            NotRunReason.OVERLOADED,
            f"no endpoint of service {req.service!r} can take the request before its deadline",
            max(MIN_RETRY_AFTER_SECONDS, available_at - now),
        )

    def _in_service(self, domain: str) -> bool:
        return self._document.document.is_in_service(domain)

    @handler("document_adopted")
    def _on_document_adopted(self, document: Document) -> None:
        """Drop the state of accounts and services that were removed from the document."""
        for account in set(self._budgets) - set(document.accounts):
            del self._budgets[account]
        for service in list(self._queues):
            if service not in document.services and not self._queues[service]:
                del self._queues[service]
            else:
                self._dispatch_waiting(service)

    @handler("instances_listed")
    def _on_instances_listed(self, instances: tuple[Instance, ...]) -> None:
        entry_counts = Counter(
            item.failure_domain for item in instances if item.kind is InstanceKind.ENTRY
        )
        own = self._cfg.failure_domain
        self._context = RoutingContext(
            own, entry_counts.total() or 1, entry_counts[own] or 1, self._in_service
        )
        listed: dict[ServiceId, dict[EndpointId, Endpoint]] = defaultdict(dict)
        for item in instances:
            if item.kind is InstanceKind.ENDPOINT and item.service is not None:
                listed[item.service][item.endpoint_id] = self._update_endpoint(item)
        # Attempts in progress keep their endpoint object, so they complete after its removal.
        self._endpoints = listed
        for service in list(self._queues):
            self._dispatch_waiting(service)

    def _update_endpoint(self, item: Instance) -> Endpoint:
        known = self._endpoints.get(item.service, {}).get(item.endpoint_id)
        if known is None or known.address != item.address:
            known = Endpoint(
                item.endpoint_id, item.service, item.failure_domain, item.address, item.slots
            )
        known.slots = item.slots
        known.listed_leaving = item.status is InstanceStatus.LEAVING
        return known
