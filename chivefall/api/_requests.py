"""Conversion between HTTP and transport-independent requests and outcomes."""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import msgspec

from chivefall.errors import MessageError
from chivefall.filters import RequestContext, RequestKind, ServiceCall
from chivefall.model import (
    Accepted,
    AccountId,
    Completed,
    IdempotencyKey,
    JobSpec,
    NotRun,
    NotRunReason,
    Outcome,
    ServiceId,
)
from chivefall.net import HttpReply, HttpRequest, encode_outcome

__all__ = ["decode_job_request", "decode_service_request", "encode_reply", "json_reply"]

ACCOUNT_HEADER = "x-chivefall-account"
KEY_HEADER = "idempotency-key"
TIMEOUT_HEADER = "x-chivefall-timeout"
DEFAULT_TIMEOUT = 30.0
MAX_TIMEOUT = 3600.0

_STATUS_BY_REASON = {
    NotRunReason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    NotRunReason.UNKNOWN_ACCOUNT: HTTPStatus.FORBIDDEN,
    NotRunReason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    NotRunReason.INFEASIBLE: HTTPStatus.UNPROCESSABLE_ENTITY,
    NotRunReason.RATE_LIMITED: HTTPStatus.TOO_MANY_REQUESTS,
    NotRunReason.DUPLICATE: HTTPStatus.CONFLICT,
}


def decode_job_request(req: HttpRequest, now: float) -> RequestContext:
    """Return the request for a job in an HTTP request.

    Raises
    ------
    MessageError
        If a header or the body is not valid; the message names it.
    """
    raw = _decode_json(req.body)
    if not isinstance(raw, dict):
        raise MessageError("the body is not a JSON object", "send the job as an object")
    account = _account(req)
    try:
        spec = msgspec.convert({**raw, "account": account}, JobSpec)
    except msgspec.ValidationError as exc:
        raise MessageError(f"the job is not valid: {exc}", "correct that key") from exc
    wait = parse_qs(req.query).get("wait", ["0"])[0] == "1"
    return RequestContext(
        RequestKind.JOB,
        account,
        now,
        now + _timeout(req),
        _idempotency_key(req),
        spec.idempotent,
        job=spec,
        wait=wait,
    )


def decode_service_request(req: HttpRequest, service: ServiceId, now: float) -> RequestContext:
    """Return the request to a service in an HTTP request.

    Raises
    ------
    MessageError
        If a header or the body is not valid; the message names it.
    """
    idempotent = req.headers.get("x-chivefall-idempotent", "0") == "1"
    return RequestContext(
        RequestKind.SERVICE,
        _account(req),
        now,
        now + _timeout(req),
        _idempotency_key(req),
        idempotent,
        service=ServiceCall(service, _decode_json(req.body)),
    )


def encode_reply(outcome: Outcome) -> HttpReply:
    """Return the HTTP reply for an outcome."""
    headers = {}
    if isinstance(outcome, Completed | NotRun) and outcome.retry_after is not None:
        # Rounded up: a caller must not come back before the time that was asked for.
        headers["Retry-After"] = str(max(1, math.ceil(outcome.retry_after)))
    if isinstance(outcome, Completed):
        status = outcome.status
    elif isinstance(outcome, Accepted):
        status = HTTPStatus.ACCEPTED
    elif isinstance(outcome, NotRun):
        status = _STATUS_BY_REASON.get(outcome.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    else:
        status = HTTPStatus.GATEWAY_TIMEOUT
    return json_reply(status, encode_outcome(outcome), headers)


def json_reply(status: int, body: Any, headers: dict[str, str] | None = None) -> HttpReply:
    """Return a reply with a JSON body."""
    return HttpReply(status, msgspec.json.encode(body), headers or {})


def _decode_json(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body) if body else None
    except msgspec.DecodeError as exc:
        raise MessageError(f"the body is not JSON: {exc}", "correct the syntax") from exc


def _account(req: HttpRequest) -> AccountId:
    account = req.headers.get(ACCOUNT_HEADER)
    if not account:
        raise MessageError("the X-Chivefall-Account header is missing", "send your client account")
    return AccountId(account)


def _idempotency_key(req: HttpRequest) -> IdempotencyKey | None:
    key = req.headers.get(KEY_HEADER)
    return IdempotencyKey(key) if key else None


def _timeout(req: HttpRequest) -> float:
    text = req.headers.get(TIMEOUT_HEADER)
    if text is None:
        return DEFAULT_TIMEOUT
    try:
        timeout = float(text)
    except ValueError:
        timeout = 0.0
    if not 0 < timeout <= MAX_TIMEOUT:
        raise MessageError(
            f"X-Chivefall-Timeout {text!r} is not valid", f"send seconds up to {MAX_TIMEOUT:.0f}"
        )
    return timeout
