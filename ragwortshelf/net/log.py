"""HTTP adapter for the platform's append-only log."""

from __future__ import annotations

from base64 import b64decode, b64encode
from urllib.parse import quote

from ..core.model import Unreachable
from .interfaces import Appended, LogService, Page, Truncated
from .json_service import JsonAnswer, JsonService

__all__ = ["HttpLog"]

_RESPONSE_MARGIN_MS = 5_000


class HttpLog(LogService):
    """Client of the log at ``address`` (``IP:port``).

    The calls are described in docs/standins.md.
    """

    def __init__(self, address: str, *, timeout_ms: int = 5_000):
        # Each stream's long poll occupies a connection, in addition to the appends.
        self._service = JsonService(address, connections=16, timeout_ms=timeout_ms)

    async def append(
        self, stream: str, records: tuple[bytes, ...]
    ) -> Appended | Unreachable:
        """Append a batch of records as a whole and in order."""
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
        answer = await self._service.get(
            target, timeout_ms=wait_ms + _RESPONSE_MARGIN_MS
        )
        if isinstance(answer, Unreachable):
            return answer
        try:
            return _parse_page(answer)
        except (KeyError, TypeError, ValueError) as error:
            return Unreachable(f"unexpected answer: {error!r}")


def _parse_page(answer: JsonAnswer) -> Page | Truncated:
    fields = answer.fields
    if answer.status == 410:
        return Truncated(int(fields["first_available"]), int(fields["end_offset"]))
    records = tuple(b64decode(record) for record in fields["records"])
    return Page(int(fields["first_offset"]), records, int(fields["end_offset"]))
