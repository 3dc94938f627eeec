"""HTTP resources to read and change the operators' document."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import msgspec

from chivefall.document import (
    ChangeAccepted,
    ChangeConflict,
    ChangeDenied,
    ChangeInvalid,
    ChangeNotMade,
    ChangeOutcome,
    ChangeUnknown,
    ChangeUnneeded,
    DocumentEdit,
    DomainEdit,
    Edit,
    SectionEdit,
    parse_document,
    parse_section,
)
from chivefall.errors import DocumentError, MessageError
from chivefall.model import DomainId, DomainState, Revision, Section, TeamId
from chivefall.net import json_reply

if TYPE_CHECKING:
    from chivefall.api._requests import Operation
    from chivefall.controllers import DocumentController
    from chivefall.net import HttpReply, HttpRequest
    from chivefall.runtime import Clock

__all__ = ["DocumentApi", "encode_change_reply"]

TEAM_HEADER = "x-chivefall-team"
REASON_HEADER = "x-chivefall-reason"
RETRY_AFTER_SECONDS = "2"  # header value while the store does not respond
DEFAULT_HISTORY_LIMIT = 20
MAX_HISTORY_LIMIT = 500
MAX_TEAM_CHARACTERS = 63  # the name is stored in the audit record

_TAGS_AND_STATUSES: dict[type, tuple[str, HTTPStatus]] = {
    ChangeAccepted: ("accepted", HTTPStatus.OK),
    ChangeUnneeded: ("unneeded", HTTPStatus.OK),
    ChangeConflict: ("conflict", HTTPStatus.CONFLICT),
    ChangeDenied: ("denied", HTTPStatus.FORBIDDEN),
    ChangeInvalid: ("invalid", HTTPStatus.UNPROCESSABLE_ENTITY),
    ChangeNotMade: ("not_made", HTTPStatus.SERVICE_UNAVAILABLE),
    ChangeUnknown: ("unknown", HTTPStatus.GATEWAY_TIMEOUT),
}
_DOMAIN_STATES = {"out": DomainState.OUT_OF_SERVICE, "in": DomainState.IN_SERVICE}


class DocumentApi:
    """Serves the resources of the document, on any instance."""

    def __init__(self, clock: Clock, document: DocumentController) -> None:
        self._clock = clock
        self._document = document

    def operations(self, req: HttpRequest, *parts: str) -> dict[str, Operation]:
        """Return the operations of a resource below ``/v1`` by HTTP method.

        Parameters
        ----------
        parts : str
            Segments of the path below ``/v1``.
        """
        return {
            method: lambda operation=operation: _with_error_replies(operation)
            for method, operation in self._resource(req, parts).items()
        }

    def _resource(self, req: HttpRequest, parts: tuple[str, ...]) -> dict[str, Operation]:
        match parts:
            case ("document",):
                return {"GET": self._read_document, "PUT": lambda: self._change_document(req)}
            case ("document", "sections", name):
                return {
                    "GET": lambda: self._read_section(_parse_section(name)),
                    "PUT": lambda: self._change_section(req, _parse_section(name)),
                }
            case ("document", "history"):
                return {"GET": lambda: self._read_history(_parse_limit(req))}
            case ("failure-domains", domain, ("in" | "out") as state):
                edit = DomainEdit(DomainId(domain), _DOMAIN_STATES[state])
                return {"POST": lambda: self._change(req, edit, self._document.revision)}
        return {}

    async def _read_document(self) -> HttpReply:
        return self._reply(msgspec.to_builtins(self._document.document))

    async def _change_document(self, req: HttpRequest) -> HttpReply:
        return await self._change(req, DocumentEdit(parse_document(req.body)))

    async def _change_section(self, req: HttpRequest, section: Section) -> HttpReply:
        return await self._change(req, SectionEdit(section, parse_section(section, req.body)))

    async def _read_section(self, section: Section) -> HttpReply:
        document = self._document.document
        content = msgspec.to_builtins(document.section(section))
        return self._reply(
            {
                "revision": document.revision,
                "section": section.value,
                "section_revision": document.section_revision(section),
                "content": content,
            }
        )

    async def _read_history(self, limit: int) -> HttpReply:
        records = await self._document.history(limit)
        if records is None:
            return json_reply(
                HTTPStatus.SERVICE_UNAVAILABLE,
                {"error": "the store does not respond, so the history cannot be read"},
                {"Retry-After": RETRY_AFTER_SECONDS},
            )
        changes = msgspec.to_builtins(records)
        return self._reply({"revision": self._document.revision, "changes": changes})

    async def _change(
        self, req: HttpRequest, edit: Edit, base: Revision | None = None
    ) -> HttpReply:
        team = req.headers.get(TEAM_HEADER)
        if not team or len(team) > MAX_TEAM_CHARACTERS:
            raise MessageError(
                "the X-Chivefall-Team header is missing or too long",
                f"send the name of your team, at most {MAX_TEAM_CHARACTERS} characters",
            )
        if base is None:
            base = _parse_base_revision(req)
        outcome = await self._document.change(
            TeamId(team), base, edit, req.headers.get(REASON_HEADER, "")
        )
        return encode_change_reply(outcome)

    def _reply(self, body: dict[str, Any]) -> HttpReply:
        age = self._document.confirmed_age(self._clock.now())
        headers = {
            "ETag": f'"{self._document.revision}"',
            "X-Chivefall-Confirmed-Age": f"{age:.3f}",
        }
        return json_reply(HTTPStatus.OK, body, headers)


async def _with_error_replies(operation: Operation) -> HttpReply:
    """Return an operation's reply, or an error reply if the request is invalid."""
    try:
        return await operation()
    except DocumentError as exc:
        return encode_change_reply(ChangeInvalid(exc.problem, exc.remedy))
    except MessageError as exc:
        return json_reply(HTTPStatus.BAD_REQUEST, {"error": str(exc)})


def encode_change_reply(outcome: ChangeOutcome) -> HttpReply:
    """Return the HTTP reply for the outcome of a change."""
    tag, status = _TAGS_AND_STATUSES[type(outcome)]
    headers = {}
    if isinstance(outcome, ChangeAccepted | ChangeUnneeded):
        headers["ETag"] = f'"{outcome.revision}"'
    elif isinstance(outcome, ChangeConflict):
        headers["ETag"] = f'"{outcome.current}"'
    elif isinstance(outcome, ChangeNotMade):
        headers["Retry-After"] = RETRY_AFTER_SECONDS
    return json_reply(status, {"outcome": tag, **msgspec.to_builtins(outcome)}, headers)


def _parse_section(name: str) -> Section:
    try:
        return Section(name)
    except ValueError:
        raise MessageError(
            f"no section {name!r}", f"use one of {', '.join(item.value for item in Section)}"
        ) from None


def _parse_base_revision(req: HttpRequest) -> Revision:
    text = req.headers.get("if-match", "").strip().strip('"')
    if not text.isascii() or not text.isdigit():
        raise MessageError(
            f"If-Match {text!r} is not a revision",
            "send the revision on which the change is based; 0 for the first document",
        )
    return Revision(int(text))


def _parse_limit(req: HttpRequest) -> int:
    text = parse_qs(req.query).get("limit", [str(DEFAULT_HISTORY_LIMIT)])[0]
    if not text.isascii() or not text.isdigit() or not 0 < int(text) <= MAX_HISTORY_LIMIT:
        raise MessageError(
            f"limit {text!r} is invalid", f"send a number from 1 to {MAX_HISTORY_LIMIT}"
        )
    return int(text)
