"""Mutual proof of the shared secret at the start of a connection.

Each side signs the other's random number together with its own name, so a recorded
exchange is of no use to anybody else. Signatures are compared in constant time.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from websockets.trio.connection import Connection

from .peer_frames import Challenge, Hello, Welcome, decode_frame, encode

__all__ = ["Identity", "Refused", "Superseded", "greet_as_client", "greet_as_server"]

_NONCE_BYTES = 32


@dataclass(frozen=True, slots=True)
class Identity:
    """One side of a connection."""

    name: str
    incarnation: int
    connection_id: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The other side did not prove what it should have, with the reason."""

    detail: str


@dataclass(frozen=True, slots=True)
class Superseded:
    """The other side knows a newer incarnation of the side that connects."""

    incarnation: int


async def greet_as_client(
    websocket: Connection, own: Identity, expected_name: str, secret: bytes
) -> Identity | Refused | Superseded:
    """Prove who this side is, then check that the other side is ``expected_name``."""
    challenge = decode_frame(await websocket.recv())
    if not isinstance(challenge, Challenge):
        return Refused("no challenge came")
    nonce = secrets.token_bytes(_NONCE_BYTES)
    signature = _sign(secret, "client", challenge.nonce, own, expected_name)
    await websocket.send(
        encode(Hello(own.name, own.incarnation, own.connection_id, nonce, signature))
    )
    welcome = decode_frame(await websocket.recv())
    if not isinstance(welcome, Welcome):
        return Refused("no welcome came")
    peer = Identity(welcome.name, welcome.incarnation, own.connection_id)
    if not hmac.compare_digest(
        welcome.signature,
        _sign(secret, "server", nonce, peer, own.name, welcome.known_incarnation),
    ):
        return Refused("wrong signature")
    if peer.name != expected_name:
        return Refused(f"is {peer.name}, not {expected_name}")
    if welcome.known_incarnation > own.incarnation:
        return Superseded(welcome.known_incarnation)
    return peer


async def greet_as_server(
    websocket: Connection,
    own_name: str,
    own_incarnation: int,
    secret: bytes,
    incarnation_of: Callable[[str], int],
) -> Identity | Refused | Superseded:
    """Demand proof of the other side, then prove who this side is.

    ``incarnation_of`` tells the newest incarnation known of a name; the other side is
    told of it if it is an older one.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    await websocket.send(encode(Challenge(nonce)))
    hello = decode_frame(await websocket.recv())
    if not isinstance(hello, Hello):
        return Refused("no hello came")
    peer = Identity(hello.name, hello.incarnation, hello.connection_id)
    if not hmac.compare_digest(
        hello.signature, _sign(secret, "client", nonce, peer, own_name)
    ):
        return Refused("wrong signature")
    own = Identity(own_name, own_incarnation, hello.connection_id)
    known = incarnation_of(peer.name)
    signature = _sign(secret, "server", hello.nonce, own, peer.name, known)
    await websocket.send(encode(Welcome(own_name, own_incarnation, known, signature)))
    return Superseded(known) if known > peer.incarnation else peer


def _sign(
    secret: bytes,
    role: str,
    nonce: bytes,
    identity: Identity,
    other_name: str,
    known_incarnation: int = 0,
) -> bytes:
    parts = (
        role,
        identity.name,
        str(identity.incarnation),
        identity.connection_id,
        other_name,
        str(known_incarnation),
    )
    text = b"".join(
        len(part).to_bytes(4, "big") + part
        for part in (nonce, *(part.encode() for part in parts))
    )
    return hmac.digest(secret, text, hashlib.sha256)
