"""Encoding of the document and its audit records in the store."""

from __future__ import annotations

import msgspec

from chivefall.decoding import decode_json
from chivefall.errors import DocumentError, MessageError
from chivefall.model import ChangeRecord, Document

__all__ = ["decode_change", "decode_document", "encode_change", "encode_document"]


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
    remedy = "apply a valid document with 'chivefall document apply'"
    try:
        return decode_json(data, Document, "stored document", remedy)
    except MessageError as exc:
        raise DocumentError(exc.problem, exc.remedy) from exc


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
    remedy = "delete the record from the history"
    try:
        return decode_json(data, ChangeRecord, "audit record", remedy)
    except MessageError as exc:
        raise DocumentError(exc.problem, exc.remedy) from exc
