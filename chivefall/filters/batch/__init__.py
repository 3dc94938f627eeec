"""Filters for batch job requests."""

from __future__ import annotations

from chivefall.filters.batch._catalog import CatalogFilter
from chivefall.filters.batch._dispatch import BatchDispatchFilter
from chivefall.filters.batch._key import KeyFilter
from chivefall.filters.batch._queue import QueueFilter
from chivefall.filters.batch._steps import StepsFilter

__all__ = ["BatchDispatchFilter", "CatalogFilter", "KeyFilter", "QueueFilter", "StepsFilter"]
