"""HTTP for callers and the platform, messages between instances."""

from __future__ import annotations

from chivefall.net._codec import decode_outcome, encode_outcome
from chivefall.net._http_client import HttpClient, HttpFailure, HttpResponse
from chivefall.net._http_server import HttpReply, HttpRequest, HttpServer
from chivefall.net._messages import CallerRequest, CallerResponse, Envelope, Heartbeat, PeerMessage
from chivefall.net._peer_base import PeerFailure, Peers
from chivefall.net._peers import NngPeers

__all__ = [
    "CallerRequest",
    "CallerResponse",
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
    "Peers",
    "decode_outcome",
    "encode_outcome",
]
