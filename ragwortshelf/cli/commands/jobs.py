"""The commands ``job submit|status|cancel|wait|list`` and ``explain``."""

from __future__ import annotations

import time
from urllib.parse import quote, urlencode

from ..status import CommandFailure, ExitStatus
from .context import Command, Context, failure_from_reply
from .explain import explain_from_logs

__all__ = ["JOB_COMMANDS"]

_POLL_WAIT_MS = 2_000
_COLUMNS = (
    "job_id",
    "organisation",
    "phase",
    "reason",
    "detail",
    "attempt",
    "home_data_centre",
    "grants",
)


def _job_fields(values) -> dict:
    fields = {
        "organisation": values.organisation,
        "accelerators": values.accelerators,
        "adjacency": values.adjacency,
        "kind": values.kind,
        "priority": values.priority,
        "idempotent": values.idempotent,
        "checkpointable": values.checkpointable,
        "tasks": values.tasks,
        "declared_run_ms": values.declared_run_ms,
        "declared_memory_bytes": values.declared_memory_bytes,
        "command": values.command,
        "job_key": values.job_key,
        "home_data_centre": values.home_data_centre,
        "deadline_in_ms": values.deadline_in_ms,
    }
    return {key: value for key, value in fields.items() if value is not None}


async def _submit(context: Context):
    reply = await context.client.post("/v1/jobs", _job_fields(context.flags))
    if isinstance(reply, CommandFailure):
        return reply
    if reply.status != 202:
        return failure_from_reply(reply)
    context.output.print_result(reply.fields)
    return ExitStatus.SUCCESS


async def _status(context: Context, job_id: str):
    reply = await context.client.get(f"/v1/jobs/{quote(job_id, safe='')}")
    if isinstance(reply, CommandFailure):
        return reply
    context.output.print_result(reply.fields, _COLUMNS)
    return ExitStatus.SUCCESS


async def _cancel(context: Context, job_id: str):
    reply = await context.client.delete(f"/v1/jobs/{quote(job_id, safe='')}")
    if isinstance(reply, CommandFailure):
        return reply
    if reply.status >= 300:
        return failure_from_reply(reply)
    context.output.print_result(reply.fields, _COLUMNS)
    return ExitStatus.SUCCESS


async def _wait(context: Context, job_id: str):
    deadline_s = time.monotonic() + context.flags.timeout_ms / 1000
    path = f"/v1/jobs/{quote(job_id, safe='')}?wait_ms={_POLL_WAIT_MS}"
    while True:
        reply = await context.client.get(path)
        if isinstance(reply, CommandFailure):
            return reply
        fields = reply.fields
        if fields["is_final"]:
            context.output.end_progress()
            context.output.print_result(fields, _COLUMNS)
            return _final_status(fields)
        remaining_s = deadline_s - time.monotonic()
        if remaining_s <= 0:
            return CommandFailure(
                ExitStatus.STILL_WAITING,
                f"{job_id} is still {fields['phase']}",
                f"ragwortshelf explain {job_id}",
            )
        context.output.show_progress(
            f"{job_id}: {fields['phase']}, {remaining_s:.0f} s left"
        )


def _final_status(fields: dict) -> ExitStatus | CommandFailure:
    if fields["phase"] == "completed" and fields["reason"] == "task_succeeded":
        return ExitStatus.SUCCESS
    detail = f"{fields['job_id']} is {fields['phase']}: {fields['reason']}"
    return CommandFailure(ExitStatus.REFUSED, detail)


async def _list(context: Context):
    query = {"limit": context.flags.limit}
    if context.flags.organisation:
        query["organisation"] = context.flags.organisation
    reply = await context.client.get(f"/v1/jobs?{urlencode(query)}")
    if isinstance(reply, CommandFailure):
        return reply
    columns = ("job_id", "organisation", "phase", "reason", "accelerators")
    context.output.print_table(reply.fields, "jobs", columns)
    return ExitStatus.SUCCESS


async def _explain(context: Context, job_id: str):
    if context.flags.logs:
        return explain_from_logs(context, job_id)
    reply = await context.client.get(f"/v1/jobs/{quote(job_id, safe='')}/explanation")
    if isinstance(reply, CommandFailure):
        return reply
    context.output.print_result(reply.fields)
    return ExitStatus.SUCCESS


JOB_COMMANDS = (
    Command(("job", "submit"), (), "Submit a job.", _submit),
    Command(("job", "status"), ("JOB",), "Show a job.", _status),
    Command(("job", "cancel"), ("JOB",), "Cancel a job.", _cancel),
    Command(("job", "wait"), ("JOB",), "Wait for a job's outcome.", _wait),
    Command(("job", "list"), (), "List jobs, the newest first.", _list),
    Command(("explain",), ("JOB",), "Say why a job waits or where it is.", _explain),
)
