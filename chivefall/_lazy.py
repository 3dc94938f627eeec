"""Lazy import of the public names of a package."""

from __future__ import annotations

import importlib
import sys
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = ["lazy_attributes"]


def lazy_attributes(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a module ``__getattr__`` that imports public names on first use.

    This saves memory, which is charged on the users' platform: an instance there
    needs only about half of the controllers and transports.

    Parameters
    ----------
    package : str
        Name of the package.
    modules : mapping
        Submodule by public name.
    """

    def find(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(importlib.import_module(f"{package}.{modules[name]}"), name)
        setattr(sys.modules[package], name, value)
        return value

    return find
