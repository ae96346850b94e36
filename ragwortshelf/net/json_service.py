"""Client for services with JSON requests and responses, shared by the adapters."""

from __future__ import annotations

import json
from dataclasses import dataclass

from ..core.model import Unreachable
from .http_client import HttpClient
from .http_messages import HttpResponse, Malformed, parse_json

__all__ = ["JsonAnswer", "JsonService"]


_NOT_MODIFIED = 304
_REFUSED_STATUSES = frozenset({429, 503})
"""Status codes with which the platform rejects a request without acting on it."""


@dataclass(frozen=True, slots=True)
class JsonAnswer:
    """Status code and JSON object of one response.

    ``etag`` identifies the version that was read; empty if the server sent none.
    """

    status: int
    fields: dict
    etag: str = ""


class JsonService:
    """Client of one server whose requests and responses are JSON objects."""

    def __init__(self, address: str, *, connections: int = 8, timeout_ms: int = 5_000):
        self._client = HttpClient(
            address, connections=connections, timeout_ms=timeout_ms
        )

    async def get(
        self, target: str, *, timeout_ms: int | None = None, known_etag: str = ""
    ) -> JsonAnswer | Unreachable:
        """Send a GET request; status 429, or 500 and above, gives ``Unreachable``.

        If the version is still ``known_etag``, a server that supports conditional
        requests responds with status 304 and no fields.
        """
        headers = (("if-none-match", known_etag),) if known_etag else ()
        return _parse_response(
            await self._client.call(
                "GET", target, headers=headers, timeout_ms=timeout_ms
            )
        )

    async def post(
        self, target: str, fields: dict, *, method: str = "POST"
    ) -> JsonAnswer | Unreachable:
        """Send a request with a JSON body; statuses are treated as in `get`."""
        body = json.dumps(fields, separators=(",", ":")).encode()
        headers = (("content-type", "application/json"),)
        return _parse_response(await self._client.call(method, target, body, headers))

    async def aclose(self) -> None:
        """Close idle connections."""
        await self._client.aclose()


def _parse_response(response: HttpResponse | Unreachable) -> JsonAnswer | Unreachable:
    if isinstance(response, Unreachable):
        return response
    if response.status in _REFUSED_STATUSES:
        return Unreachable(f"status {response.status}", may_have_applied=False)
    if response.status >= 500:
        return Unreachable(f"status {response.status}")
    if response.status == _NOT_MODIFIED:
        return JsonAnswer(response.status, {})
    fields = parse_json(response.body)
    if isinstance(fields, Malformed):
        return Unreachable(fields.detail)
    return JsonAnswer(response.status, fields, response.header("etag"))
