"""Members of the region, the state that they report, and whether tasks may start."""

from __future__ import annotations

from chivefall.membership._members import Members
from chivefall.membership._permission import (
    Fresh,
    LocalEvidence,
    Stale,
    StartPermission,
    StoreOutage,
    start_permission,
)
from chivefall.membership._table import PeerState, PeerTable

__all__ = [
    "Fresh",
    "LocalEvidence",
    "Members",
    "PeerState",
    "PeerTable",
    "Stale",
    "StartPermission",
    "StoreOutage",
    "start_permission",
]
