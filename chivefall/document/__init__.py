"""The operators' document: encoding, validation and changes."""

from __future__ import annotations

from chivefall.document._codec import decode_document, encode_document

__all__ = ["decode_document", "encode_document"]
