"""Encoding of the document in the store."""

from __future__ import annotations

import msgspec

from chivefall.errors import DocumentError
from chivefall.model import ChangeRecord, Document

__all__ = ["decode_change", "decode_document", "encode_change", "encode_document"]

_decoder = msgspec.json.Decoder(Document)


def encode_document(document: Document) -> bytes:
    """Return the document as JSON."""
    return msgspec.json.encode(document)


def decode_document(data: bytes) -> Document:
    """Return the document in JSON.

    Raises
    ------
    DocumentError
        If the data is not a document of this version.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as exc:
        raise DocumentError(
            f"stored document cannot be decoded: {exc}",
            "apply a valid document with 'chivefall document apply'",
        ) from exc


def encode_change(change: ChangeRecord) -> bytes:
    """Return an audit record as JSON."""
    return msgspec.json.encode(change)


def decode_change(data: bytes) -> ChangeRecord:
    """Return the audit record in JSON.

    Raises
    ------
    DocumentError
        If the data is not an audit record of this version.
    """
    try:
        return msgspec.json.decode(data, type=ChangeRecord)
    except msgspec.DecodeError as exc:
        raise DocumentError(
            f"audit record cannot be decoded: {exc}", "delete the record from the history"
        ) from exc
