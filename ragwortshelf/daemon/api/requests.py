"""Handlers of calls that forward requests to the endpoints."""

from __future__ import annotations

from base64 import b64decode, b64encode
from binascii import Error as Base64Error

from ...core.model import (
    Answered,
    NotRun,
    Priority,
    Request,
    RequestClass,
    RequestOutcome,
    Unknown,
)
from ...net.http_messages import HttpResponse, json_response
from ..clock import monotonic_ms
from ..field_reader import FieldReader
from .outcomes import not_run_response, unknown_response
from .router import ApiCall, Router, error_response, field_faults_response

__all__ = ["RequestApi"]

_IDS_MAX = 1000
_DEADLINE_MAX_MS = 24 * 3600 * 1000
_DEFAULT_DEADLINE_MS = 30_000
_BODY_MAX_CHARACTERS = 2**30


class RequestApi:
    """Reserves request ids and submits requests to ``service``."""

    def __init__(self, service):
        self._service = service

    def add_routes(self, router: Router) -> None:
        """Register the handlers of this class."""
        router.add("POST", "/v1/request-ids", self._reserve)
        router.add("POST", "/v1/requests", self._submit)

    async def _reserve(self, call: ApiCall) -> HttpResponse:
        reader = call.fields()
        if isinstance(reader, HttpResponse):
            return reader
        count = reader.integer("count", 1, _IDS_MAX, default=1)
        if faults := reader.finish():
            return field_faults_response(faults)
        return json_response(200, {"request_ids": self._service.reserve_ids(count)})

    async def _submit(self, call: ApiCall) -> HttpResponse:
        reader = call.fields()
        if isinstance(reader, HttpResponse):
            return reader
        request = self._read_request(call, reader)
        if isinstance(request, HttpResponse):
            return request
        if not call.principal.may_access(request.organisation):
            return error_response(403, "forbidden", "this organisation is not yours")
        outcome = await self._service.submit(request)
        return _outcome_response(request.request_id, outcome)

    def _read_request(
        self, call: ApiCall, reader: FieldReader
    ) -> Request | HttpResponse:
        now_ms = monotonic_ms()
        request_id = reader.text("request_id", default="")
        timeout_ms = reader.integer(
            "timeout_ms", 1, _DEADLINE_MAX_MS, default=_DEFAULT_DEADLINE_MS
        )
        headers = reader.mapping("headers", default={})
        body = reader.text("body", default="", limit=_BODY_MAX_CHARACTERS)
        body_base64 = reader.text("body_base64", default="", limit=_BODY_MAX_CHARACTERS)
        fields = {
            "organisation": reader.text(
                "organisation", default=call.principal.organisation
            ),
            "is_idempotent": reader.boolean("idempotent", default=False),
            "priority": reader.choice("priority", Priority, default=Priority.NORMAL),
            "request_class": reader.choice(
                "class", RequestClass, default=RequestClass.ORDINARY
            ),
            "method": reader.text("method", default="POST", limit=16),
            "path": reader.text("path", default="/", limit=2048),
        }
        if faults := reader.finish():
            return field_faults_response(faults)
        if detail := _head_fault(headers, fields["method"], fields["path"]):
            return error_response(400, "bad_fields", detail)
        try:
            content = b64decode(body_base64, validate=True) or body.encode()
        except (Base64Error, ValueError):
            return error_response(400, "bad_fields", "body_base64: is not base64")
        return Request(
            request_id=request_id or self._service.reserve_ids(1)[0],
            deadline_ms=now_ms + timeout_ms,
            headers=tuple((name.lower(), value) for name, value in headers.items()),
            body=content,
            **fields,
        )


def _head_fault(headers: dict, method: str, path: str) -> str:
    """Return what is invalid in the head of the forwarded request; empty if valid."""
    if not (method.isascii() and method.isalpha()):
        return "method: must be letters"
    if not path.startswith("/") or not _is_printable(path) or " " in path:
        return "path: must start with / and be printable, without spaces"
    for name, value in headers.items():
        if not isinstance(value, str) or not _is_printable(value):
            return f"headers.{name}: must be printable text"
        if not name or not all(c.isascii() and (c.isalnum() or c == "-") for c in name):
            return "headers: names are letters, digits and -"
    return ""


def _is_printable(text: str) -> bool:
    return text.isascii() and text.isprintable()


def _outcome_response(request_id: str, outcome: RequestOutcome) -> HttpResponse:
    if isinstance(outcome, NotRun):
        response = not_run_response(outcome)
        headers = (*response.headers, ("x-request-id", request_id))
        return HttpResponse(response.status, headers, response.body)
    headers = (("x-request-id", request_id),)
    if isinstance(outcome, Unknown):
        return unknown_response(outcome, headers, request_id=request_id)
    return json_response(200, _answered_fields(request_id, outcome), headers)


def _answered_fields(request_id: str, outcome: Answered) -> dict:
    fields = {
        "outcome": "answered",
        "request_id": request_id,
        "status": outcome.status,
        "headers": dict(outcome.headers),
    }
    try:
        fields["body"] = outcome.body.decode()
    except UnicodeDecodeError:
        fields["body_base64"] = b64encode(outcome.body).decode()
    return fields
