"""Scheduler for multi-accelerator jobs under client-account guarantees."""

from __future__ import annotations

import sys

__all__ = ["__version__"]

__version__ = "0.1.0"

# circuits declares a namespace with pkg_resources where that is installed, which costs
# 6 MB, and does without it otherwise. Nothing here uses pkg_resources.
sys.modules.setdefault("pkg_resources", None)  # type: ignore[arg-type]
