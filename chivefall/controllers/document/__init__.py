"""The operators' document: adoption, changes and audit history."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall._lazy import lazy_attributes

if TYPE_CHECKING:
    from chivefall.controllers.document._document import DocumentController

__all__ = [
    "DocumentController",
]

__getattr__ = lazy_attributes(
    __name__,
    {
        "DocumentController": "_document",
    },
)
