"""Scheduler for multi-accelerator jobs under client-account guarantees."""

from __future__ import annotations

import sys

__all__ = ["__version__"]

__version__ = "0.1.0"

# circuits imports pkg_resources, which uses 6 MB of memory, to declare a namespace package
# and works without it. Nothing else here uses it, so its import is blocked.
sys.modules.setdefault("pkg_resources", None)  # type: ignore[arg-type]
