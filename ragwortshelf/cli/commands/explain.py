"""Explanation of one job from log files, for ``ragwortshelf explain ID --logs``."""

from __future__ import annotations

from ..log_lines import read_lines
from ..status import CommandFailure, ExitStatus
from ..timeline import build_timeline
from .context import Context

__all__ = ["explain_from_logs"]


def explain_from_logs(context: Context, job_id: str) -> ExitStatus | CommandFailure:
    """Print the timeline of a job from the files of ``--logs``, ``-`` being stdin."""
    try:
        timeline = build_timeline(job_id, read_lines(context.flags.logs))
    except OSError as error:
        return CommandFailure(ExitStatus.USAGE, str(error))
    if not timeline:
        return CommandFailure(
            ExitStatus.NOT_FOUND,
            f"no log line names {job_id}",
            "pass the logs of all instances that ran at the time",
        )
    rows = [
        {
            "time": entry.time,
            "instance": entry.instance,
            "event": f"({entry.message})" if entry.is_context else entry.message,
            "details": entry.details,
        }
        for entry in timeline
    ]
    columns = ("time", "instance", "event", "details")
    context.output.print_table({"job": job_id, "lines": rows}, "lines", columns)
    return ExitStatus.SUCCESS
