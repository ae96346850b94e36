"""Complete HTTP messages and the limits on reading them."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import parse_qsl

__all__ = [
    "CloseConnection",
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
    """Limits of an HTTP server, in bytes, milliseconds and open connections.

    ``read_timeout_ms`` bounds the reading of a request's headers, and the time without
    progress while its body is read or a response is sent, both of which also have a
    minimum rate. ``idle_timeout_ms`` bounds the wait for the next request.
    ``held_bytes`` bounds what the requests of all connections occupy together, for
    servers that share no budget with others.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    read_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000
    connections: int = 1024
    held_bytes: int = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request. Header names are in lower case.

    ``connection`` is the server's serial number of the connection that carried it.
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
        """The fields of the query; the last value of a repeated field is used."""
        return dict(parse_qsl(self.target.partition("?")[2]))

    def header(self, name: str, default: str = "") -> str:
        """Return the first header ``name`` (in lower case), or ``default``."""
        return _first_header(self.headers, name, default)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response. Header names are in lower case."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Return the first header ``name`` (in lower case), or ``default``."""
        return _first_header(self.headers, name, default)


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Returned by a handler to close the connection without a complete response.

    ``data`` holds raw bytes to write first, such as the start of a truncated response.
    """

    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Malformed:
    """A body that is not the expected JSON, with the reason in ``detail``."""

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


def _reject_constant(name):
    raise ValueError(f"{name} is not JSON")


def _parse_finite(digits: str) -> float:
    value = float(digits)
    if math.isinf(value):
        raise ValueError(f"{digits:.40} is too large")
    return value


def parse_json(body: bytes) -> dict | Malformed:
    """Parse a JSON object; constants like NaN and numbers too large are refused.

    >>> parse_json(b'{"count": 2}')
    {'count': 2}
    >>> parse_json(b'[1]')
    Malformed(detail='expected a JSON object')
    """
    try:
        value = json.loads(
            body, parse_constant=_reject_constant, parse_float=_parse_finite
        )
    except (ValueError, RecursionError) as error:
        return Malformed(f"body is not JSON: {error}")
    if not isinstance(value, dict):
        return Malformed("expected a JSON object")
    return value


def response_fields(response: HttpResponse) -> dict:
    """Return the JSON object of a response, or an empty one if it has none.

    >>> response_fields(HttpResponse(503))
    {}
    """
    fields = parse_json(response.body)
    return {} if isinstance(fields, Malformed) else fields
