"""Decoding of messages and records that other processes wrote, whatever bytes they contain."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from chivefall.errors import MessageError

__all__ = ["decode_json", "decode_msgpack"]

T = TypeVar("T")

MAX_REASON_LENGTH = 200  # characters; error messages may quote the sender's names
# Deep nesting raises RecursionError, and numbers beyond 64 bits raise OverflowError.
_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, TypeError, OverflowError, RecursionError)


def decode_json(data: bytes, kind: type[T] | Any, what: str, remedy: str) -> T:
    """Return JSON data as ``kind``.

    Parameters
    ----------
    what, remedy : str
        Name of the message and advice to the reader, for the error.

    Raises
    ------
    MessageError
        If the data is not JSON or does not match ``kind``.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except _DECODE_ERRORS as exc:
        raise _error(what, remedy, exc) from exc


def decode_msgpack(data: bytes, kind: type[T] | Any, what: str, remedy: str) -> T:
    """Return msgpack data as ``kind``; see :func:`decode_json`.

    Raises
    ------
    MessageError
        If the data is not msgpack or does not match ``kind``.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except _DECODE_ERRORS as exc:
        raise _error(what, remedy, exc) from exc


def _error(what: str, remedy: str, exc: Exception) -> MessageError:
    reason = f"{type(exc).__name__}: {exc}"[:MAX_REASON_LENGTH]
    return MessageError(f"{what} cannot be decoded: {reason}", remedy)
