"""The commands of ``organisation``, ``worker`` and ``instance``."""

from __future__ import annotations

from urllib.parse import quote

from ..status import CommandFailure, ExitStatus
from .context import Command, Context, failure_from_reply

__all__ = ["OPERATION_COMMANDS"]


async def _show_table(context: Context, path: str, key: str, columns):
    reply = await context.client.get(path)
    if isinstance(reply, CommandFailure):
        return reply
    context.output.print_table(reply.fields, key, columns)
    return ExitStatus.SUCCESS


async def _organisations(context: Context):
    columns = ("name", "weight", "guarantees", "quota_accelerators", "is_met")
    return await _show_table(context, "/v1/organisations", "organisations", columns)


async def _usage(context: Context, name: str):
    reply = await context.client.get(f"/v1/organisations/{quote(name, safe='')}/usage")
    if isinstance(reply, CommandFailure):
        return reply
    context.output.print_result(reply.fields)
    return ExitStatus.SUCCESS


async def _workers(context: Context):
    columns = ("name", "data_centre", "rack", "accelerators", "free", "state", "detail")
    return await _show_table(context, "/v1/workers", "workers", columns)


async def _quarantine(context: Context, name: str):
    fields = {"quarantined": not context.flags.release}
    path = f"/v1/workers/{quote(name, safe='')}/quarantine"
    reply = await context.client.post(path, fields)
    if isinstance(reply, CommandFailure):
        return reply
    if reply.status != 200:
        return failure_from_reply(reply)
    context.output.print_result(reply.fields)
    return ExitStatus.SUCCESS


async def _instances(context: Context):
    columns = ("name", "data_centre", "state", "is_placer", "is_self", "api_address")
    return await _show_table(context, "/v1/instances", "instances", columns)


OPERATION_COMMANDS = (
    Command(("organisation", "list"), (), "List organisations.", _organisations),
    Command(("organisation", "usage"), ("NAME",), "Show charges.", _usage),
    Command(("worker", "list"), (), "List workers.", _workers),
    Command(
        ("worker", "quarantine"),
        ("NAME",),
        "Take a worker out of use, or back with --release.",
        _quarantine,
    ),
    Command(("instance", "list"), (), "List instances.", _instances),
)
