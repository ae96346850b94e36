"""Client of the HTTP API of the instances."""

from __future__ import annotations

import json
from dataclasses import dataclass

from ..core.model import Unreachable
from ..net.http_client import HttpClient
from ..net.http_messages import Malformed, parse_json
from .status import CommandFailure, ExitStatus

__all__ = ["ApiClient", "Reply"]


_TIMEOUT_MS = 70_000
_EXIT_STATUS_BY_HTTP_STATUS = {
    400: ExitStatus.USAGE,
    401: ExitStatus.DENIED,
    403: ExitStatus.DENIED,
    404: ExitStatus.NOT_FOUND,
}
_NEXT_STEP_BY_HTTP_STATUS = {
    401: "pass --token or set RAGWORTSHELF_TOKEN",
    403: "use an operator's token or your own organisation",
    404: "check the name with the matching list command",
}


@dataclass(frozen=True, slots=True)
class Reply:
    """HTTP status and JSON object of an instance's response."""

    status: int
    fields: dict


class ApiClient:
    """Sends each call to the first instance that can be reached.

    A write that may have reached an instance is not sent to another one.
    """

    def __init__(self, servers: tuple[str, ...], token: str, organisation: str):
        self._servers = servers
        self._headers = [("content-type", "application/json")]
        if token:
            self._headers.append(("authorization", f"Bearer {token}"))
        if organisation:
            self._headers.append(("x-organisation", organisation))

    async def get(self, path: str) -> Reply | CommandFailure:
        """Send a GET request."""
        return await self._call("GET", path, None)

    async def post(self, path: str, fields: dict) -> Reply | CommandFailure:
        """Send a POST request with a JSON object as its body."""
        return await self._call("POST", path, fields)

    async def delete(self, path: str) -> Reply | CommandFailure:
        """Send a DELETE request."""
        return await self._call("DELETE", path, None)

    async def _call(self, method: str, path: str, fields: dict | None):
        body = b"" if fields is None else json.dumps(fields).encode()
        details = []
        for server in self._servers:
            client = HttpClient(server, timeout_ms=_TIMEOUT_MS)
            answer = await client.call(method, path, body, tuple(self._headers))
            await client.aclose()
            if not isinstance(answer, Unreachable):
                return _parse_reply(answer)
            details.append(answer.detail)
            if answer.may_have_applied and method != "GET":
                return CommandFailure(
                    ExitStatus.UNKNOWN_OUTCOME,
                    f"no answer from {answer.detail}",
                    "the call may have taken effect; look at its status first",
                )
        return CommandFailure(
            ExitStatus.UNREACHABLE,
            f"no instance can be reached: {'; '.join(details)}",
            "check --servers or RAGWORTSHELF_SERVERS",
        )


def _parse_reply(answer) -> Reply | CommandFailure:
    fields = parse_json(answer.body)
    if isinstance(fields, Malformed):
        fields = {"detail": answer.body.decode(errors="replace")}
    if answer.status in _EXIT_STATUS_BY_HTTP_STATUS and "outcome" not in fields:
        return CommandFailure(
            _EXIT_STATUS_BY_HTTP_STATUS[answer.status],
            f"{fields.get('error', answer.status)}: {fields.get('detail', '')}",
            _NEXT_STEP_BY_HTTP_STATUS.get(answer.status, ""),
        )
    return Reply(answer.status, fields)
