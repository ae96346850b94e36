"""Adapter of the platform's list of instances and endpoints over HTTP."""

from __future__ import annotations

from ..core.model import (
    InstanceInfo,
    MemberState,
    MinionInfo,
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

    async def fetch(self) -> Membership | Unreachable:
        """Fetch the whole list."""
        answer = await self._service.get("/members")
        if isinstance(answer, Unreachable):
            return answer
        fields = answer.fields
        try:
            return Membership(
                version=int(fields["version"]),
                instances=_entries(InstanceInfo, fields["instances"]),
                workers=_entries(WorkerInfo, fields["workers"]),
                minions=_entries(MinionInfo, fields["minions"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            return Unreachable(f"unexpected answer: {error!r}")


def _entries(cls, rows) -> tuple:
    return tuple(cls(**{**row, "state": MemberState(row["state"])}) for row in rows)
