"""Frames on a connection between two instances.

A connection starts with `Challenge`, `Hello` and `Welcome`, which prove to both sides
that the other knows the shared secret. Then it carries heartbeats as they are, and
messages in an `Envelope`.
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
    """The accepting side's first frame: a random number for the client to sign."""

    nonce: bytes


@dataclass(frozen=True, slots=True)
class Hello:
    """Who connects, signed together with the challenge, and a challenge in return."""

    name: str
    incarnation: int
    connection_id: str
    nonce: bytes
    signature: bytes


@dataclass(frozen=True, slots=True)
class Welcome:
    """Who has accepted, signed together with the client's challenge.

    ``known_incarnation`` is the newest that the accepting side knows of the client. If
    that is newer than the client, the connection is refused.
    """

    name: str
    incarnation: int
    known_incarnation: int
    signature: bytes


class EnvelopeKind(enum.StrEnum):
    """What an envelope is for."""

    CALL = "call"
    REPLY = "reply"
    FAILED = "failed"
    NOTIFY = "notify"


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message for ``to``, perhaps passed on by others on the way.

    ``call_id`` is the sender's; a reply carries the caller's name and call id back.
    ``body`` is the encoded message. Of the kind ``FAILED``, ``detail`` says why and
    ``may_have_applied`` whether the receiver may have handled the call.
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
    """Decode one frame; text is none."""
    if isinstance(data, str):
        return Undecodable("text frame")
    return decode(data, _TYPES_BY_NAME)
