"""HTTP interface for batch jobs in the platform's format."""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import TYPE_CHECKING

from chivefall.batch import (
    ApiKey,
    BatchOperation,
    BatchOutcome,
    BatchRequest,
    BatchSpec,
    JobNotFound,
    JobStatus,
    LabelId,
    PendingJobs,
    Resources,
    StepSpec,
)
from chivefall.decoding import decode_json
from chivefall.errors import MessageError
from chivefall.model import Accepted, NotRun, NotRunReason, RackId
from chivefall.net import HttpReply, HttpRequest, json_reply
from chivefall.platform._wire import JobBody, StepBody
from chivefall.runtime import Clock, Future, spawn
from chivefall.telemetry import LogEvent, log_event

if TYPE_CHECKING:
    from chivefall.controllers.batch import CatalogController
    from chivefall.filters import FilterChain
    from chivefall.telemetry import BatchMetrics

__all__ = ["BatchHttpApi"]

DEFAULT_DEADLINE_SECONDS = 3.0  # of a request without the header X-Deadline-Ms
MAX_DEADLINE_SECONDS = 3600.0
MAX_DEADLINE_DIGITS = 12  # of the header, in milliseconds; longer numbers are not converted
AUTHORIZATION_SCHEME = "Token "

_OPERATIONS = {
    "POST": BatchOperation.SUBMIT,
    "GET": BatchOperation.STATUS,
    "DELETE": BatchOperation.CANCEL,
}
_STATUS_OF_REASON = {
    NotRunReason.UNKNOWN_QUEUE: HTTPStatus.NOT_FOUND,
    NotRunReason.UNKNOWN_KEY: HTTPStatus.UNAUTHORIZED,
    NotRunReason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
}


class BatchHttpApi:
    """Converts HTTP requests to batch requests, and outcomes to HTTP replies."""

    def __init__(
        self, clock: Clock, chain: FilterChain, catalog: CatalogController, metrics: BatchMetrics
    ) -> None:
        self._clock = clock
        self._chain = chain
        self._catalog = catalog
        self._metrics = metrics

    def serve(self, req: HttpRequest) -> Future[HttpReply]:
        """Return a future for the reply to a request."""
        return spawn(self._serve(req), on_error=_log_error)

    async def _serve(self, req: HttpRequest) -> HttpReply:
        operation = _OPERATIONS.get(req.method)
        if operation is None:
            return json_reply(
                HTTPStatus.METHOD_NOT_ALLOWED,
                {"error": "method not allowed; use GET, POST or DELETE"},
            )
        now = self._clock.now()
        try:
            ctx = _decode_request(req, operation, now)
        except MessageError as exc:
            return json_reply(HTTPStatus.BAD_REQUEST, {"error": str(exc)})
        outcome = await self._chain.run(ctx)
        reply = _encode(outcome)
        self._record_request(ctx, outcome, reply)
        return reply

    def _record_request(self, ctx: BatchRequest, outcome: BatchOutcome, reply: HttpReply) -> None:
        now = self._clock.now()
        seconds = now - ctx.received_at
        labels = {"operation": ctx.operation.value, "status": str(int(reply.status))}
        self._metrics.requests.inc(labels)
        self._metrics.request_seconds.observe({"operation": ctx.operation.value}, seconds)
        log_event(
            LogEvent.BATCH_ANSWERED,
            operation=ctx.operation.value,
            path=ctx.path,
            job=ctx.path.rpartition("/")[2],
            catalog=self._catalog.catalog.version,
            catalog_age=round(self._catalog.age(now), 3),
            status=int(reply.status),
            outcome=type(outcome).__name__,
            detail=getattr(outcome, "detail", ""),
            state=outcome.state.value if isinstance(outcome, JobStatus) else "",
            seconds=round(seconds, 4),
        )


def _decode_request(req: HttpRequest, operation: BatchOperation, now: float) -> BatchRequest:
    # Despite its name, the header holds a duration and not a point in time.
    remaining = _remaining_seconds(req.headers.get("x-deadline-ms", ""))
    authorization = req.headers.get("authorization", "")
    key = authorization.removeprefix(AUTHORIZATION_SCHEME)
    spec = None
    if operation is BatchOperation.SUBMIT:
        spec = _spec(decode_json(req.body, JobBody, "the job", "correct the body"))
    return BatchRequest(
        operation,
        req.headers.get("host", "").partition(":")[0],
        req.path,
        now,
        now + remaining,
        ApiKey(key) if key != authorization else None,
        spec,
    )


def _remaining_seconds(text: str) -> float:
    """Return the time that the caller waits, with defaults for values that are no such time."""
    if not text.isascii() or not text.isdigit():
        return DEFAULT_DEADLINE_SECONDS
    if len(text) > MAX_DEADLINE_DIGITS:
        return MAX_DEADLINE_SECONDS
    return min(MAX_DEADLINE_SECONDS, int(text) / 1000)


def _spec(body: JobBody) -> BatchSpec:
    return BatchSpec(
        body.task_spec,
        tuple(_step(step) for step in body.steps),
        body.repeat_count,
        body.first_run_ms / 1000,
        body.interval_ms / 1000,
    )


def _step(body: StepBody) -> StepSpec:
    return StepSpec(
        body.count,
        Resources(body.cpu, body.mem_mb, body.gpu),
        body.est_runtime_ms / 1000,
        tuple(body.after),
        body.gang,
        body.same_rack,
        LabelId(body.constraints) if body.constraints else None,
        RackId(body.affinity) if body.affinity else None,
        body.anti_affinity,
        body.checkpointing,
        body.long_running,
        body.fills,
    )


def _encode(outcome: BatchOutcome) -> HttpReply:
    if isinstance(outcome, Accepted):
        return json_reply(HTTPStatus.OK, {})
    if isinstance(outcome, JobStatus):
        return json_reply(HTTPStatus.OK, {"state": outcome.state.value})
    if isinstance(outcome, PendingJobs):
        return json_reply(HTTPStatus.OK, {"pending": outcome.count})
    if isinstance(outcome, JobNotFound):
        return json_reply(HTTPStatus.GONE, {"error": "no job with this id was accepted"})
    if isinstance(outcome, NotRun):
        headers = {}
        if outcome.retry_after is not None:
            headers["Retry-After"] = str(max(1, math.ceil(outcome.retry_after)))
        status = _STATUS_OF_REASON.get(outcome.reason, HTTPStatus.SERVICE_UNAVAILABLE)
        return json_reply(status, {"error": outcome.detail}, headers)
    # The request may have taken effect, so the caller has to repeat it with the same id.
    return json_reply(HTTPStatus.GATEWAY_TIMEOUT, {"error": outcome.detail})


def _log_error(exc: BaseException) -> None:
    log_event(LogEvent.UNHANDLED_ERROR, controller="BatchHttpApi", error=repr(exc))
