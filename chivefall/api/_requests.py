"""Conversion between HTTP messages and transport-independent requests and outcomes."""

from __future__ import annotations

import json
import math
from collections.abc import Awaitable, Callable
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
from chivefall.net import HttpReply, HttpRequest, encode_outcome, json_reply

__all__ = [
    "Operation",
    "decode_job_request",
    "decode_service_request",
    "encode_reply",
]

Operation = Callable[[], Awaitable[HttpReply]]
"""Serves one HTTP method of a resource."""

ACCOUNT_HEADER = "x-chivefall-account"
KEY_HEADER = "idempotency-key"
IDEMPOTENT_HEADER = "x-chivefall-idempotent"
TIMEOUT_HEADER = "x-chivefall-timeout"
DEFAULT_TIMEOUT_SECONDS = 30.0
MAX_TIMEOUT_SECONDS = 3600.0
MAX_KEY_CHARACTERS = 256

_STATUS_BY_REASON = {
    NotRunReason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    NotRunReason.UNKNOWN_ACCOUNT: HTTPStatus.FORBIDDEN,
    NotRunReason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    NotRunReason.INFEASIBLE: HTTPStatus.UNPROCESSABLE_ENTITY,
    NotRunReason.RATE_LIMITED: HTTPStatus.TOO_MANY_REQUESTS,
    NotRunReason.DUPLICATE: HTTPStatus.CONFLICT,
}


def decode_job_request(req: HttpRequest, now: float) -> RequestContext:
    """Return the request context of an HTTP request that submits a job.

    Raises
    ------
    MessageError
        If a header or the body is not valid; the message names it.
    """
    raw = _decode_json(req.body)
    if not isinstance(raw, dict):
        raise MessageError("the body is not a JSON object", "send the job as an object")
    _reject_unknown_keys(raw)
    account = _parse_account(req)
    try:
        spec = msgspec.convert({**raw, "account": account}, JobSpec)
    except msgspec.ValidationError as exc:
        raise MessageError(f"the job is invalid: {exc}", "correct that key") from exc
    wait = parse_qs(req.query).get("wait", ["0"])[0] == "1"
    return RequestContext(
        RequestKind.JOB,
        account,
        now,
        now + _parse_timeout(req),
        _parse_idempotency_key(req),
        spec.idempotent,
        job=spec,
        wait=wait,
    )


def decode_service_request(req: HttpRequest, service: ServiceId, now: float) -> RequestContext:
    """Return the request context of an HTTP request to a service.

    Raises
    ------
    MessageError
        If a header or the body is not valid; the message names it.
    """
    idempotent = req.headers.get(IDEMPOTENT_HEADER, "0")
    if idempotent not in ("0", "1"):
        raise MessageError(
            f"X-Chivefall-Idempotent {idempotent!r} is invalid",
            "send 1 if the request may run more than once, otherwise 0",
        )
    return RequestContext(
        RequestKind.SERVICE,
        _parse_account(req),
        now,
        now + _parse_timeout(req),
        _parse_idempotency_key(req),
        idempotent == "1",
        service=ServiceCall(service, _decode_json(req.body)),
    )


def encode_reply(outcome: Outcome) -> HttpReply:
    """Return the HTTP reply for an outcome."""
    headers = {}
    if isinstance(outcome, Completed | NotRun) and outcome.retry_after is not None:
        # Rounded up, so that the caller does not retry too early.
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


def _decode_json(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body) if body else None
    except msgspec.ValidationError as exc:
        key = _find_infinite(json.loads(body), "$")
        raise MessageError(f"{key} is out of range", "send a finite number") from exc
    except (msgspec.DecodeError, RecursionError) as exc:
        raise MessageError(f"the body is not JSON: {exc}", "correct the syntax") from exc


def _find_infinite(value: Any, path: str) -> str | None:
    """Return the path of the first number that exceeds the range of floats, or None.

    The error of msgspec does not contain this path.
    """
    if isinstance(value, float) and math.isinf(value):
        return path
    items = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        items = enumerate(value)
    found = (_find_infinite(item, f"{path}.{key}") for key, item in items)
    return next((key for key in found if key is not None), None)


def _reject_unknown_keys(raw: dict[str, Any]) -> None:
    """Reject unknown keys, so that a misspelt key is not silently ignored."""
    known = set(JobSpec.__dataclass_fields__) - {"account"}
    for key in raw:
        if key not in known:
            raise MessageError(
                f"unknown key {key[:80]!r} in the job", f"use one of {', '.join(sorted(known))}"
            )


def _parse_account(req: HttpRequest) -> AccountId:
    account = req.headers.get(ACCOUNT_HEADER)
    if not account:
        raise MessageError("the X-Chivefall-Account header is missing", "send your client account")
    return AccountId(account)


def _parse_idempotency_key(req: HttpRequest) -> IdempotencyKey | None:
    key = req.headers.get(KEY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_KEY_CHARACTERS:
        raise MessageError(
            f"Idempotency-Key has {len(key)} characters", f"send 1 to {MAX_KEY_CHARACTERS}"
        )
    return None if key is None else IdempotencyKey(key)


def _parse_timeout(req: HttpRequest) -> float:
    text = req.headers.get(TIMEOUT_HEADER)
    if text is None:
        return DEFAULT_TIMEOUT_SECONDS
    try:
        timeout = float(text)
    except ValueError:
        timeout = 0.0
    if not 0 < timeout <= MAX_TIMEOUT_SECONDS:
        raise MessageError(
            f"X-Chivefall-Timeout {text!r} is invalid",
            f"send seconds up to {MAX_TIMEOUT_SECONDS:.0f}",
        )
    return timeout
