"""Handlers of calls about jobs."""

from __future__ import annotations

import trio

from ...core.jobs import JobEntry
from ...core.model import (
    Adjacency,
    JobSpec,
    NotRun,
    Priority,
    Unknown,
)
from ...net.http_messages import HttpResponse, json_response
from ..clock import wall_ms
from ..field_reader import FieldReader
from .outcomes import not_run_response, unknown_response
from .router import ApiCall, Router, error_response, field_faults_response

__all__ = ["JobApi", "job_fields"]

_ACCELERATORS_MAX = 1_000_000
_TASKS_MAX = 100_000
_DURATION_MAX_MS = 366 * 86_400_000
_MEMORY_MAX_BYTES = 2**60
_COMMAND_MAX_CHARACTERS = 16 * 1024
_WAIT_MAX_MS = 30_000
_ROWS_MAX = 1_000


def job_fields(entry: JobEntry) -> dict:
    """Return the JSON fields that describe a job to callers."""
    spec = entry.spec
    grants = entry.claim.grants if entry.claim and entry.is_open else ()
    return {
        "job_id": spec.job_id,
        "organisation": spec.organisation,
        "phase": entry.phase.value,
        "is_final": entry.phase.is_final,
        "reason": entry.ended.reason.value if entry.ended else None,
        "detail": entry.ended.detail if entry.ended else None,
        "attempt": entry.attempt,
        "home_data_centre": entry.home_data_centre,
        "grants": [
            {"worker": grant.worker, "accelerators": list(grant.accelerators)}
            for grant in grants
        ],
        "accelerators": spec.accelerators,
        "adjacency": spec.adjacency.value,
        "priority": spec.priority.name.lower(),
        "idempotent": spec.is_idempotent,
        "checkpointable": spec.is_checkpointable,
        "is_cancel_requested": entry.is_cancel_requested,
        "checkpoint": entry.checkpoint,
        "submitted_wall_ms": spec.submitted_wall_ms,
        "started_wall_ms": entry.started_wall_ms or None,
        "ended_wall_ms": entry.ended.ended_wall_ms if entry.ended else None,
    }


class JobApi:
    """Submits, shows, explains and cancels jobs through the job gateway."""

    def __init__(self, gateway):
        self._gateway = gateway

    def add_routes(self, router: Router) -> None:
        """Register the handlers of this class."""
        router.add("POST", "/v1/jobs", self._submit)
        router.add("GET", "/v1/jobs", self._list)
        router.add("GET", "/v1/jobs/{job_id}", self._show)
        router.add("DELETE", "/v1/jobs/{job_id}", self._cancel)
        router.add("GET", "/v1/jobs/{job_id}/explanation", self._explain)

    async def _submit(self, call: ApiCall) -> HttpResponse:
        reader = call.fields()
        if isinstance(reader, HttpResponse):
            return reader
        job_key = reader.text("job_key", default="", limit=64)
        spec = _read_spec(call, reader)
        if faults := reader.finish():
            return field_faults_response(faults)
        if not call.principal.may_access(spec.organisation):
            return error_response(403, "forbidden", "this organisation is not yours")
        if job_key and not all(c.isalnum() or c in "-_" for c in job_key):
            return error_response(
                400, "bad_fields", "job_key: use letters, digits, - and _"
            )
        outcome = await self._gateway.submit(spec, job_key)
        if isinstance(outcome, NotRun):
            return not_run_response(outcome)
        if isinstance(outcome, Unknown):
            return unknown_response(outcome)
        return json_response(202, job_fields(outcome))

    async def _list(self, call: ApiCall) -> HttpResponse:
        query = call.request.query
        organisation = query.get("organisation") or call.principal.organisation
        if organisation and not call.principal.may_access(organisation):
            return error_response(403, "forbidden", "this organisation is not yours")
        if not organisation and not call.principal.is_operator:
            return error_response(400, "bad_fields", "organisation: is required")
        limit = _query_integer(query, "limit", 100, _ROWS_MAX)
        if isinstance(limit, HttpResponse):
            return limit
        entries = self._gateway.newest_jobs(organisation, query.get("phase"), limit)
        return json_response(200, {"jobs": [job_fields(entry) for entry in entries]})

    async def _show(self, call: ApiCall) -> HttpResponse:
        wait_ms = _query_integer(call.request.query, "wait_ms", 0, _WAIT_MAX_MS)
        if isinstance(wait_ms, HttpResponse):
            return wait_ms
        entry = await self._find(call)
        if isinstance(entry, HttpResponse):
            return entry
        with trio.move_on_after(wait_ms / 1000):
            await self._gateway.wait_final(entry.spec.job_id)
        # The ledger may forget an ended job while its caller waits.
        newest = self._gateway.get(entry.spec.job_id) or entry
        return json_response(200, job_fields(newest))

    async def _cancel(self, call: ApiCall) -> HttpResponse:
        entry = await self._find(call)
        if isinstance(entry, HttpResponse):
            return entry
        requested_by = call.principal.organisation or "operator"
        outcome = await self._gateway.cancel(entry.spec.job_id, requested_by)
        if isinstance(outcome, NotRun):
            return not_run_response(outcome)
        if isinstance(outcome, Unknown):
            return unknown_response(outcome)
        return json_response(202, job_fields(outcome))

    async def _explain(self, call: ApiCall) -> HttpResponse:
        entry = await self._find(call)
        if isinstance(entry, HttpResponse):
            return entry
        return json_response(200, await self._gateway.explain(entry))

    async def _find(self, call: ApiCall) -> JobEntry | HttpResponse:
        """Return the job named in the path, or 404.

        A job of another organisation also gives 404, so that its id stays hidden.
        """
        job_id = call.path_parameters["job_id"]
        entry = self._gateway.get(job_id)
        if entry is None or not call.principal.may_access(entry.spec.organisation):
            return error_response(404, "no_such_job", job_id)
        return entry


def _read_spec(call: ApiCall, reader: FieldReader) -> JobSpec:
    now_ms = wall_ms()
    deadline_in_ms = reader.integer("deadline_in_ms", 1, _DURATION_MAX_MS, default=None)
    return JobSpec(
        job_id="",
        organisation=reader.text("organisation", default=call.principal.organisation),
        home_data_centre=reader.text("home_data_centre", default="", limit=64),
        accelerators=reader.integer("accelerators", 1, _ACCELERATORS_MAX),
        adjacency=reader.choice("adjacency", Adjacency, default=Adjacency.DATA_CENTRE),
        kind=reader.text("kind", default="default", limit=64),
        priority=reader.choice("priority", Priority, default=Priority.NORMAL),
        is_idempotent=reader.boolean("idempotent", default=False),
        is_checkpointable=reader.boolean("checkpointable", default=False),
        tasks=reader.integer("tasks", 1, _TASKS_MAX, default=1),
        declared_run_ms=reader.integer(
            "declared_run_ms", 0, _DURATION_MAX_MS, default=0
        ),
        declared_memory_bytes=reader.integer(
            "declared_memory_bytes", 0, _MEMORY_MAX_BYTES, default=0
        ),
        submitted_wall_ms=now_ms,
        deadline_wall_ms=None if deadline_in_ms is None else now_ms + deadline_in_ms,
        command=reader.text("command", default="", limit=_COMMAND_MAX_CHARACTERS),
    )


def _query_integer(query, name: str, default: int, high: int) -> int | HttpResponse:
    text = query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdecimal()) or len(text) > 12 or int(text) > high:
        return error_response(400, "bad_fields", f"{name}: must be from 0 to {high}")
    return int(text)
