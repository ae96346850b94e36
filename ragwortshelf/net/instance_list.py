"""HTTP adapter for the platform's list of instances, workers and endpoints."""

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
    """Client of the list service at ``address`` (``IP:port``)."""

    def __init__(self, address: str, *, timeout_ms: int = 5_000):
        self._service = JsonService(address, connections=2, timeout_ms=timeout_ms)
        self._etag = ""
        self._last_membership: Membership | None = None

    async def fetch(self) -> Membership | Unreachable:
        """Fetch the list; an unchanged one is not transferred again."""
        answer = await self._service.get("/members", known_etag=self._etag)
        if isinstance(answer, Unreachable):
            return answer
        if answer.status == 304 and self._last_membership is not None:
            return self._last_membership
        membership = _parse_membership(answer.fields)
        if isinstance(membership, Membership):
            self._etag = answer.etag
            self._last_membership = membership
        return membership


def _parse_membership(fields: dict) -> Membership | Unreachable:
    try:
        return Membership(
            version=int(fields["version"]),
            instances=_parse_rows(InstanceInfo, fields["instances"]),
            workers=_parse_rows(WorkerInfo, fields["workers"]),
            endpoints=_parse_rows(ServingEndpoint, fields["endpoints"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        return Unreachable(f"unexpected answer: {error!r}")


def _parse_rows(cls, rows) -> tuple:
    return tuple(cls(**{**row, "state": MemberState(row["state"])}) for row in rows)
