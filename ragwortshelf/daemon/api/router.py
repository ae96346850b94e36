"""Routing of HTTP calls to their handlers, by method and path."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import unquote

from ...net.http_messages import (
    HttpRequest,
    HttpResponse,
    Malformed,
    json_response,
    parse_json,
)
from ..authentication import Authenticator, Principal
from ..field_reader import FieldFault, FieldReader

__all__ = ["ApiCall", "ApiHandler", "Router", "error_response", "field_faults_response"]


@dataclass(frozen=True, slots=True)
class ApiCall:
    """An HTTP call with its principal and the parameters in its path."""

    request: HttpRequest
    principal: Principal
    path_parameters: dict[str, str]

    def fields(self) -> FieldReader | HttpResponse:
        """Return a reader of the JSON body, or an error response if it is malformed."""
        fields = parse_json(self.request.body or b"{}")
        if isinstance(fields, Malformed):
            return error_response(400, "bad_json", fields.detail)
        return FieldReader(fields)


ApiHandler = Callable[[ApiCall], Awaitable[HttpResponse]]


def error_response(status: int, code: str, detail: str, **extra_fields) -> HttpResponse:
    """Build an error response with a stable ``code`` and a ``detail`` for people."""
    return json_response(status, {"error": code, "detail": detail, **extra_fields})


def field_faults_response(faults: tuple[FieldFault, ...]) -> HttpResponse:
    """Build the error response for a body with invalid fields, listing all faults."""
    rows = [{"field": fault.field, "detail": fault.detail} for fault in faults]
    detail = "; ".join(f"{fault.field}: {fault.detail}" for fault in faults)
    return error_response(400, "bad_fields", detail, faults=rows)


@dataclass(frozen=True, slots=True)
class _Route:
    method: str
    segments: tuple[str, ...]
    handler: ApiHandler
    is_for_operators: bool
    is_public: bool


class Router:
    """Authenticates calls and routes them by patterns such as ``/v1/jobs/{job_id}``."""

    def __init__(self, authenticator: Authenticator):
        self._authenticator = authenticator
        self._routes: list[_Route] = []

    def add(
        self,
        method: str,
        pattern: str,
        handler: ApiHandler,
        *,
        operators_only: bool = False,
        is_public: bool = False,
    ) -> None:
        """Add a route; calls to a public one need no token."""
        segments = tuple(pattern.split("/"))
        route = _Route(method, segments, handler, operators_only, is_public)
        self._routes.append(route)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response of the matching handler, or an error response."""
        segments = tuple(request.path.split("/"))
        matches = [
            (route, path_parameters)
            for route in self._routes
            if (path_parameters := _match(route.segments, segments)) is not None
        ]
        if not matches:
            return error_response(404, "no_such_path", request.path)
        for route, path_parameters in matches:
            if route.method == request.method:
                return await self._call(route, path_parameters, request)
        allowed = ", ".join(sorted({route.method for route, _ in matches}))
        refusal = error_response(405, "method_not_allowed", f"use {allowed}")
        return HttpResponse(405, (*refusal.headers, ("allow", allowed)), refusal.body)

    async def _call(self, route: _Route, path_parameters, request) -> HttpResponse:
        principal = self._authenticator.identify(request)
        if principal is None and route.is_public:
            principal = Principal(is_operator=False)
        if principal is None:
            return error_response(401, "unauthorised", "send a known bearer token")
        if route.is_for_operators and not principal.is_operator:
            return error_response(403, "forbidden", "only operators may do this")
        return await route.handler(ApiCall(request, principal, path_parameters))


def _match(pattern: tuple[str, ...], segments: tuple[str, ...]):
    if len(pattern) != len(segments):
        return None
    path_parameters = {}
    for expected, segment in zip(pattern, segments, strict=True):
        if expected.startswith("{"):
            if not segment:
                return None
            path_parameters[expected[1:-1]] = unquote(segment)
        elif expected != segment:
            return None
    return path_parameters
