"""Parser that splits a byte stream into HTTP/1.1 messages of bounded size."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus

__all__ = ["FramingError", "Message", "MessageFramer", "MessageLimits", "parse_request_line"]

END_OF_LINE = b"\r\n"
END_OF_HEAD = b"\r\n\r\n"
MAX_CHUNK_LINE_BYTES = 256  # ample for a chunk size; chunk extensions are ignored
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_TARGET = re.compile(r"/[!-~]*")
_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_STATUS_LINE = re.compile(r"HTTP/1\.\d (\d{3})(?: .*)?")
_STATUSES_WITHOUT_BODY = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})
_NON_REPEATABLE_HEADERS = frozenset({"host", "content-length", "transfer-encoding"})


class FramingError(Exception):
    """The received bytes are not a valid or supported message.

    Attributes
    ----------
    status : HTTPStatus
        Status of the reply to the caller.
    """

    def __init__(self, status: HTTPStatus, detail: str) -> None:
        super().__init__(detail)
        self.status = status


@dataclass(frozen=True)
class MessageLimits:
    """Maximum sizes of a message."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 1_000_000


@dataclass(frozen=True)
class Message:
    """A complete request or response.

    Attributes
    ----------
    headers : dict
        Values by lower-case name; the values of repeated headers are joined with commas.
    keep_alive : bool
        Whether the sender keeps the connection open after this message.
    """

    start_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


class _State(Enum):
    HEAD = "head"
    LENGTH = "length"
    CHUNK_SIZE = "chunk size"
    CHUNK_DATA = "chunk data"
    TRAILER = "trailer"
    UNTIL_CLOSE = "until close"


