"""Request ids and their owners.

An id has the form ``instance.incarnation.number``. Only the named incarnation of the
named instance, the owner, sends a non-idempotent request with that id, or delegates it
to another instance for one attempt. A caller's retry is therefore passed to the process
that knows the outcome of the first try, whichever instance the load balancer picks.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from ..model import Request

__all__ = ["IdReserver", "RequestId", "parse_request_id", "request_fingerprint"]

MAX_RESERVED_IDS = 10_000
"""Largest batch that one call may reserve."""


@dataclass(frozen=True, slots=True)
class RequestId:
    """The parts of a request id.

    >>> str(RequestId("a1", 7, 12))
    'a1.7.12'
    """

    instance: str
    incarnation: int
    number: int

    def __str__(self) -> str:
        return f"{self.instance}.{self.incarnation}.{self.number}"


def parse_request_id(text: str) -> RequestId | None:
    """Return the parts of a request id, or None if ``text`` is not one.

    >>> parse_request_id("a1.7.12").number
    12
    """
    instance, _, remainder = text.partition(".")
    incarnation, _, number = remainder.partition(".")
    numbers = (incarnation, number)
    if not instance or not all(n.isascii() and n.isdigit() for n in numbers):
        return None
    if any(len(n) > 20 for n in numbers):
        return None
    return RequestId(instance, int(incarnation), int(number))


def request_fingerprint(request: Request) -> str:
    """Return a digest of a request's organisation, method, path and body.

    A repeated request has the same fingerprint. A different request with the same id,
    perhaps of another organisation, does not, and must not get the first one's answer.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.organisation, request.method, request.path):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


class IdReserver:
    """Hands out the ids of one incarnation, each number at most once."""

    def __init__(self, instance: str, incarnation: int):
        self._instance = instance
        self._incarnation = incarnation
        self._next_number = 1

    def reserve(self, count: int) -> tuple[str, ...]:
        """Return ``count`` consecutive new ids, at most ``MAX_RESERVED_IDS``."""
        count = max(0, min(count, MAX_RESERVED_IDS))
        first = self._next_number
        self._next_number += count
        return tuple(
            str(RequestId(self._instance, self._incarnation, number))
            for number in range(first, first + count)
        )

    def owns(self, request_id: RequestId) -> bool:
        """Whether this incarnation reserved ``request_id``."""
        return (
            request_id.instance == self._instance
            and request_id.incarnation == self._incarnation
            and 0 < request_id.number < self._next_number
        )
