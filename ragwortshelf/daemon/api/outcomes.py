"""Responses for outcomes that are no answer, shared by requests, jobs and releases."""

from __future__ import annotations

from ...core.model import NotRun, Reason, Unknown
from ...net.http_messages import Headers, HttpResponse, json_response

__all__ = ["not_run_response", "unknown_response"]

# Statuses of requests and jobs that were not run, where 503 does not say enough.
_STATUS_BY_REASON = {
    Reason.INVALID: 400,
    Reason.NEVER_FITS: 422,
    Reason.ORGANISATION_UNKNOWN: 403,
    Reason.ORGANISATION_WITHDRAWN: 403,
    Reason.OVER_QUOTA: 429,
    Reason.QUEUE_FULL: 429,
}


def not_run_response(outcome: NotRun) -> HttpResponse:
    """Say that nothing ran, and when to come back if that can help."""
    status = _STATUS_BY_REASON.get(outcome.reason, 503)
    fields = {
        "outcome": "not_run",
        "reason": outcome.reason.value,
        "detail": outcome.detail,
        "retry_after_ms": outcome.retry_after_ms,
    }
    headers = ()
    if outcome.retry_after_ms is not None:
        # The header counts whole seconds, rounded up.
        headers = (("retry-after", str(-(-outcome.retry_after_ms // 1000))),)
    return json_response(status, fields, headers)


def unknown_response(
    outcome: Unknown, headers: Headers = (), **more: str
) -> HttpResponse:
    """Say that something may have run; ``more`` are further fields."""
    fields = {
        "outcome": "unknown",
        **more,
        "reason": outcome.reason.value,
        "detail": outcome.detail,
    }
    return json_response(504, fields, headers)
