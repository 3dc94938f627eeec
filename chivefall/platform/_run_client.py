"""HTTP client that sends orders to the platform's workers."""

from __future__ import annotations

import re
from dataclasses import replace
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, TypeVar

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
from chivefall.decoding import decode_json
from chivefall.errors import MessageError
from chivefall.model import JobId
from chivefall.net import AdaptiveTimeout, HttpClient, HttpFailure, HttpResponse
from chivefall.platform._wire import HoldBody, Milliseconds
from chivefall.workers import (
    Acknowledgement,
    IncarnationMismatch,
    NoResponse,
    NotSent,
    OrderAccepted,
    OrderOutcome,
    OrderPermission,
    OrderRefusalReason,
    OrderRefused,
    PollMode,
    RenewalOutcome,
    RunClient,
    RunEnd,
    RunOrder,
    RunReport,
    RunStatus,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.model import ConnectionId, Epoch

__all__ = ["HttpRunClient"]

T = TypeVar("T")

NO_END = EndSequence(0)
MIN_TIMEOUT_SECONDS = 0.4  # a start without response is repeated well before its gang stops waiting
MIN_QUICK_TIMEOUT_SECONDS = 0.1  # of a poll that others follow soon
_REFUSAL_REASONS = {
    "fence": OrderRefusalReason.FENCED,
    "old": OrderRefusalReason.OUTDATED,
    "late": OrderRefusalReason.LATE,
    "room": OrderRefusalReason.NO_ROOM,
    "ticket": OrderRefusalReason.TICKET,
}
MAX_LISTED_ENDS = 500  # in one response; further ones follow once these are acknowledged
REPORT_REMEDY = "check which program listens at the worker's address"
MAX_QUOTED_LENGTH = 40  # characters of an unknown value that a log line quotes
# Names of tasks in other forms belong to other programs.
_TASK_NAME = re.compile(r"([0-9A-Fa-f]{1,64})\.([0-9]{1,18})\.([0-9]{1,18})\.([0-9]{1,18})")
_UNHEALTHY_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


class _OrderResponseBody(msgspec.Struct):
    clock_ms: Milliseconds = 0
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
        self._quick_timeout = AdaptiveTimeout(MIN_QUICK_TIMEOUT_SECONDS, timeout)
        self.calls = 0
        self.observe: Callable[[str, float], None] = lambda _call, _seconds: None

    @property
    def timeout(self) -> float:
        """Maximum timeout of a call in seconds, in addition to the wait that it requests."""
        return self._adaptive_timeout.max_seconds

    @timeout.setter
    def timeout(self, seconds: float) -> None:
        self._adaptive_timeout.max_seconds = self._quick_timeout.max_seconds = seconds

    async def start(
        self, worker: WorkerEntry, order: RunOrder, permission: OrderPermission
    ) -> OrderOutcome:
        """Start a run; the order is idempotent."""
        body = {
            **_run_body(order.run, permission.epoch),
            "task_spec": order.payload,
            "deadline_ms": round(order.deadline * 1000),
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        timeout = self._adaptive_timeout.next_timeout()
        return _order_outcome(await self._call(worker, "run-start", body, permission, timeout))

    async def stop(
        self, worker: WorkerEntry, run: RunId, permission: OrderPermission
    ) -> OrderOutcome:
        """Stop a run; if it has not started yet, its start will be refused."""
        body = _run_body(run, permission.epoch)
        timeout = self._adaptive_timeout.next_timeout()
        return _order_outcome(await self._call(worker, "run-stop", body, permission, timeout))

    async def renew_leases(
        self,
        worker: WorkerEntry,
        permission: OrderPermission,
        deadline: float | None,
        acknowledgement: Acknowledgement | None,
        wait: float,
        mode: PollMode = PollMode.ROUTINE,
    ) -> RenewalOutcome:
        """Extend all leases, acknowledge ends and return the worker's report."""
        body: dict[str, Any] = {"fence_token": permission.epoch, "last_seen": NO_END}
        connections = None
        if acknowledgement is not None:
            body["last_seen"] = acknowledgement.sequence
            connections = acknowledgement.connections
        if deadline is not None:
            body["deadline_ms"] = round(deadline * 1000)
        if wait > 0:
            body["wait_ms"] = round(wait * 1000)
        is_quick = mode is PollMode.QUICK
        timeout = self._quick_timeout.next_timeout() if is_quick else self.timeout
        response = await self._call(
            worker,
            "hold",
            body,
            permission,
            timeout + wait,
            connections,
            new_connection=mode is not PollMode.ROUTINE,
        )
        if connections is not None and isinstance(response, HttpFailure) and not response.sent:
            return NotSent(response.reason)
        if not isinstance(response, HttpResponse) or response.status != HTTPStatus.OK:
            outcome = _order_outcome(response)
            return (
                NoResponse("the response cannot be decoded", is_invalid=True)
                if isinstance(outcome, OrderAccepted)
                else outcome
            )
        try:
            return replace(_run_report(response.body), connection=response.connection)
        except MessageError as exc:
            return NoResponse(str(exc), is_invalid=True)

    async def _call(
        self,
        worker: WorkerEntry,
        call: str,
        body: dict[str, Any],
        permission: OrderPermission,
        timeout: float,
        connections: frozenset[ConnectionId] | None = None,
        *,
        new_connection: bool = False,
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
            expires_at=permission.valid_until,
            connections=connections,
            new_connection=new_connection,
        )
        if "wait_ms" not in body and isinstance(response, HttpResponse):
            seconds = self._http.clock.now() - started_at
            if not response.is_late:
                self._adaptive_timeout.record_response(seconds)
                self._quick_timeout.record_response(seconds)
            self.observe(call, seconds)
        return response


def _run_body(run: RunId, epoch: Epoch) -> dict[str, Any]:
    return {"task": _task_name(run), "run_id": run.number, "fence_token": epoch}


def _task_name(run: RunId) -> str:
    return f"{run.job}.{run.task.occurrence}.{run.task.step}.{run.task.index}"


def _run_id(name: str, number: int) -> RunId | None:
    """Return the run of a task name and a run number, or None for a name of another program."""
    match = _TASK_NAME.fullmatch(name)
    if match is None:
        return None
    job, *key = match.groups()
    return RunId(JobId(job), TaskKey(*map(int, key)), RunNumber(number))


def _order_outcome(response: HttpResponse | HttpFailure) -> OrderOutcome:
    if isinstance(response, HttpFailure):
        return NoResponse(
            response.reason, response.sent, response.connection, is_local=response.is_local
        )
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        return IncarnationMismatch()
    if response.status in _UNHEALTHY_STATUSES:
        return OrderRefused(OrderRefusalReason.UNHEALTHY, f"status {response.status}")
    if response.status == HTTPStatus.BAD_REQUEST:
        return OrderRefused(OrderRefusalReason.MALFORMED, response.body[:200].decode("latin-1"))
    try:
        body: _OrderResponseBody = _decode(response.body, _OrderResponseBody)
    except MessageError as exc:
        return NoResponse(f"status {response.status}: {exc}", is_invalid=True)
    if response.status == HTTPStatus.OK:
        return OrderAccepted(body.clock_ms / 1000)
    if response.status == HTTPStatus.CONFLICT and body.reason in _REFUSAL_REASONS:
        return OrderRefused(_REFUSAL_REASONS[body.reason])
    return NoResponse(f"unexpected status {response.status}", is_invalid=True)


def _run_report(data: bytes) -> RunReport:
    """Return the report in a response to ``hold``, without the runs of other programs.

    Raises
    ------
    MessageError
        If it cannot be decoded. A part of it is not used, because a run that is
        missing in a report is taken for ended.
    """
    body: HoldBody = _decode(data, HoldBody)
    return RunReport(
        body.clock_ms / 1000,
        Incarnation(body.born),
        tuple(
            RunStatus(run, Checkpoint(row.checkpoint), min(1.0, max(0.0, row.percent / 100)))
            for row in body.running
            if (run := _run_id(row.task, row.run_id)) is not None
        ),
        tuple(
            RunEnd(EndSequence(row.number), run, _end_kind(row.how), Checkpoint(row.checkpoint))
            for row in body.finished
            if (run := _run_id(row.task, row.run_id)) is not None
        ),
        is_complete=len(body.finished) < MAX_LISTED_ENDS,
    )


def _end_kind(text: str) -> EndKind:
    try:
        return EndKind(text)
    except ValueError:
        raise MessageError(
            f"the kind of end {text[:MAX_QUOTED_LENGTH]!r} is unknown", REPORT_REMEDY
        ) from None


def _decode(data: bytes, kind: type[T]) -> T:
    return decode_json(data, kind, "the worker's response", REPORT_REMEDY)
