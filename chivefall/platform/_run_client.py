"""HTTP client that sends orders to the platform's workers."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import msgspec

from chivefall.batch import (
    Checkpoint,
    EndKind,
    EndSequence,
    Incarnation,
    RunId,
    RunNumber,
    TaskKey,
    WorkerEntry,
)
from chivefall.config import Address
from chivefall.model import JobId
from chivefall.net import AdaptiveTimeout, HttpClient, HttpFailure, HttpResponse
from chivefall.platform._wire import HoldBody
from chivefall.workers import (
    IncarnationMismatch,
    NoResponse,
    OrderAccepted,
    OrderOutcome,
    OrderRefusalReason,
    OrderRefused,
    RenewalOutcome,
    RunClient,
    RunEnd,
    RunOrder,
    RunReport,
    RunStatus,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.model import Epoch

__all__ = ["HttpRunClient"]

MIN_TIMEOUT_SECONDS = 0.4  # a start without response is repeated well before its gang stops waiting
_REFUSAL_REASONS = {
    "fence": OrderRefusalReason.FENCED,
    "old": OrderRefusalReason.OUTDATED,
    "late": OrderRefusalReason.LATE,
    "room": OrderRefusalReason.NO_ROOM,
    "ticket": OrderRefusalReason.TICKET,
}
_UNHEALTHY_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


class _OrderResponseBody(msgspec.Struct):
    clock_ms: float = 0
    reason: str = ""


class HttpRunClient(RunClient):
    """Sends orders over HTTP; each names the incarnation of the worker that it is for.

    Attributes
    ----------
    calls : int
        Number of calls sent.
    observe : callable
        Called with the name and the duration in seconds of each call that got a response
        and did not request a wait.
    """

    def __init__(self, http: HttpClient, timeout: float) -> None:
        self._http = http
        self._adaptive_timeout = AdaptiveTimeout(MIN_TIMEOUT_SECONDS, timeout)
        self.calls = 0
        self.observe: Callable[[str, float], None] = lambda _call, _seconds: None

    @property
    def timeout(self) -> float:
        """Maximum timeout of a call in seconds, in addition to the wait that it requests."""
        return self._adaptive_timeout.max_seconds

    @timeout.setter
    def timeout(self, seconds: float) -> None:
        self._adaptive_timeout.max_seconds = seconds

    async def start(self, worker: WorkerEntry, order: RunOrder, epoch: Epoch) -> OrderOutcome:
        """Start a run; the order is idempotent."""
        body = {
            **_run_body(order.run, epoch),
            "task_spec": order.payload,
            "deadline_ms": round(order.deadline * 1000),
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        return _order_outcome(
            await self._call(worker, "run-start", body, self._adaptive_timeout.next_timeout())
        )

    async def stop(self, worker: WorkerEntry, run: RunId, epoch: Epoch) -> OrderOutcome:
        """Stop a run; if it has not started yet, its start will be refused."""
        body = _run_body(run, epoch)
        return _order_outcome(
            await self._call(worker, "run-stop", body, self._adaptive_timeout.next_timeout())
        )

    async def renew_leases(
        self,
        worker: WorkerEntry,
        epoch: Epoch,
        deadline: float | None,
        acknowledged: EndSequence,
        wait: float,
    ) -> RenewalOutcome:
        """Extend all leases, acknowledge ends and return the worker's report."""
        body: dict[str, Any] = {"fence_token": epoch, "last_seen": acknowledged}
        if deadline is not None:
            body["deadline_ms"] = round(deadline * 1000)
        if wait > 0:
            body["wait_ms"] = round(wait * 1000)
        response = await self._call(worker, "hold", body, self.timeout + wait)
        if not isinstance(response, HttpResponse) or response.status != HTTPStatus.OK:
            outcome = _order_outcome(response)
            return (
                NoResponse("the response cannot be decoded")
                if isinstance(outcome, OrderAccepted)
                else outcome
            )
        try:
            return _run_report(msgspec.json.decode(response.body, type=HoldBody))
        except (msgspec.MsgspecError, ValueError) as exc:
            return NoResponse(f"the response cannot be decoded: {exc}")

    async def _call(
        self, worker: WorkerEntry, call: str, body: dict[str, Any], timeout: float
    ) -> HttpResponse | HttpFailure:
        self.calls += 1
        headers = {
            "Content-Type": "application/json",
            # An instance, in the platform's terms, is one incarnation of a worker.
            "X-Target-Instance": worker.worker_id,
        }
        started_at = self._http.clock.now()
        response = await self._http.request(
            Address.parse(worker.address),
            "POST",
            f"/chivefall/{call}",
            msgspec.json.encode(body),
            headers,
            timeout,
        )
        if "wait_ms" not in body and isinstance(response, HttpResponse):
            self._adaptive_timeout.record_response(self._http.clock.now() - started_at)
            self.observe(call, self._http.clock.now() - started_at)
        return response


def _run_body(run: RunId, epoch: Epoch) -> dict[str, Any]:
    return {"task": _task_name(run), "run_id": run.number, "fence_token": epoch}


def _task_name(run: RunId) -> str:
    return f"{run.job}.{run.task.occurrence}.{run.task.step}.{run.task.index}"


def _run_id(name: str, number: int) -> RunId:
    job, occurrence, step, index = name.split(".")
    return RunId(JobId(job), TaskKey(int(occurrence), int(step), int(index)), RunNumber(number))


def _order_outcome(response: HttpResponse | HttpFailure) -> OrderOutcome:
    if isinstance(response, HttpFailure):
        return NoResponse(response.reason)
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        return IncarnationMismatch()
    if response.status in _UNHEALTHY_STATUSES:
        return OrderRefused(OrderRefusalReason.UNHEALTHY, f"status {response.status}")
    if response.status == HTTPStatus.BAD_REQUEST:
        return OrderRefused(OrderRefusalReason.MALFORMED, response.body[:200].decode("latin-1"))
    try:
        body = msgspec.json.decode(response.body, type=_OrderResponseBody)
    except msgspec.MsgspecError:
        return NoResponse(f"the response with status {response.status} cannot be decoded")
    if response.status == HTTPStatus.OK:
        return OrderAccepted(body.clock_ms / 1000)
    if response.status == HTTPStatus.CONFLICT and body.reason in _REFUSAL_REASONS:
        return OrderRefused(_REFUSAL_REASONS[body.reason])
    return NoResponse(f"unexpected status {response.status}")


def _run_report(body: HoldBody) -> RunReport:
    return RunReport(
        body.clock_ms / 1000,
        Incarnation(body.born),
        tuple(
            RunStatus(_run_id(row.task, row.run_id), Checkpoint(row.checkpoint), row.percent / 100)
            for row in body.running
        ),
        tuple(
            RunEnd(
                EndSequence(row.number),
                _run_id(row.task, row.run_id),
                EndKind(row.how),
                Checkpoint(row.checkpoint),
            )
            for row in body.finished
        ),
    )