class MessageFramer:
    """Splits one direction of a connection into messages.

    Bytes after a message stay buffered until ``next_message`` is called again, so
    that pipelined messages are neither lost nor merged.

    Parameters
    ----------
    responses : bool
        Whether the messages are responses instead of requests.
    """

    def __init__(self, limits: MessageLimits, responses: bool = False) -> None:
        self._limits = limits
        self._responses = responses
        self._buffer = bytearray()
        self._searched_bytes = 0
        self._reset()

    def _reset(self) -> None:
        self._state = _State.HEAD
        self._start_line = ""
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._remaining_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Return the number of buffered bytes."""
        return len(self._buffer) + len(self._body)

    @property
    def is_between_messages(self) -> bool:
        """Return whether no part of a further message was received."""
        return self._state is _State.HEAD and not self._buffer

    @property
    def expects_continue(self) -> bool:
        """Return whether the sender waits for ``100 Continue`` before it sends the body."""
        waits = self._headers.get("expect", "").lower() == "100-continue"
        return waits and self._state is not _State.HEAD and not self._body and not self._buffer

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def next_message(self) -> Message | None:
        """Return the next complete message, or None if bytes are missing.

        Raises
        ------
        FramingError
            If the message is malformed or too large.
        """
        steps = {
            _State.HEAD: self._read_head,
            _State.LENGTH: self._read_length,
            _State.CHUNK_SIZE: self._read_chunk_size,
            _State.CHUNK_DATA: self._read_chunk_data,
            _State.TRAILER: self._read_trailer,
            _State.UNTIL_CLOSE: self._read_until_close,
        }
        while True:
            done = steps[self._state]()
            if done is None:
                return None
            if done:
                return self._complete_message()

    def end_of_stream(self) -> Message | None:
        """Return the message that ends with the connection, or None."""
        return self._complete_message() if self._state is _State.UNTIL_CLOSE else None

    def _complete_message(self) -> Message:
        connection = self._headers.get("connection", "").lower()
        tokens = {item.strip() for item in connection.split(",")}
        keep_alive = "close" not in tokens and self._state is not _State.UNTIL_CLOSE
        if "HTTP/1.0" in self._start_line:
            keep_alive = keep_alive and "keep-alive" in tokens
        message = Message(self._start_line, self._headers, bytes(self._body), keep_alive)
        self._reset()
        return message

    # Each step returns True if the message is complete, None if more bytes are needed and
    # False to continue with the next step.

    def _read_head(self) -> bool | None:
        while self._buffer.startswith(END_OF_LINE):  # empty lines between messages are allowed
            del self._buffer[:2]
        end = self._buffer.find(END_OF_HEAD, max(0, self._searched_bytes - 3))
        if end > self._limits.max_head_bytes or (
            end < 0 and len(self._buffer) > self._limits.max_head_bytes
        ):
            raise FramingError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                f"the request line and headers exceed {self._limits.max_head_bytes} bytes; "
                "send fewer headers",
            )
        if end < 0:
            self._searched_bytes = len(self._buffer)
            return None
        lines = self._buffer[:end].decode("latin-1").split("\r\n")
        del self._buffer[: end + len(END_OF_HEAD)]
        self._searched_bytes = 0
        self._start_line = lines[0]
        self._headers = _parse_headers(lines[1:])
        return self._begin_body()

    def _begin_body(self) -> bool:
        length = self._headers.get("content-length")
        coding = self._headers.get("transfer-encoding")
        if self._responses:
            status = _parse_status(self._start_line)
            if status < HTTPStatus.OK:
                self._reset()
                return False
            if status in _STATUSES_WITHOUT_BODY:
                return True
        if coding is not None:
            if coding.lower() != "chunked" or length is not None:
                raise _malformed("send either Content-Length or Transfer-Encoding: chunked")
            self._state = _State.CHUNK_SIZE
            return False
        if length is None:
            self._state = _State.UNTIL_CLOSE if self._responses else _State.HEAD
            return not self._responses
        if not (length.isascii() and length.isdigit()):
            raise _malformed(f"Content-Length {length[:40]!r} is not a number")
        # Converting a very long number would be slow, and it exceeds the limit anyway.
        self._remaining_bytes = int(length) if len(length) <= len(str(2**63)) else 2**63
        self._check_body_size(self._remaining_bytes)
        self._state = _State.LENGTH
        return self._remaining_bytes == 0

    def _read_length(self) -> bool | None:
        self._move_to_body(self._remaining_bytes)
        return True if self._remaining_bytes == 0 else None

    def _read_chunk_size(self) -> bool | None:
        end = self._buffer.find(END_OF_LINE)
        if end > MAX_CHUNK_LINE_BYTES or (end < 0 and len(self._buffer) > MAX_CHUNK_LINE_BYTES):
            raise _malformed("a chunk's size line is too long")
        if end < 0:
            return None
        text = self._buffer[:end].split(b";")[0].strip().decode("latin-1")
        del self._buffer[: end + 2]
        if not re.fullmatch(r"[0-9A-Fa-f]{1,16}", text):
            raise _malformed(f"chunk size {text[:40]!r} is not a hexadecimal number")
        self._remaining_bytes = int(text, 16)
        self._check_body_size(len(self._body) + self._remaining_bytes)
        self._state = _State.CHUNK_DATA if self._remaining_bytes else _State.TRAILER
        return False

    def _read_chunk_data(self) -> bool | None:
        self._move_to_body(self._remaining_bytes)
        if self._remaining_bytes or len(self._buffer) < len(END_OF_LINE):
            return None
        if not self._buffer.startswith(END_OF_LINE):
            raise _malformed("a chunk is longer than its size")
        del self._buffer[:2]
        self._state = _State.CHUNK_SIZE
        return False

    def _read_trailer(self) -> bool | None:
        end = self._buffer.find(END_OF_LINE)
        if end < 0 and len(self._buffer) <= self._limits.max_head_bytes:
            return None
        if not 0 <= end <= self._limits.max_head_bytes:
            raise _malformed("the trailer is too long")
        del self._buffer[: end + 2]
        return end == 0

    def _read_until_close(self) -> None:
        self._move_to_body(len(self._buffer))
        self._check_body_size(len(self._body))

    def _move_to_body(self, count: int) -> None:
        count = min(count, len(self._buffer))
        self._body += self._buffer[:count]
        del self._buffer[:count]
        self._remaining_bytes -= count

    def _check_body_size(self, size: int) -> None:
        if size > self._limits.max_body_bytes:
            raise FramingError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"the body exceeds {self._limits.max_body_bytes} bytes; send a smaller one",
            )


def parse_request_line(message: Message) -> tuple[str, str, str]:
    """Return the method, path and query of a request.

    Raises
    ------
    FramingError
        If the request line, Host or Content-Encoding is invalid or not supported.
    """
    parts = message.start_line.split(" ")
    if len(parts) != 3 or not _TOKEN.fullmatch(parts[0]):  # noqa: PLR2004
        raise _malformed("the request line does not have the form 'METHOD /path HTTP/1.1'")
    method, target, version = parts
    if version not in ("HTTP/1.1", "HTTP/1.0"):
        raise FramingError(
            HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP version not supported; send HTTP/1.1"
        )
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
            raise _malformed(f"header line {line[:40]!r} does not begin with a valid name")
        key, value = name.lower(), value.strip(" \t")
        if _CONTROL.search(value):
            raise _malformed(f"header {name} contains a control character")
        if key in headers and key in _NON_REPEATABLE_HEADERS:
            raise _malformed(f"header {name} must not be repeated")
        headers[key] = f"{headers[key]}, {value}" if key in headers else value
    return headers


def _parse_status(start_line: str) -> int:
    match = _STATUS_LINE.fullmatch(start_line)
    if match is None:
        raise _malformed(f"{start_line[:40]!r} is not a status line")
    return int(match[1])


def _malformed(detail: str) -> FramingError:
    return FramingError(HTTPStatus.BAD_REQUEST, detail)
