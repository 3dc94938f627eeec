"""HTTP interface for callers and operators."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import unquote

import msgspec

from chivefall.api._document_api import DocumentApi
from chivefall.api._requests import (
    Operation,
    decode_job_request,
    decode_service_request,
    encode_reply,
)
from chivefall.errors import MessageError
from chivefall.model import JobId, JobRecord, NotRun, NotRunReason, ServiceId, Unknown
from chivefall.net import HttpReply, HttpRequest, json_reply
from chivefall.runtime import Clock, Future, spawn
from chivefall.telemetry import LogEvent, Metrics, log_event

if TYPE_CHECKING:
    from chivefall.controllers import DocumentController, JobRouter
    from chivefall.filters import FilterChain, RequestContext

__all__ = ["HttpApi"]


class HttpApi:
    """Routes HTTP requests to the filter chain and to the controllers."""

    def __init__(
        self,
        clock: Clock,
        chain: FilterChain,
        document: DocumentController,
        jobs: JobRouter,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._chain = chain
        self._document_api = DocumentApi(clock, document)
        self._jobs = jobs
        self._metrics = metrics

    def serve(self, req: HttpRequest) -> Future[HttpReply]:
        """Serve a request and return a future of the reply."""
        return spawn(self._serve(req), on_error=_log_error)

    async def _serve(self, req: HttpRequest) -> HttpReply:
        operations = self._operations(req)
        if not operations:
            return json_reply(HTTPStatus.NOT_FOUND, {"error": f"no such resource: {req.path}"})
        method = "GET" if req.method == "HEAD" else req.method
        if method not in operations:
            allowed = ", ".join(sorted(operations))
            return json_reply(
                HTTPStatus.METHOD_NOT_ALLOWED,
                {"error": f"{req.path} does not support {req.method}; send {allowed}"},
                {"Allow": allowed},
            )
        try:
            return await operations[method]()
        except MessageError as exc:
            return encode_reply(NotRun(NotRunReason.BAD_REQUEST, str(exc)))

    def _operations(self, req: HttpRequest) -> dict[str, Operation]:
        """Return the operations of a resource by HTTP method; empty if it does not exist."""
        parts = tuple(unquote(part) for part in req.path.split("/") if part)
        now = self._clock.now()
        match parts:
            case ("v1", "jobs"):
                return {"POST": lambda: self._run(decode_job_request(req, now))}
            case ("v1", "jobs", job_id):
                return {
                    "GET": lambda: self._job_status(JobId(job_id), now),
                    "DELETE": lambda: self._cancel_job(JobId(job_id), now),
                }
            case ("v1", "services", service, "requests"):
                name = ServiceId(service)
                return {"POST": lambda: self._run(decode_service_request(req, name, now))}
            case ("v1", "document" | "failure-domains", *_):
                return self._document_api.operations(req, *parts[1:])
            case ("healthz",):
                return {"GET": self._get_health}
            case ("metrics",):
                return {"GET": self._get_metrics}
        return {}

    async def _get_health(self) -> HttpReply:
        return json_reply(HTTPStatus.OK, {"status": "ok"})

    async def _get_metrics(self) -> HttpReply:
        content, content_type = self._metrics.render()
        return HttpReply(HTTPStatus.OK, content, content_type=content_type)

    async def _run(self, ctx: RequestContext) -> HttpReply:
        outcome = await self._chain.run(ctx)
        tag = type(outcome).__name__
        self._metrics.requests.inc({"outcome": tag, "kind": ctx.kind.value})
        log_event(
            LogEvent.REQUEST_ANSWERED,
            account=ctx.account,
            kind=ctx.kind.value,
            outcome=tag,
            seconds=round(self._clock.now() - ctx.received_at, 4),
        )
        return encode_reply(outcome)

    async def _job_status(self, job_id: JobId, now: float) -> HttpReply:
        return self._record_reply(job_id, await self._jobs.status(job_id, now))

    async def _cancel_job(self, job_id: JobId, _now: float) -> HttpReply:
        result = await self._jobs.cancel(job_id)
        if isinstance(result, Unknown):
            return encode_reply(result)
        return self._record_reply(job_id, result)

    def _record_reply(self, job_id: JobId, record: JobRecord | None) -> HttpReply:
        if record is None:
            return json_reply(
                HTTPStatus.NOT_FOUND, {"error": f"no reachable leader has a record of job {job_id}"}
            )
        return json_reply(HTTPStatus.OK, msgspec.to_builtins(record))


def _log_error(exc: BaseException) -> None:
    log_event(LogEvent.UNHANDLED_ERROR, controller="HttpApi", error=repr(exc))
