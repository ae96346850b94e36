"""Whole HTTP messages and the limits within which they are read."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import parse_qsl

__all__ = [
    "Hangup",
    "Headers",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "Malformed",
    "json_response",
    "parse_json",
    "response_fields",
]

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds on what one connection may cost."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    read_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000
    connections: int = 1024


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One whole request. Header names are in lower case.

    ``connection`` is the server's serial number of the connection that it came on.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    connection: int = 0

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> Mapping[str, str]:
        """The query's fields; of a repeated field the last one counts."""
        return dict(parse_qsl(self.target.partition("?")[2]))

    def header(self, name: str, default: str = "") -> str:
        """Return the first header ``name`` (in lower case), or ``default``."""
        return _first_header(self.headers, name, default)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """One whole response. Header names are in lower case."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Return the first header ``name`` (in lower case), or ``default``."""
        return _first_header(self.headers, name, default)


@dataclass(frozen=True, slots=True)
class Hangup:
    """A handler's wish to close the connection without a response.

    ``after`` holds raw bytes that are written first, to cut off an answer.
    """

    after: bytes = b""


@dataclass(frozen=True, slots=True)
class Malformed:
    """A body that is not the JSON that was asked for."""

    detail: str


def _first_header(headers: Headers, name: str, default: str) -> str:
    for key, value in headers:
        if key == name:
            return value
    return default


def json_response(status: int, value, headers: Headers = ()) -> HttpResponse:
    """Build a response with a JSON body."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return HttpResponse(status, (*headers, ("content-type", "application/json")), body)


def _refuse_constant(name):
    raise ValueError(f"{name} is not JSON")


def parse_json(body: bytes) -> dict | Malformed:
    """Parse a JSON object, refusing everything that standard JSON does not have.

    >>> parse_json(b'{"count": 2}')
    {'count': 2}
    >>> parse_json(b'[1]')
    Malformed(detail='expected a JSON object')
    """
    try:
        value = json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        return Malformed(f"body is not JSON: {error}")
    if not isinstance(value, dict):
        return Malformed("expected a JSON object")
    return value


def response_fields(response: HttpResponse) -> dict:
    """Return the JSON object of a response, empty where there is none to be read.

    >>> response_fields(HttpResponse(503))
    {}
    """
    fields = parse_json(response.body)
    return {} if isinstance(fields, Malformed) else fields
