"""Encoding of the document and its audit records in the store."""

from __future__ import annotations

import msgspec

from chivefall.errors import DocumentError
from chivefall.model import ChangeRecord, Document

__all__ = ["decode_change", "decode_document", "encode_change", "encode_document"]

_decoder = msgspec.json.Decoder(Document)


def encode_document(document: Document) -> bytes:
    """Encode the document as JSON."""
    return msgspec.json.encode(document)


def decode_document(data: bytes) -> Document:
    """Decode the document from JSON.

    Raises
    ------
    DocumentError
        If the data is not a document in this version's format.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as exc:
        raise DocumentError(
            f"stored document cannot be decoded: {exc}",
            "apply a valid document with 'chivefall document apply'",
        ) from exc


def encode_change(change: ChangeRecord) -> bytes:
    """Encode an audit record as JSON."""
    return msgspec.json.encode(change)


def decode_change(data: bytes) -> ChangeRecord:
    """Decode an audit record from JSON.

    Raises
    ------
    DocumentError
        If the data is not an audit record in this version's format.
    """
    try:
        return msgspec.json.decode(data, type=ChangeRecord)
    except msgspec.DecodeError as exc:
        raise DocumentError(
            f"audit record cannot be decoded: {exc}", "delete the record from the history"
        ) from exc
