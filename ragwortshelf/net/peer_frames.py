"""Frames on a connection between two instances.

A connection starts with `Challenge`, `Hello` and `Welcome`, which prove to each side
that the other knows the shared secret. After that it carries `Heartbeat` frames, and
all other messages wrapped in an `Envelope`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ..core.membership import Heartbeat
from ..core.streams.codec import Undecodable, decode, encode

__all__ = [
    "Challenge",
    "Envelope",
    "EnvelopeKind",
    "Frame",
    "Hello",
    "Welcome",
    "decode_frame",
    "encode",
]


@dataclass(frozen=True, slots=True)
class Challenge:
    """The server's first frame, with a random number for the client to sign."""

    nonce: bytes


@dataclass(frozen=True, slots=True)
class Hello:
    """The client's identity, and a random number for the server to sign.

    ``signature`` covers the identity and the server's nonce.
    """

    name: str
    incarnation: int
    connection_id: str
    nonce: bytes
    signature: bytes


@dataclass(frozen=True, slots=True)
class Welcome:
    """The server's identity, signed together with the client's nonce.

    ``known_incarnation`` is the newest incarnation of the client that the server knows.
    If it is newer than the client's own, the connection is refused.
    """

    name: str
    incarnation: int
    known_incarnation: int
    signature: bytes


class EnvelopeKind(enum.StrEnum):
    """Purpose of an envelope.

    A ``CALL`` gets a ``REPLY`` or ``FAILED`` back; a ``NOTIFY`` gets no answer.
    """

    CALL = "call"
    REPLY = "reply"
    FAILED = "failed"
    NOTIFY = "notify"


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message from ``sender`` to ``to`` that other instances may forward.

    ``call_id`` is unique within the calling process. An answer is addressed to the
    caller and carries the caller's incarnation and call id. ``body`` is the encoded
    message, and ``hops`` counts how often it was forwarded. If the kind is ``FAILED``,
    ``detail`` gives the reason and ``may_have_applied`` says whether the receiver may
    have handled the call.
    """

    kind: EnvelopeKind
    call_id: int
    sender: str
    incarnation: int
    to: str
    body: bytes = b""
    hops: int = 0
    detail: str = ""
    may_have_applied: bool = True


Frame = Challenge | Hello | Welcome | Envelope | Heartbeat

_TYPES_BY_NAME = {cls.__name__: cls for cls in Frame.__args__}


def decode_frame(data: bytes | str) -> Frame | Undecodable:
    """Decode one frame; a text frame is undecodable."""
    if isinstance(data, str):
        return Undecodable("text frame")
    return decode(data, _TYPES_BY_NAME)
