"""Encoding of the document in the store."""

from __future__ import annotations

import msgspec

from chivefall.errors import DocumentError
from chivefall.model import Document

__all__ = ["decode_document", "encode_document"]

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
