"""Handlers of calls about release notes and the configuration in force."""

from __future__ import annotations

from ...core.model import NotRun, Reason, Unknown, Unreachable
from ...core.releases import (
    Accepted,
    Conflict,
    Duplicate,
    Fault,
    RefusalReason,
    Refused,
    ReleaseNote,
    Verdict,
    configuration_to_json,
    entry_to_json,
    fold,
    note_to_json,
    parse_note,
    verdict_to_json,
)
from ...core.streams import ReleaseSubmitted
from ...net.http_messages import HttpResponse, json_response
from ..clock import wall_ms
from ..streams_releases import submit_release
from .outcomes import not_run_response, unknown_response
from .router import ApiCall, Router, error_response, field_faults_response

__all__ = ["ReleaseApi"]

_NOTE_MAX_CHARACTERS = 512 * 1024
_VERDICT_TIMEOUT_MS = 20_000


class ReleaseApi:
    """Checks, applies and lists release notes, and shows the configuration.

    ``node`` provides the release fold, the streams and the instances' revisions.
    """

    def __init__(self, node):
        self._node = node

    def add_routes(self, router: Router) -> None:
        """Register the handlers of this class."""
        router.add("POST", "/v1/release-checks", self._check, operators_only=True)
        router.add("POST", "/v1/releases", self._apply, operators_only=True)
        router.add("GET", "/v1/releases", self._history, operators_only=True)
        router.add("GET", "/v1/releases/status", self._status, operators_only=True)
        router.add("GET", "/v1/configuration", self._configuration, operators_only=True)

    async def _check(self, call: ApiCall) -> HttpResponse:
        note = _read_note(call)
        if isinstance(note, HttpResponse):
            return note
        state = self._node.releases.state
        _, verdict = fold(state, state.next_offset, _record(note))
        return _verdict_response(verdict)

    async def _apply(self, call: ApiCall) -> HttpResponse:
        note = _read_note(call)
        if isinstance(note, HttpResponse):
            return note
        verdict = await submit_release(
            self._node.streams,
            self._node.releases,
            note,
            deadline_ms=self._node.deadline_ms(_VERDICT_TIMEOUT_MS),
        )
        if isinstance(verdict, NotRun):
            return not_run_response(verdict)
        if isinstance(verdict, Unreachable):
            return _note_unknown_response(note, verdict.detail)
        return _verdict_response(verdict)

    async def _history(self, call: ApiCall) -> HttpResponse:
        notes = [entry_to_json(entry) for entry in self._node.releases.state.history]
        return json_response(200, {"notes": notes})

    async def _status(self, call: ApiCall) -> HttpResponse:
        return json_response(200, {"instances": self._node.revision_rows()})

    async def _configuration(self, call: ApiCall) -> HttpResponse:
        return json_response(
            200, configuration_to_json(self._node.releases.configuration)
        )


def _read_note(call: ApiCall) -> ReleaseNote | HttpResponse:
    reader = call.fields()
    if isinstance(reader, HttpResponse):
        return reader
    text = reader.text("note", limit=_NOTE_MAX_CHARACTERS)
    format_name = reader.text("format", default="toml", limit=8)
    if faults := reader.finish():
        return field_faults_response(faults)
    if format_name not in ("toml", "json"):
        return error_response(400, "bad_fields", "format: must be toml or json")
    note = parse_note(text, format_name)
    if isinstance(note, ReleaseNote):
        return note
    return _verdict_response(Refused(RefusalReason.INVALID, faults=note))


def _record(note: ReleaseNote) -> ReleaseSubmitted:
    return ReleaseSubmitted(note.note_id, note.author, note_to_json(note), wall_ms())


def _verdict_response(verdict: Verdict) -> HttpResponse:
    fields = verdict_to_json(verdict)
    if isinstance(verdict, Accepted | Duplicate):
        return json_response(200, fields)
    if isinstance(verdict, Refused):
        fields["detail"] = _format_refusal(verdict)
        return json_response(409 if verdict.conflicts else 422, fields)
    return json_response(503, fields)


def _format_refusal(refused: Refused) -> str:
    return "; ".join(
        [_format_fault(fault) for fault in refused.faults]
        + [_format_conflict(conflict) for conflict in refused.conflicts]
    )


def _format_fault(fault: Fault) -> str:
    return f"{fault.path}: {fault.detail}" if fault.path else fault.detail


def _format_conflict(conflict: Conflict) -> str:
    return (
        f"{conflict.object} was changed by {conflict.author} in {conflict.note_id} "
        f"at revision {conflict.revision}"
    )


def _note_unknown_response(note: ReleaseNote, detail: str) -> HttpResponse:
    detail = f"{detail}; apply {note.note_id} again, which is one change"
    return unknown_response(Unknown(Reason.NO_ANSWER, detail))
