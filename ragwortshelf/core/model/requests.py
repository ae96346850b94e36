"""A caller's request to the endpoints."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .jobs import Priority

__all__ = ["Request", "RequestClass"]


class RequestClass(enum.StrEnum):
    """What callers say about the expected run time."""

    QUICK = "quick"
    ORDINARY = "ordinary"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class Request:
    """One request with a stored deadline on this instance's monotonic clock.

    The id has the form ``instance.incarnation.number``; only the named incarnation
    of the named instance ever sends a non-idempotent request.
    """

    request_id: str
    organisation: str
    is_idempotent: bool
    deadline_ms: int
    priority: Priority = Priority.NORMAL
    request_class: RequestClass = RequestClass.ORDINARY
    method: str = "POST"
    path: str = "/"
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
