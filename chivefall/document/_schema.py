"""Strict conversion of document entries to the model's dataclasses."""

from __future__ import annotations

import re
from dataclasses import MISSING, fields
from typing import Annotated, Any, get_type_hints

import msgspec

from chivefall.errors import DocumentError
from chivefall.model import Account, DomainId, DomainState, Guarantee, Section, Service

__all__ = ["convert_section"]

MAX_NUMBER = 1_000_000_000
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")
# Excludes the full stop, which separates the failure domain from the rest of a job id.
DOMAIN_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}")

_POSITIVE_FIELDS = {
    (Guarantee, "gang_size"),
    (Guarantee, "accelerators"),
    (Service, "max_attempts"),
}


def _strict_struct(kind: type) -> type[msgspec.Struct]:
    """Return a struct type like ``kind`` that rejects unknown keys and negative numbers."""
    hints = get_type_hints(kind)
    members = []
    for item in fields(kind):
        hint = hints[item.name]
        if hint in (int, float):
            minimum = 1 if (kind, item.name) in _POSITIVE_FIELDS else 0
            hint = Annotated[hint, msgspec.Meta(ge=minimum, le=MAX_NUMBER)]
        if item.default is not MISSING:
            members.append((item.name, hint, item.default))
        elif item.default_factory is not MISSING:
            default = msgspec.field(default_factory=item.default_factory)
            members.append((item.name, hint, default))
        else:
            members.append((item.name, hint))
    return msgspec.defstruct(kind.__name__, members, forbid_unknown_fields=True)


_STRICT_STRUCTS = {kind: _strict_struct(kind) for kind in (Account, Guarantee, Service)}
_MAPPING_VALUES: dict[Section, Any] = {
    Section.ACCOUNTS: Account,
    Section.FAILURE_DOMAINS: DomainState,
    Section.SERVICES: Service,
    Section.OWNERS: tuple[str, ...],
}


def convert_section(section: Section, raw: Any) -> Any:
    """Convert a section's raw content to typed entries.

    Raises
    ------
    DocumentError
        If an entry is not valid; the message names the section and the key.
    """
    if section is Section.GUARANTEES:
        if not isinstance(raw, list):
            raise DocumentError(f"{section.value} is not a list", "put the entries between [ and ]")
        return tuple(
            _convert(item, Guarantee, f"{section.value}[{index}]") for index, item in enumerate(raw)
        )
    if not isinstance(raw, dict):
        raise DocumentError(f"{section.value} is not an object", "put the entries between { and }")
    kind = _MAPPING_VALUES[section]
    return {
        _convert_key(section, name): _convert(item, kind, f"{section.value}.{name}")
        for name, item in raw.items()
    }


def _convert_key(section: Section, name: str) -> Any:
    if section is Section.OWNERS:
        try:
            return Section(name)
        except ValueError:
            raise DocumentError(
                f"owners.{name}: no section has this name",
                f"use one of {', '.join(item.value for item in Section)}",
            ) from None
    pattern = DOMAIN_PATTERN if section is Section.FAILURE_DOMAINS else NAME_PATTERN
    if not pattern.fullmatch(name):
        raise DocumentError(
            f"{section.value}: {name[:80]!r} is not a valid name",
            "use up to 63 letters, digits, '-' and '_', beginning with a letter or digit",
        )
    return DomainId(name) if section is Section.FAILURE_DOMAINS else name


def _convert(raw: Any, kind: Any, place: str) -> Any:
    strict = _STRICT_STRUCTS.get(kind, kind)
    try:
        typed = msgspec.convert(raw, strict)
    except msgspec.ValidationError as exc:
        raise DocumentError(
            f"{place}: {exc}", "correct or remove the key that the message names"
        ) from exc
    if strict is kind:
        return typed
    return kind(**{item.name: getattr(typed, item.name) for item in fields(kind)})
