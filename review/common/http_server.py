"""Minimal HTTP/1.1 server with JSON bodies, for the stand-ins of the review."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["NO_REPLY", "Request", "serve"]

NO_REPLY = (0, None)  # the connection is closed without a response


class Request:
    """A complete request."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        self.headers = headers
        self.content = body

    @property
    def body(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.content) if self.content else {}


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


async def serve(
    port: int, handle: Callable[[Request], Awaitable[tuple[int, Any]]]
) -> asyncio.Server:
    """Serve requests on a loopback port; each connection has one request at a time."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                req = await _read_request(reader)
                status, body = await handle(req)
                if not status:
                    break
                data = json.dumps(body if body is not None else {}).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connected, "127.0.0.1", port)
