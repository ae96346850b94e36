"""Timeline of one job, assembled from the log lines of all instances."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from .log_lines import parse_lines

__all__ = ["TimelineEntry", "build_timeline"]

CONTEXT_MESSAGES = frozenset(
    {
        "term_started",
        "term_ended",
        "job_log_lost",
        "job_log_regained",
        "operator_log_lost",
        "operator_log_regained",
        "configuration_in_force",
        "started",
        "signal",
        "stopped",
    }
)
"""Messages about the state of an instance, which may affect every job."""

ENDPOINT_MESSAGES = frozenset(
    {
        "endpoint_excluded",
        "endpoint_lapsed",
        "endpoint_lost",
        "endpoint_regained",
        "endpoint_unlisted",
    }
)
"""Messages about one endpoint, which may affect the jobs that use it."""

_HIDDEN_FIELDS = frozenset({"time", "instance", "message", "level", "job"})


@dataclass(frozen=True, slots=True)
class TimelineEntry:
    """One log line of a timeline.

    ``is_context`` is set if the line does not name the job but reports something that
    may have affected it.
    """

    time: str
    instance: str
    message: str
    details: str
    is_context: bool


def build_timeline(job_id: str, lines: Iterable[str]) -> list[TimelineEntry]:
    """Return the log lines about a job and those that may have affected it, by time.

    The latter are included only between the first and the last line about the job.
    """
    records = sorted(parse_lines(lines), key=lambda record: str(record.get("time", "")))
    job_records = [record for record in records if _is_about_job(record, job_id)]
    if not job_records:
        return []
    first, last = job_records[0].get("time", ""), job_records[-1].get("time", "")
    endpoints = set(_endpoints_of(job_records))
    timeline = []
    for record in records:
        is_about_job = _is_about_job(record, job_id)
        is_within_span = first <= record.get("time", "") <= last
        if is_about_job or (is_within_span and _is_context(record, endpoints)):
            timeline.append(_timeline_entry(record, not is_about_job))
    return list(_fold(timeline))


def _fold(timeline: Iterable[TimelineEntry]) -> Iterator[TimelineEntry]:
    """Merge equal lines of several instances that follow each other into one.

    A change of the configuration or an outage of the log is reported by every instance.
    """
    entries: list[TimelineEntry] = []
    for entry in timeline:
        if entries and not _are_alike(entries[0], entry):
            yield _merge(entries)
            entries = []
        entries.append(entry)
    if entries:
        yield _merge(entries)


def _are_alike(first: TimelineEntry, other: TimelineEntry) -> bool:
    return (
        first.is_context
        and other.is_context
        and (first.message, first.details) == (other.message, other.details)
    )


def _merge(entries: list[TimelineEntry]) -> TimelineEntry:
    """Return the first entry, with the number of instances that reported it."""
    instances = {entry.instance for entry in entries}
    if len(instances) == 1:
        return entries[0]
    return replace(entries[0], instance=f"{len(instances)} instances")


def _is_about_job(record: Mapping, job_id: str) -> bool:
    if str(record.get("job", "")).endswith(job_id):
        return True
    name = record.get("task") or record.get("step") or ""
    return str(name).startswith(f"{job_id}.")


def _endpoints_of(records: Iterable[Mapping]) -> Iterator[str]:
    for record in records:
        if record.get("endpoint"):
            yield record["endpoint"]
        yield from record.get("endpoints") or ()


def _is_context(record: Mapping, endpoints: set[str]) -> bool:
    message = record["message"]
    if message in ENDPOINT_MESSAGES:
        return record.get("endpoint") in endpoints
    return message in CONTEXT_MESSAGES


def _timeline_entry(record: Mapping, is_context: bool) -> TimelineEntry:
    details = " ".join(
        f"{key}={_format_value(value)}"
        for key, value in record.items()
        if key not in _HIDDEN_FIELDS and value is not None
    )
    return TimelineEntry(
        str(record.get("time", "")),
        str(record.get("instance", "")),
        record["message"],
        details,
        is_context,
    )


def _format_value(value) -> str:
    if isinstance(value, list):
        return ",".join(str(item) for item in value) or "-"
    return str(value)
