"""The commands ``release check|apply|status|history``."""

from __future__ import annotations

from pathlib import Path

from ..status import CommandFailure, ExitStatus
from .context import Command, Context, failure_from_reply

__all__ = ["RELEASE_COMMANDS"]


def _read_note(path: str) -> dict | CommandFailure:
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        return CommandFailure(ExitStatus.USAGE, f"{path}: {error}")
    note_format = "json" if path.endswith(".json") else "toml"
    return {"note": text, "format": note_format}


async def _check(context: Context, path: str):
    return await _submit_note(context, path, "/v1/release-checks")


async def _apply(context: Context, path: str):
    return await _submit_note(context, path, "/v1/releases")


async def _submit_note(context: Context, path: str, api_path: str):
    fields = _read_note(path)
    if isinstance(fields, CommandFailure):
        return fields
    reply = await context.client.post(api_path, fields)
    if isinstance(reply, CommandFailure):
        return reply
    context.output.print_result(reply.fields)
    if reply.fields.get("verdict") in ("accepted", "duplicate"):
        return ExitStatus.SUCCESS
    return failure_from_reply(reply)


async def _status(context: Context):
    reply = await context.client.get("/v1/releases/status")
    if isinstance(reply, CommandFailure):
        return reply
    columns = ("instance", "data_centre", "revision", "age_ms", "is_reachable")
    context.output.print_table(reply.fields, "instances", columns)
    return ExitStatus.SUCCESS


async def _history(context: Context):
    reply = await context.client.get("/v1/releases")
    if isinstance(reply, CommandFailure):
        return reply
    columns = ("offset", "note_id", "author", "verdict", "purpose")
    context.output.print_table(reply.fields, "notes", columns)
    return ExitStatus.SUCCESS


RELEASE_COMMANDS = (
    Command(("release", "check"), ("FILE",), "Check a note without applying.", _check),
    Command(("release", "apply"), ("FILE",), "Apply a release note.", _apply),
    Command(("release", "status"), (), "Show each instance's revision.", _status),
    Command(("release", "history"), (), "List notes with their verdicts.", _history),
)
