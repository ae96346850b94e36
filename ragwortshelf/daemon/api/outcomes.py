"""Responses for ``NotRun`` and ``Unknown``, shared by requests, jobs and releases."""

from __future__ import annotations

from ...core.model import NotRun, Reason, Unknown
from ...net.http_messages import Headers, HttpResponse, json_response

__all__ = ["not_run_response", "unknown_response"]

# HTTP statuses of ``NotRun`` by reason; all other reasons get 503.
_STATUS_BY_REASON = {
    Reason.INVALID: 400,
    Reason.NEVER_FITS: 422,
    Reason.ORGANISATION_UNKNOWN: 403,
    Reason.ORGANISATION_WITHDRAWN: 403,
    Reason.OVER_QUOTA: 429,
    Reason.QUEUE_FULL: 429,
}


def not_run_response(outcome: NotRun) -> HttpResponse:
    """Respond that nothing ran, and after what time a retry may succeed."""
    status = _STATUS_BY_REASON.get(outcome.reason, 503)
    fields = {
        "outcome": "not_run",
        "reason": outcome.reason.value,
        "detail": outcome.detail,
        "retry_after_ms": outcome.retry_after_ms,
    }
    headers = ()
    if outcome.retry_after_ms is not None:
        # The header is in whole seconds, rounded up.
        headers = (("retry-after", str(-(-outcome.retry_after_ms // 1000))),)
    return json_response(status, fields, headers)


def unknown_response(
    outcome: Unknown, headers: Headers = (), **extra_fields: str
) -> HttpResponse:
    """Respond that the action may have run; ``extra_fields`` extend the body."""
    fields = {
        "outcome": "unknown",
        **extra_fields,
        "reason": outcome.reason.value,
        "detail": outcome.detail,
    }
    return json_response(504, fields, headers)
