"""Messages between entry instances and their msgpack encoding."""

from __future__ import annotations

from typing import Any, Union

import msgspec

from chivefall.errors import MessageError

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
    """The sender's state, sent at a fixed interval.

    Attributes
    ----------
    confirmed_age : float
        Seconds since the store last confirmed the sender's document revision.
    store_reachable : bool
        Whether the sender's last call to the store was answered.
    change_open : bool
        Whether the sender does not know the outcome of a change it wrote.
    leader_epoch : int
        Epoch of the sender's leadership; 0 if it does not lead.
    capacity : tuple of int
        Free accelerators, largest free block of a rack and queue length, as a
        leader sees them; empty for others.
    leaving : bool
        Whether the sender ends and changes nothing more.
    uptime : float
        Seconds since the sender's process started.
    sent_at : float
        Sender's time; only the sender can interpret it.
    echo_incarnation, echo_sent_at, echo_held : str, float, float
        The receiver's own last heartbeat and the seconds since its arrival at
        the sender. They tell the receiver how old this message can be at most.
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
    """A request that another instance has to answer.

    Attributes
    ----------
    correlation : int
        Number that is unique within the sender's incarnation.
    operation : str
        Name of the operation.
    body : Any
        Arguments as plain values.
    """

    correlation: int
    operation: str
    body: Any


class PeerResponse(msgspec.Struct, tag="res", frozen=True, array_like=True):
    """The answer to the request with the same correlation number.

    Attributes
    ----------
    error : str
        Why there is no answer although the request arrived; empty otherwise.
    """

    correlation: int
    body: Any
    error: str = ""


PeerMessage = Union[Heartbeat, PeerRequest, PeerResponse]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender.

    Attributes
    ----------
    sender : str
        Instance name.
    incarnation : str
        Random name of the sender's process.
    address : str
        ``host:port`` at which the sender listens for peers.
    target_incarnation : str
        For a response, the incarnation that asked; empty otherwise.
    """

    sender: str
    incarnation: str
    address: str
    message: PeerMessage
    target_incarnation: str = ""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the envelope as msgpack."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Return the envelope in a msgpack message.

    Raises
    ------
    MessageError
        If the bytes are not a message of this version.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as exc:
        raise MessageError(
            f"peer message cannot be decoded: {exc}", "run the same version on all instances"
        ) from exc
