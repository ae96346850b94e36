"""Mutual authentication by the shared secret at the start of a connection.

Each side signs the other's random number together with its own name, so a recorded
exchange cannot be replayed. Signatures are compared in constant time.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from websockets.trio.connection import Connection

from .peer_frames import Challenge, Hello, Welcome, decode_frame, encode

__all__ = [
    "Identity",
    "Refused",
    "Superseded",
    "authenticate_as_client",
    "authenticate_as_server",
]

_NONCE_BYTES = 32


@dataclass(frozen=True, slots=True)
class Identity:
    """Name and incarnation of one side, and the connection that it uses."""

    name: str
    incarnation: int
    connection_id: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The other side failed to authenticate, for the reason in ``detail``."""

    detail: str


@dataclass(frozen=True, slots=True)
class Superseded:
    """The server knows a newer incarnation of the client."""

    incarnation: int


async def authenticate_as_client(
    websocket: Connection, own: Identity, expected_name: str, secret: bytes
) -> Identity | Refused | Superseded:
    """Prove the client's identity, then verify that the server is ``expected_name``."""
    challenge = decode_frame(await websocket.recv())
    if not isinstance(challenge, Challenge):
        return Refused("expected a challenge")
    nonce = secrets.token_bytes(_NONCE_BYTES)
    signature = _sign(secret, "client", challenge.nonce, own, expected_name)
    await websocket.send(
        encode(Hello(own.name, own.incarnation, own.connection_id, nonce, signature))
    )
    welcome = decode_frame(await websocket.recv())
    if not isinstance(welcome, Welcome):
        return Refused("expected a welcome")
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


async def authenticate_as_server(
    websocket: Connection,
    own_name: str,
    own_incarnation: int,
    secret: bytes,
    newest_incarnation_of: Callable[[str], int],
) -> Identity | Refused | Superseded:
    """Verify the client's identity, then prove the server's.

    ``newest_incarnation_of`` returns the newest known incarnation of an instance. It
    is sent to the client, and a client with an older one is ``Superseded``.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    await websocket.send(encode(Challenge(nonce)))
    hello = decode_frame(await websocket.recv())
    if not isinstance(hello, Hello):
        return Refused("expected a hello")
    peer = Identity(hello.name, hello.incarnation, hello.connection_id)
    if not hmac.compare_digest(
        hello.signature, _sign(secret, "client", nonce, peer, own_name)
    ):
        return Refused("wrong signature")
    own = Identity(own_name, own_incarnation, hello.connection_id)
    known_incarnation = newest_incarnation_of(peer.name)
    signature = _sign(secret, "server", hello.nonce, own, peer.name, known_incarnation)
    await websocket.send(
        encode(Welcome(own_name, own_incarnation, known_incarnation, signature))
    )
    return (
        Superseded(known_incarnation) if known_incarnation > peer.incarnation else peer
    )


def _sign(
    secret: bytes,
    role: str,
    nonce: bytes,
    identity: Identity,
    other_name: str,
    known_incarnation: int = 0,
) -> bytes:
    """Sign an identity and the other side's nonce, with a length before each part."""
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
