"""Adapter to the users' platform: its names, formats and calls, without any decisions."""

from __future__ import annotations

from chivefall.platform._codec import JsonPlatformCodec
from chivefall.platform._http_api import BatchHttpApi
from chivefall.platform._run_client import HttpRunClient
from chivefall.platform._store import PlatformStore

__all__ = ["BatchHttpApi", "HttpRunClient", "JsonPlatformCodec", "PlatformStore"]
