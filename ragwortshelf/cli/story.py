"""Puts together the story of one job from the log lines of all instances."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

__all__ = ["StoryLine", "tell"]

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
"""Changes of an instance's beliefs that bear on every job."""

ENDPOINT_MESSAGES = frozenset(
    {
        "endpoint_excluded",
        "endpoint_lapsed",
        "endpoint_lost",
        "endpoint_regained",
        "endpoint_unlisted",
    }
)

_HIDDEN_FIELDS = frozenset({"time", "instance", "message", "level", "job"})


@dataclass(frozen=True, slots=True)
class StoryLine:
    """One line of the story; ``is_context`` where it does not name the job."""

    time: str
    instance: str
    message: str
    details: str
    is_context: bool


def tell(job_id: str, lines: Iterable[str]) -> list[StoryLine]:
    """Return what the lines say of a job, and what else changed meanwhile, by time.

    Text before the first brace of a line is passed over, so that lines from a
    collector may keep its prefix. Lines that are no JSON objects are left out.
    """
    records = sorted(_parse(lines), key=lambda record: str(record.get("time", "")))
    own = [record for record in records if _names(record, job_id)]
    if not own:
        return []
    first, last = own[0].get("time", ""), own[-1].get("time", "")
    endpoints = set(_endpoints(own))
    story = []
    for record in records:
        is_own = _names(record, job_id)
        is_between = first <= record.get("time", "") <= last
        if is_own or (is_between and _is_context(record, endpoints)):
            story.append(_line(record, not is_own))
    return story


def _parse(lines: Iterable[str]) -> Iterator[Mapping]:
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(record, dict) and "message" in record:
            yield record


def _names(record: Mapping, job_id: str) -> bool:
    if str(record.get("job", "")).endswith(job_id):
        return True
    name = record.get("task") or record.get("step") or ""
    return str(name).startswith(f"{job_id}.")


def _endpoints(records: Iterable[Mapping]) -> Iterator[str]:
    for record in records:
        if record.get("endpoint"):
            yield record["endpoint"]
        yield from record.get("endpoints") or ()


def _is_context(record: Mapping, endpoints: set[str]) -> bool:
    message = record["message"]
    if message in ENDPOINT_MESSAGES:
        return record.get("endpoint") in endpoints
    return message in CONTEXT_MESSAGES


def _line(record: Mapping, is_context: bool) -> StoryLine:
    details = " ".join(
        f"{key}={_value(value)}"
        for key, value in record.items()
        if key not in _HIDDEN_FIELDS and value is not None
    )
    return StoryLine(
        str(record.get("time", "")),
        str(record.get("instance", "")),
        record["message"],
        details,
        is_context,
    )


def _value(value) -> str:
    if isinstance(value, list):
        return ",".join(str(item) for item in value) or "-"
    return str(value)
