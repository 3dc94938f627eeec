"""HTTP interface for callers and operators."""

from __future__ import annotations

from chivefall.api._http_api import HttpApi

__all__ = ["HttpApi"]
