"""Peers of the region and what they say about the store."""

from __future__ import annotations

from chivefall.membership._table import PeerState, PeerTable

__all__ = ["PeerState", "PeerTable"]
