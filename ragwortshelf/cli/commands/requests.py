"""The command ``request send``."""

from __future__ import annotations

import sys

from ..status import CommandFailure, ExitStatus
from .context import Command, Context, failure_from_reply

__all__ = ["REQUEST_COMMANDS"]


async def _send(context: Context, path: str):
    values = context.flags
    fields = {
        "request_id": values.request_id,
        "organisation": values.organisation,
        "idempotent": values.idempotent,
        "priority": values.priority,
        "class": getattr(values, "class"),
        "timeout_ms": values.timeout_ms,
        "method": values.method,
        "path": path,
        "body": sys.stdin.read() if values.body == "-" else values.body,
        "headers": dict(header.split("=", 1) for header in values.header),
    }
    fields = {key: value for key, value in fields.items() if value is not None}
    reply = await context.client.post("/v1/requests", fields)
    if isinstance(reply, CommandFailure):
        return reply
    if reply.fields.get("outcome") != "answered":
        return failure_from_reply(reply)
    context.output.print_result(reply.fields)
    return ExitStatus.SUCCESS


REQUEST_COMMANDS = (
    Command(("request", "send"), ("PATH",), "Send a request to an endpoint.", _send),
)
