"""Requests from callers, to be answered by an endpoint."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .jobs import Priority

__all__ = ["Request", "RequestClass"]


class RequestClass(enum.StrEnum):
    """The run time that the caller expects."""

    QUICK = "quick"
    ORDINARY = "ordinary"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class Request:
    """One request; ``deadline_ms`` is on this instance's monotonic clock.

    The id has the form ``instance.incarnation.number``. A non-idempotent request is
    sent only by the instance and incarnation that its id names, or by an instance to
    which that one delegated it for one attempt.
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
