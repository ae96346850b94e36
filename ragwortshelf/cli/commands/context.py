"""Types and helpers shared by all commands."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from absl import flags

from ..client import ApiClient, Reply
from ..output import Output
from ..status import CommandFailure, ExitStatus

__all__ = ["Command", "Context", "failure_from_reply"]


@dataclass(frozen=True, slots=True)
class Context:
    """The client, the output and the parsed flags, which every command receives."""

    client: ApiClient
    output: Output
    flags: flags.FlagValues


@dataclass(frozen=True, slots=True)
class Command:
    """One command: the words of its name, its arguments, its help and its function."""

    words: tuple[str, ...]
    arguments: tuple[str, ...]
    help: str
    run: Callable[..., Awaitable[ExitStatus | CommandFailure]]


def failure_from_reply(reply: Reply) -> CommandFailure:
    """Return the failure to report for a call that was refused or has no outcome."""
    fields = reply.fields
    reason = fields.get("reason") or fields.get("error") or str(reply.status)
    detail = f"{fields.get('outcome', 'refused')}: {reason}"
    if fields.get("detail"):
        detail += f": {fields['detail']}"
    next_step = ""
    if fields.get("retry_after_ms") is not None:
        next_step = f"try again in {fields['retry_after_ms']} ms"
    status = ExitStatus.REFUSED
    if fields.get("outcome") == "unknown":
        status = ExitStatus.UNKNOWN_OUTCOME
        next_step = "it may have run; ask again only with the same request id"
    return CommandFailure(status, detail, next_step)
