"""The command ``delays``: where the time of late jobs went."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import asdict

from ..delays import DelayReport, JobDelay, analyse_delays
from ..log_lines import read_lines
from ..status import CommandFailure, ExitStatus
from .context import Command, Context

__all__ = ["DELAY_COMMANDS"]

_CAUSE_COLUMNS = ("cause", "jobs", "seconds")
_GROUP_COLUMNS = ("queue", "organisation", "data_centre", "minute", "late", "cause")
_STOP_COLUMNS = ("reason", "runs", "task_seconds", "claimants", "claimants_late")


async def _delays(context: Context):
    paths = context.flags.logs
    if not paths:
        return CommandFailure(
            ExitStatus.USAGE, "no logs to read", "pass --logs=FILE,… of all instances"
        )
    try:
        report = analyse_delays(read_lines(paths))
    except OSError as error:
        return CommandFailure(ExitStatus.USAGE, str(error))
    fields = _fields(report)
    if context.output.as_json:
        context.output.print_result(fields)
        return ExitStatus.SUCCESS
    context.output.print_table(fields, "causes", _CAUSE_COLUMNS)
    context.output.print_table(fields, "groups", _GROUP_COLUMNS)
    context.output.print_table(fields, "stops", _STOP_COLUMNS)
    if report.lines_left_out:
        context.output.print_failure(
            f"{report.lines_left_out} lines were not written, for want of the log's "
            f"budget; {report.unknown_count} jobs have no end in the log"
        )
    if report.unreadable_count:
        context.output.print_failure(
            f"{report.unreadable_count} lines could not be read and were skipped"
        )
    return ExitStatus.SUCCESS


def _fields(report: DelayReport) -> dict:
    return {
        "jobs_by_queue": dict(report.jobs_by_queue),
        "lines_left_out": report.lines_left_out,
        "unknown": report.unknown_count,
        "unreadable": report.unreadable_count,
        "causes": _causes(report.delays),
        "groups": _groups(report.delays),
        "stops": [
            {
                "reason": stop.reason,
                "runs": stop.runs,
                "task_seconds": round(stop.task_ms / 1000),
                "claimants": stop.claimants,
                "claimants_late": stop.claimants_late,
            }
            for stop in report.stops
        ],
        "late": [asdict(delay) for delay in report.delays],
    }


def _causes(delays: Iterable[JobDelay]) -> list[dict]:
    """Return the causes with the late jobs of each, the most frequent first.

    The seconds are those of all late jobs, whatever the main cause of each.
    """
    jobs: dict[str, int] = defaultdict(int)
    spent_ms: dict[str, int] = defaultdict(int)
    for delay in delays:
        jobs[delay.cause] += 1
        for cause, part_ms in delay.ms_by_cause.items():
            spent_ms[cause] += part_ms
    order = sorted(spent_ms, key=lambda cause: (-jobs[cause], -spent_ms[cause]))
    return [
        {"cause": cause, "jobs": jobs[cause], "seconds": round(spent_ms[cause] / 1000)}
        for cause in order
    ]


def _groups(delays: Iterable[JobDelay]) -> list[dict]:
    """Return the late jobs by queue, organisation, data centre, minute and cause."""
    late: dict[tuple, int] = defaultdict(int)
    for delay in delays:
        minute = delay.accepted[:16]
        owner = (delay.queue, delay.organisation, delay.data_centre)
        late[(*owner, minute, delay.cause)] += 1
    return [
        {
            "queue": queue,
            "organisation": organisation,
            "data_centre": data_centre,
            "minute": minute,
            "late": count,
            "cause": cause,
        }
        for (queue, organisation, data_centre, minute, cause), count in sorted(
            late.items(), key=lambda item: (-item[1], item[0])
        )
    ]


DELAY_COMMANDS = (
    Command(
        ("delays",), (), "Say from --logs where the time of late jobs went.", _delays
    ),
)
