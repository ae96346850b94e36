"""Adapter of the platform's log over HTTP."""

from __future__ import annotations

from base64 import b64decode, b64encode
from urllib.parse import quote

from ..core.model import Unreachable
from .interfaces import Appended, LogService, Page, Truncated
from .json_service import JsonAnswer, JsonService

__all__ = ["HttpLog"]

_MARGIN_MS = 5_000


class HttpLog(LogService):
    """The log at ``address`` (``IP:port``); its calls are in docs/standins.md."""

    def __init__(self, address: str, *, timeout_ms: int = 5_000):
        # Long polls of all streams hold a connection each, beside the appends.
        self._service = JsonService(address, connections=16, timeout_ms=timeout_ms)

    async def append(
        self, stream: str, records: tuple[bytes, ...]
    ) -> Appended | Unreachable:
        """Append a batch, whole and in order."""
        fields = {"records": [b64encode(record).decode() for record in records]}
        answer = await self._service.post(f"/streams/{quote(stream)}/records", fields)
        if isinstance(answer, Unreachable):
            return answer
        try:
            return Appended(
                int(answer.fields["first_offset"]), int(answer.fields["count"])
            )
        except (KeyError, TypeError, ValueError) as error:
            return Unreachable(f"unexpected answer: {error!r}")

    async def read(
        self, stream: str, from_offset: int, *, limit: int, wait_ms: int
    ) -> Page | Truncated | Unreachable:
        """Read records, waiting up to ``wait_ms`` milliseconds for the first one."""
        target = (
            f"/streams/{quote(stream)}/records"
            f"?from={from_offset}&limit={limit}&wait_ms={wait_ms}"
        )
        answer = await self._service.get(target, timeout_ms=wait_ms + _MARGIN_MS)
        if isinstance(answer, Unreachable):
            return answer
        try:
            return _page(answer)
        except (KeyError, TypeError, ValueError) as error:
            return Unreachable(f"unexpected answer: {error!r}")


def _page(answer: JsonAnswer) -> Page | Truncated:
    fields = answer.fields
    if answer.status == 410:
        return Truncated(int(fields["first_available"]), int(fields["end_offset"]))
    records = tuple(b64decode(record) for record in fields["records"])
    return Page(int(fields["first_offset"]), records, int(fields["end_offset"]))
