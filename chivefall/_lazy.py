"""Public names of a package that are imported at their first use."""

from __future__ import annotations

import importlib
import sys
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = ["lazy_attributes"]


def lazy_attributes(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a ``__getattr__`` for a package whose programs use different parts of it.

    An instance on the users' platform pays for its memory and needs about half
    of the controllers and transports.

    Parameters
    ----------
    package : str
        Name of the package.
    modules : mapping
        Module within the package by public name.
    """

    def find(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(importlib.import_module(f"{package}.{modules[name]}"), name)
        setattr(sys.modules[package], name, value)
        return value

    return find
