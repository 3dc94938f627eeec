"""Framing of HTTP/1.1 messages in a stream of bytes, with bounds on memory."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus

__all__ = ["FramingError", "Limits", "Message", "MessageFramer", "parse_request_line"]

END_OF_LINE = b"\r\n"
END_OF_HEAD = b"\r\n\r\n"
MAX_CHUNK_LINE = 256  # bytes; sizes are short, extensions are not used
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_TARGET = re.compile(r"/[!-~]*")
_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_STATUS_LINE = re.compile(r"HTTP/1\.\d (\d{3})(?: .*)?")
_BODILESS = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})
_SINGLE = frozenset({"host", "content-length", "transfer-encoding"})


class FramingError(Exception):
    """The bytes are not an acceptable message.

    Attributes
    ----------
    status : HTTPStatus
        Status that tells a caller what is wrong.
    """

    def __init__(self, status: HTTPStatus, detail: str) -> None:
        super().__init__(detail)
        self.status = status


@dataclass(frozen=True)
class Limits:
    """Largest head and body in bytes."""

    head: int = 16_384
    body: int = 1_000_000


@dataclass(frozen=True)
class Message:
    """A complete message.

    Attributes
    ----------
    headers : dict
        Values by lower-case name; repeated ones are joined with commas.
    keep_alive : bool
        Whether the sender accepts another message on the connection.
    """

    start_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


class _Part(Enum):
    HEAD = "head"
    LENGTH = "length"
    CHUNK_SIZE = "chunk size"
    CHUNK_DATA = "chunk data"
    TRAILER = "trailer"
    UNTIL_CLOSE = "until close"


class MessageFramer:
    """Cuts one direction of a connection into messages.

    Bytes that follow a message stay buffered until ``take`` is called again, so
    that pipelined messages are neither lost nor merged.
    """

    def __init__(self, limits: Limits, responses: bool = False) -> None:
        self._limits = limits
        self._responses = responses
        self._buffer = bytearray()
        self._searched = 0
        self._reset()

    def _reset(self) -> None:
        self._part = _Part.HEAD
        self._start_line = ""
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._missing = 0

    @property
    def buffered(self) -> int:
        """Return the bytes that are kept."""
        return len(self._buffer) + len(self._body)

    @property
    def is_between_messages(self) -> bool:
        """Return whether no byte of an incomplete message was received."""
        return self._part is _Part.HEAD and not self._buffer

    @property
    def expects_continue(self) -> bool:
        """Return whether the sender of a request waits before it sends the body."""
        waits = self._headers.get("expect", "").lower() == "100-continue"
        return waits and self._part is not _Part.HEAD and not self._body and not self._buffer

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def take(self) -> Message | None:
        """Return the next complete message, or None if bytes are missing.

        Raises
        ------
        FramingError
            If the message is malformed or too large.
        """
        steps = {
            _Part.HEAD: self._read_head,
            _Part.LENGTH: self._read_length,
            _Part.CHUNK_SIZE: self._read_chunk_size,
            _Part.CHUNK_DATA: self._read_chunk_data,
            _Part.TRAILER: self._read_trailer,
            _Part.UNTIL_CLOSE: self._read_until_close,
        }
        while True:
            done = steps[self._part]()
            if done is None:
                return None
            if done:
                return self._finish()

    def end(self) -> Message | None:
        """Return the message that the end of the connection completes, if any."""
        return self._finish() if self._part is _Part.UNTIL_CLOSE else None

    def _finish(self) -> Message:
        connection = self._headers.get("connection", "").lower()
        tokens = {item.strip() for item in connection.split(",")}
        keep_alive = "close" not in tokens and self._part is not _Part.UNTIL_CLOSE
        if "HTTP/1.0" in self._start_line:
            keep_alive = keep_alive and "keep-alive" in tokens
        message = Message(self._start_line, self._headers, bytes(self._body), keep_alive)
        self._reset()
        return message

    # Each step returns True if the message is complete, None if bytes are missing.

    def _read_head(self) -> bool | None:
        while self._buffer.startswith(END_OF_LINE):  # allowed between messages
            del self._buffer[:2]
        end = self._buffer.find(END_OF_HEAD, max(0, self._searched - 3))
        if end > self._limits.head or (end < 0 and len(self._buffer) > self._limits.head):
            raise FramingError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                f"the head has more than {self._limits.head} bytes; send fewer headers",
            )
        if end < 0:
            self._searched = len(self._buffer)
            return None
        lines = self._buffer[:end].decode("latin-1").split("\r\n")
        del self._buffer[: end + len(END_OF_HEAD)]
        self._searched = 0
        self._start_line = lines[0]
        self._headers = _parse_headers(lines[1:])
        return self._begin_body()

    def _begin_body(self) -> bool:
        length = self._headers.get("content-length")
        coding = self._headers.get("transfer-encoding")
        if self._responses:
            status = _status_of(self._start_line)
            if status < HTTPStatus.OK:
                self._reset()
                return False
            if status in _BODILESS:
                return True
        if coding is not None:
            if coding.lower() != "chunked" or length is not None:
                raise _malformed("send either Content-Length or Transfer-Encoding: chunked")
            self._part = _Part.CHUNK_SIZE
            return False
        if length is None:
            self._part = _Part.UNTIL_CLOSE if self._responses else _Part.HEAD
            return not self._responses
        if not (length.isascii() and length.isdigit()):
            raise _malformed(f"Content-Length {length[:40]!r} is not a number")
        # A long run of digits would be slow to convert; it is too large in any case.
        self._missing = int(length) if len(length) <= len(str(2**63)) else 2**63
        self._check_body(self._missing)
        self._part = _Part.LENGTH
        return self._missing == 0

    def _read_length(self) -> bool | None:
        self._move(self._missing)
        return True if self._missing == 0 else None

    def _read_chunk_size(self) -> bool | None:
        end = self._buffer.find(END_OF_LINE)
        if end > MAX_CHUNK_LINE or (end < 0 and len(self._buffer) > MAX_CHUNK_LINE):
            raise _malformed("a chunk's size line is too long")
        if end < 0:
            return None
        text = self._buffer[:end].split(b";")[0].strip().decode("latin-1")
        del self._buffer[: end + 2]
        if not re.fullmatch(r"[0-9A-Fa-f]{1,16}", text):
            raise _malformed(f"chunk size {text[:40]!r} is not a hexadecimal number")
        self._missing = int(text, 16)
        self._check_body(len(self._body) + self._missing)
        self._part = _Part.CHUNK_DATA if self._missing else _Part.TRAILER
        return False

    def _read_chunk_data(self) -> bool | None:
        self._move(self._missing)
        if self._missing or len(self._buffer) < len(END_OF_LINE):
            return None
        if not self._buffer.startswith(END_OF_LINE):
            raise _malformed("a chunk is longer than its size")
        del self._buffer[:2]
        self._part = _Part.CHUNK_SIZE
        return False

    def _read_trailer(self) -> bool | None:
        end = self._buffer.find(END_OF_LINE)
        if end < 0 and len(self._buffer) <= self._limits.head:
            return None
        if not 0 <= end <= self._limits.head:
            raise _malformed("the trailer is too long")
        del self._buffer[: end + 2]
        return end == 0

    def _read_until_close(self) -> None:
        self._move(len(self._buffer))
        self._check_body(len(self._body))

    def _move(self, count: int) -> None:
        count = min(count, len(self._buffer))
        self._body += self._buffer[:count]
        del self._buffer[:count]
        self._missing -= count

    def _check_body(self, size: int) -> None:
        if size > self._limits.body:
            raise FramingError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"the body has more than {self._limits.body} bytes; send less",
            )


def parse_request_line(message: Message) -> tuple[str, str, str]:
    """Return method, path and query of a request.

    Raises
    ------
    FramingError
        If the line or a header that concerns the connection is not acceptable.
    """
    parts = message.start_line.split(" ")
    if len(parts) != 3 or not _TOKEN.fullmatch(parts[0]):  # noqa: PLR2004
        raise _malformed("the request line is not 'METHOD /path HTTP/1.1'")
    method, target, version = parts
    if version not in ("HTTP/1.1", "HTTP/1.0"):
        raise FramingError(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "send HTTP/1.1")
    if not _TARGET.fullmatch(target) or "#" in target:
        raise _malformed("the request target is not a path such as /v1/jobs")
    if version == "HTTP/1.1" and "host" not in message.headers:
        raise _malformed("the Host header is missing")
    if message.headers.get("content-encoding", "identity").lower() != "identity":
        raise FramingError(
            HTTPStatus.UNSUPPORTED_MEDIA_TYPE, "Content-Encoding is not supported; send plain JSON"
        )
    path, _, query = target.partition("?")
    return method, path, query


def _parse_headers(lines: list[str]) -> dict[str, str]:
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or not _TOKEN.fullmatch(name):
            raise _malformed(f"header line {line[:40]!r} has no valid name")
        key, value = name.lower(), value.strip(" \t")
        if _CONTROL.search(value):
            raise _malformed(f"header {name} contains a control character")
        if key in headers and key in _SINGLE:
            raise _malformed(f"header {name} appears twice")
        headers[key] = f"{headers[key]}, {value}" if key in headers else value
    return headers


def _status_of(start_line: str) -> int:
    match = _STATUS_LINE.fullmatch(start_line)
    if match is None:
        raise _malformed(f"{start_line[:40]!r} is not a status line")
    return int(match[1])


def _malformed(detail: str) -> FramingError:
    return FramingError(HTTPStatus.BAD_REQUEST, detail)
