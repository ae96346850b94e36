"""Calls to a service that speaks JSON, shared by the adapters of the platform."""

from __future__ import annotations

import json
from dataclasses import dataclass

from ..core.model import Unreachable
from .http_client import HttpClient
from .http_messages import HttpResponse, Malformed, parse_json

__all__ = ["JsonAnswer", "JsonService"]


_NOT_MODIFIED = 304
_REFUSALS = frozenset({429, 503})
"""Statuses by which the platform says that it did not act."""


@dataclass(frozen=True, slots=True)
class JsonAnswer:
    """Status and JSON object of one answer.

    ``etag`` names the version that was read, if the server said it.
    """

    status: int
    fields: dict
    etag: str = ""


class JsonService:
    """One server whose requests and answers are JSON objects."""

    def __init__(self, address: str, *, connections: int = 8, timeout_ms: int = 5_000):
        self._client = HttpClient(
            address, connections=connections, timeout_ms=timeout_ms
        )

    async def get(
        self, target: str, *, timeout_ms: int | None = None, known_etag: str = ""
    ) -> JsonAnswer | Unreachable:
        """Read; an answer with a status of 500 or more is ``Unreachable``.

        If the version is still ``known_etag``, a server that knows conditional
        requests answers status 304 and no fields.
        """
        headers = (("if-none-match", known_etag),) if known_etag else ()
        return _parsed(
            await self._client.call(
                "GET", target, headers=headers, timeout_ms=timeout_ms
            )
        )

    async def post(
        self, target: str, fields: dict, *, method: str = "POST"
    ) -> JsonAnswer | Unreachable:
        """Write; the same holds for the status."""
        body = json.dumps(fields, separators=(",", ":")).encode()
        headers = (("content-type", "application/json"),)
        return _parsed(await self._client.call(method, target, body, headers))

    async def aclose(self) -> None:
        """Close idle connections."""
        await self._client.aclose()


def _parsed(response: HttpResponse | Unreachable) -> JsonAnswer | Unreachable:
    if isinstance(response, Unreachable):
        return response
    if response.status in _REFUSALS:
        return Unreachable(f"status {response.status}", may_have_applied=False)
    if response.status >= 500:
        return Unreachable(f"status {response.status}")
    if response.status == _NOT_MODIFIED:
        return JsonAnswer(response.status, {})
    fields = parse_json(response.body)
    if isinstance(fields, Malformed):
        return Unreachable(fields.detail)
    return JsonAnswer(response.status, fields, response.header("etag"))
