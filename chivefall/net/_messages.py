"""Messages between instances and their msgpack encoding."""

from __future__ import annotations

from typing import Any, Union

import msgspec

from chivefall.decoding import decode_msgpack

__all__ = [
    "Envelope",
    "Heartbeat",
    "PeerMessage",
    "PeerRequest",
    "PeerResponse",
    "decode_envelope",
    "encode_envelope",
]


class Heartbeat(msgspec.Struct, tag="hb", frozen=True, array_like=True):
    """State of the sender, sent at a fixed interval.

    Attributes
    ----------
    confirmed_age : float
        Seconds since the store last confirmed the sender's document revision.
    store_reachable : bool
        Whether the store responded to the sender's last call.
    change_open : bool
        Whether the outcome of a document change written by the sender is unknown.
    leader_epoch : int
        Epoch of the sender's leadership; 0 if it does not lead.
    capacity : tuple of int
        Free accelerators, largest free block in a rack and queue length, if the
        sender leads; otherwise empty.
    leaving : bool
        Whether the sender is shutting down and makes no more changes.
    uptime : float
        Seconds since the sender's process started.
    sent_at : float
        Time of sending by the sender's clock, which only the sender can interpret.
    echo_incarnation, echo_sent_at, echo_held : str, float, float
        Incarnation and ``sent_at`` of the last heartbeat that the sender received
        from the receiver, and the seconds since its arrival. The receiver derives
        the maximum age of this heartbeat from them.
    """

    failure_domain: str
    revision: int
    confirmed_age: float
    store_reachable: bool
    leader_epoch: int = 0
    capacity: tuple[int, ...] = ()
    leaving: bool = False
    change_open: bool = False
    uptime: float = 0.0
    sent_at: float = 0.0
    echo_incarnation: str = ""
    echo_sent_at: float = 0.0
    echo_held: float = 0.0


class PeerRequest(msgspec.Struct, tag="req", frozen=True, array_like=True):
    """A request from one instance to another.

    Attributes
    ----------
    correlation : int
        Number of the request, unique within the sender's incarnation.
    operation : str
        Name of the operation.
    body : Any
        Arguments as plain values.
    """

    correlation: int
    operation: str
    body: Any


class PeerResponse(msgspec.Struct, tag="res", frozen=True, array_like=True):
    """The response to the request with the same correlation number.

    Attributes
    ----------
    error : str
        Why the request failed; empty on success.
    """

    correlation: int
    body: Any
    error: str = ""


PeerMessage = Union[Heartbeat, PeerRequest, PeerResponse]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message and its sender.

    Attributes
    ----------
    sender : str
        Instance name.
    incarnation : str
        Random id of the sender's process.
    address : str
        ``host:port`` at which the sender listens for peers.
    target_incarnation : str
        Incarnation that sent the request, for a response; otherwise empty.
    """

    sender: str
    incarnation: str
    address: str
    message: PeerMessage
    target_incarnation: str = ""


_encoder = msgspec.msgpack.Encoder()


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the envelope in msgpack."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Return the envelope that msgpack data encodes.

    Raises
    ------
    MessageError
        If the data is not a message of this version.
    """
    return decode_msgpack(data, Envelope, "peer message", "run the same version on all instances")
