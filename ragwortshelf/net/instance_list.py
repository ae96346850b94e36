"""Adapter of the platform's list of instances and endpoints over HTTP."""

from __future__ import annotations

from ..core.model import (
    InstanceInfo,
    MemberState,
    ServingEndpoint,
    Unreachable,
    WorkerInfo,
)
from .interfaces import InstanceList, Membership
from .json_service import JsonService

__all__ = ["HttpInstanceList"]


class HttpInstanceList(InstanceList):
    """The list at ``address`` (``IP:port``)."""

    def __init__(self, address: str, *, timeout_ms: int = 5_000):
        self._service = JsonService(address, connections=2, timeout_ms=timeout_ms)
        self._etag = ""
        self._newest: Membership | None = None

    async def fetch(self) -> Membership | Unreachable:
        """Fetch the list; one that has not changed is not sent again."""
        answer = await self._service.get("/members", known_etag=self._etag)
        if isinstance(answer, Unreachable):
            return answer
        if answer.status == 304 and self._newest is not None:
            return self._newest
        members = _membership(answer.fields)
        if isinstance(members, Membership):
            self._etag = answer.etag
            self._newest = members
        return members


def _membership(fields: dict) -> Membership | Unreachable:
    try:
        return Membership(
            version=int(fields["version"]),
            instances=_entries(InstanceInfo, fields["instances"]),
            workers=_entries(WorkerInfo, fields["workers"]),
            endpoints=_entries(ServingEndpoint, fields["endpoints"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        return Unreachable(f"unexpected answer: {error!r}")


def _entries(cls, rows) -> tuple:
    return tuple(cls(**{**row, "state": MemberState(row["state"])}) for row in rows)
