"""HTTP client of the command-line interface."""

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

TIMEOUT_MARGIN_SECONDS = 5.0  # for the response after the requested wait has ended
DEFAULT_TIMEOUT_SECONDS = 30.0


class RequestError(ChivefallError):
    """A command failed or its input is invalid."""


@dataclass(frozen=True)
class Response:
    """Status, decoded JSON body and headers of a response."""

    status: int
    body: Any
    headers: dict[str, str] = field(default_factory=dict)


class InstanceClient:
    """Sends requests to one instance."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> Response:
        """Send a request and return the response.

        Raises
        ------
        RequestError
            If the instance cannot be reached or its response is not JSON.
        """
        data = None if body is None else json.dumps(body).encode()
        req = urllib.request.Request(
            f"{self._base}{path}", data=data, method=method, headers=headers or {}
        )
        try:
            with urllib.request.urlopen(req, timeout=timeout + TIMEOUT_MARGIN_SECONDS) as response:
                return _decode_response(response.status, response.read(), response.headers)
        except urllib.error.HTTPError as exc:
            return _decode_response(exc.code, exc.read(), exc.headers)
        except OSError as exc:
            raise RequestError(
                f"{self._base} does not respond: {exc}", "name another instance with --instance"
            ) from exc

    def require(self, method: str, path: str, body: Any = None, **options: Any) -> Any:
        """Send a request and return the body of the successful response.

        Raises
        ------
        RequestError
            If the request fails.
        """
        response = self.call(method, path, body, **options)
        if response.status >= HTTPStatus.MULTIPLE_CHOICES:
            raise RequestError(
                f"{method} {path} failed, status {response.status}: {json.dumps(response.body)}",
                "see the response for the cause",
            )
        return response.body


def read_json_file(path: Path) -> Any:
    """Return the decoded content of a file in JSON with comments.

    Raises
    ------
    RequestError
        If the file cannot be read or parsed.
    """
    try:
        return json5.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        raise RequestError(f"{path} cannot be read: {exc}", "check the file name") from exc
    except (ValueError, RecursionError) as exc:
        raise RequestError(
            f"{path} is not JSON with comments: {exc}", "correct the syntax at that position"
        ) from exc


def _decode_response(status: int, data: bytes, headers: Any) -> Response:
    try:
        body = json.loads(data) if data else None
    except (ValueError, RecursionError) as exc:
        raise RequestError(
            f"the response with status {status} is not JSON",
            "check that --instance names an instance",
        ) from exc
    return Response(status, body, {key.lower(): value for key, value in headers.items()})
