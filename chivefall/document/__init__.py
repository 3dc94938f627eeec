"""The operators' document: encoding, validation, changes and guarantee shares."""

from __future__ import annotations

from chivefall.document._change import (
    ChangeAccepted,
    ChangeConflict,
    ChangeDenied,
    ChangeInvalid,
    ChangeNotMade,
    ChangeOutcome,
    ChangePlanned,
    ChangeRequest,
    ChangeUnknown,
    ChangeUnneeded,
    plan_change,
)
from chivefall.document._codec import (
    decode_change,
    decode_document,
    encode_change,
    encode_document,
)
from chivefall.document._edits import DocumentEdit, DomainEdit, Edit, SectionEdit
from chivefall.document._parse import (
    check_document,
    parse_document,
    parse_section,
    placement_warnings,
)
from chivefall.document._shares import guarantee_shares

__all__ = [
    "ChangeAccepted",
    "ChangeConflict",
    "ChangeDenied",
    "ChangeInvalid",
    "ChangeNotMade",
    "ChangeOutcome",
    "ChangePlanned",
    "ChangeRequest",
    "ChangeUnknown",
    "ChangeUnneeded",
    "DocumentEdit",
    "DomainEdit",
    "Edit",
    "SectionEdit",
    "check_document",
    "decode_change",
    "decode_document",
    "encode_change",
    "encode_document",
    "guarantee_shares",
    "parse_document",
    "parse_section",
    "placement_warnings",
    "plan_change",
]
