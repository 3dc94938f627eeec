"""Parsing and validation of documents and single sections."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import json5

from chivefall.document._schema import convert_section
from chivefall.errors import DocumentError
from chivefall.model import Adjacency, Document, Guarantee, Revision, Section

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.model import RackId

__all__ = ["check_document", "parse_document", "parse_section", "placement_warnings"]

MAX_DOCUMENT_BYTES = 1_000_000
MAX_JSON5_BYTES = 32_000
"""The json5 parser takes about 18 microseconds per byte and blocks the event loop meanwhile."""

_METADATA = {"revision", "section_revisions", "last_change"}


def parse_document(text: bytes) -> Document:
    """Parse a whole document in JSON or JSON with comments.

    The revisions and the audit record, which a downloaded document contains, are
    accepted and ignored.

    Raises
    ------
    DocumentError
        If the text is not a valid document; the message names section and key.
    """
    raw = _parse_text(text)
    if not isinstance(raw, dict):
        raise DocumentError("the document is not an object", "put all sections between { and }")
    known = {section.value for section in Section}
    for key in raw:
        if key not in known | _METADATA:
            raise DocumentError(
                f"unknown section {key!r}", f"remove it or use one of {', '.join(sorted(known))}"
            )
    document = Document(
        Revision(0),
        **{name: convert_section(Section(name), raw[name]) for name in known if name in raw},
    )
    check_document(document)
    return document


def parse_section(section: Section, text: bytes) -> Any:
    """Parse one section in JSON or JSON with comments and return its typed content.

    Raises
    ------
    DocumentError
        If the text is not a valid section; the message names section and key.
    """
    return convert_section(section, _parse_text(text))


def check_document(document: Document) -> None:
    """Check the rules that concern more than one entry.

    Raises
    ------
    DocumentError
        If an entry refers to an account that does not exist, or if no team owns
        the section ``owners``, which could then never be changed again.
    """
    for index, guarantee in enumerate(document.guarantees):
        if guarantee.account not in document.accounts:
            raise DocumentError(
                f"guarantees[{index}].account: account {guarantee.account!r} does not exist",
                "add it to the section accounts, or remove the guarantee first",
            )
    for name, service in document.services.items():
        if service.account not in document.accounts:
            raise DocumentError(
                f"services.{name}.account: account {service.account!r} does not exist",
                "add it to the section accounts, or change the service first",
            )
    if document.owners and not document.owners.get(Section.OWNERS):
        raise DocumentError(
            "owners.owners: no team owns the section owners, so no team could change it again",
            "name at least one team under owners.owners",
        )


def placement_warnings(
    document: Document, workers: Iterable[tuple[RackId, int]]
) -> tuple[str, ...]:
    """Return a warning for each guarantee whose gang cannot fit within its adjacency.

    Parameters
    ----------
    workers : iterable of (RackId, int)
        Rack and number of accelerators of each worker in the platform's list.
    """
    racks: dict[RackId, list[int]] = {}
    for rack, accelerators in workers:
        racks.setdefault(rack, []).append(accelerators)
    if not racks:
        return ()
    return tuple(
        f"guarantees[{index}]: no {guarantee.adjacency.value} can hold {guarantee.gang_size} x"
        f" {guarantee.accelerators} accelerators; reduce the gang or widen its adjacency"
        for index, guarantee in enumerate(document.guarantees)
        if not any(_fits(guarantee, rack) for rack in racks.values())
    )


def _fits(guarantee: Guarantee, rack: list[int]) -> bool:
    members = [accelerators // guarantee.accelerators for accelerators in rack]
    if guarantee.adjacency is Adjacency.WORKER:
        return max(members) >= guarantee.gang_size
    if guarantee.adjacency is Adjacency.RACK:
        return sum(members) >= guarantee.gang_size
    return any(members)


def _parse_text(text: bytes) -> Any:
    if len(text) >= MAX_DOCUMENT_BYTES:
        raise DocumentError(
            f"the text has {len(text)} bytes", f"keep it under {MAX_DOCUMENT_BYTES} bytes"
        )
    try:
        return json.loads(text, object_pairs_hook=_unique_keys, parse_constant=_reject_constant)
    except (ValueError, RecursionError):
        return _parse_json5(text)


def _parse_json5(text: bytes) -> Any:
    if len(text) > MAX_JSON5_BYTES:
        raise DocumentError(
            f"the text is not plain JSON and has {len(text)} bytes",
            f"convert it to plain JSON first, or keep it under {MAX_JSON5_BYTES} bytes",
        )
    try:
        return json5.loads(
            text.decode(), allow_duplicate_keys=False, parse_constant=_reject_constant
        )
    except (ValueError, RecursionError) as exc:
        raise DocumentError(
            f"the text is not JSON with comments: {exc}", "correct the syntax at that place"
        ) from exc


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    keys = dict(pairs)
    if len(keys) != len(pairs):
        raise DocumentError("an object has the same key twice", "remove one of the two entries")
    return keys


def _reject_constant(name: str) -> Any:
    raise DocumentError(f"{name} is not a valid number", "write a finite number")
