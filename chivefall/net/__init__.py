"""HTTP client and server, and message transport between instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chivefall._lazy import lazy_attributes

if TYPE_CHECKING:
    from chivefall.net._adaptive_timeout import AdaptiveTimeout
    from chivefall.net._codec import decode_outcome, encode_outcome
    from chivefall.net._http_client import (
        ConnectionLimits,
        HttpClient,
        HttpFailure,
        HttpResponse,
    )
    from chivefall.net._http_server import HttpReply, HttpRequest, HttpServer, json_reply
    from chivefall.net._messages import (
        Envelope,
        Heartbeat,
        PeerMessage,
        PeerRequest,
        PeerResponse,
    )
    from chivefall.net._peer_base import PeerFailure, Peers
    from chivefall.net._peers import NngPeers

__all__ = [
    "AdaptiveTimeout",
    "ConnectionLimits",
    "Envelope",
    "Heartbeat",
    "HttpClient",
    "HttpFailure",
    "HttpReply",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "NngPeers",
    "PeerFailure",
    "PeerMessage",
    "PeerRequest",
    "PeerResponse",
    "Peers",
    "decode_outcome",
    "encode_outcome",
    "json_reply",
]

__getattr__ = lazy_attributes(
    __name__,
    {
        "PeerRequest": "_messages",
        "PeerResponse": "_messages",
        "Envelope": "_messages",
        "Heartbeat": "_messages",
        "ConnectionLimits": "_http_client",
        "HttpClient": "_http_client",
        "HttpFailure": "_http_client",
        "HttpReply": "_http_server",
        "HttpRequest": "_http_server",
        "HttpResponse": "_http_client",
        "HttpServer": "_http_server",
        "NngPeers": "_peers",
        "AdaptiveTimeout": "_adaptive_timeout",
        "PeerFailure": "_peer_base",
        "PeerMessage": "_messages",
        "Peers": "_peer_base",
        "decode_outcome": "_codec",
        "encode_outcome": "_codec",
        "json_reply": "_http_server",
    },
)
