"""HTTP client of the command line."""

from __future__ import annotations

import json
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import Any

import json5

from chivefall.errors import ChivefallError

__all__ = ["InstanceClient", "RequestError", "read_json_file"]

TIMEOUT_MARGIN = 5.0  # seconds beyond a wait before the instance counts as lost
DEFAULT_TIMEOUT = 30.0


class RequestError(ChivefallError):
    """An instance did not carry out a command."""


@dataclass(frozen=True)
class Answer:
    """Status, JSON body and headers of a reply."""

    status: int
    body: Any
    headers: dict[str, str] = field(default_factory=dict)


class InstanceClient:
    """Sends operators' and callers' commands to one instance."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout: float = DEFAULT_TIMEOUT,
    ) -> Answer:
        """Return the reply of one exchange.

        Raises
        ------
        RequestError
            If the instance cannot be reached or its reply is not JSON.
        """
        data = None if body is None else json.dumps(body).encode()
        req = urllib.request.Request(
            f"{self._base}{path}", data=data, method=method, headers=headers or {}
        )
        try:
            with urllib.request.urlopen(req, timeout=timeout + TIMEOUT_MARGIN) as reply:
                return _answer(reply.status, reply.read(), reply.headers)
        except urllib.error.HTTPError as exc:
            return _answer(exc.code, exc.read(), exc.headers)
        except OSError as exc:
            raise RequestError(
                f"{self._base} does not answer: {exc}", "name another instance with --instance"
            ) from exc

    def require(self, method: str, path: str, body: Any = None, **options: Any) -> Any:
        """Return the body of a successful reply.

        Raises
        ------
        RequestError
            If the reply tells of a failure.
        """
        answer = self.call(method, path, body, **options)
        if answer.status >= HTTPStatus.MULTIPLE_CHOICES:
            raise RequestError(
                f"{method} {path} was answered {answer.status}: {json.dumps(answer.body)}",
                "correct the command as the answer says",
            )
        return answer.body


def read_json_file(path: Path) -> Any:
    """Return the content of a file in JSON with comments.

    Raises
    ------
    RequestError
        If the file cannot be read or parsed.
    """
    try:
        return json5.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        raise RequestError(f"{path} cannot be read: {exc}", "check the file name") from exc
    except ValueError as exc:
        raise RequestError(
            f"{path} is not JSON with comments: {exc}", "correct the syntax at that place"
        ) from exc


def _answer(status: int, data: bytes, headers: Any) -> Answer:
    try:
        body = json.loads(data) if data else None
    except ValueError as exc:
        raise RequestError(
            f"the reply with status {status} is not JSON", "check that --instance is an instance"
        ) from exc
    return Answer(status, body, {key.lower(): value for key, value in headers.items()})
