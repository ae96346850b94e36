"""What log lines say of each job, indexed for an analysis of the whole log."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime

from .log_lines import parse_lines

__all__ = ["GANG_MEMBER", "JobLog", "JobTrace", "UnitTrace"]

GANG_MEMBER = "-1"
"""Member in the name of a unit that is a whole gang."""

_MESSAGES = frozenset(
    {
        "call",
        "speed_learned",
        "start",
        "started",
        "stop",
        "stopped",
        "term_started",
        "unit",
    }
)


@dataclass(slots=True)
class UnitTrace:
    """What the log says of one unit; ``events`` are pairs of time and record."""

    events: list[tuple[int, Mapping]] = field(default_factory=list)
    started_ms_by_run: dict[int, int] = field(default_factory=dict)

    @property
    def first_placement(self) -> tuple[int, Mapping] | None:
        """When it was first placed, with the record; None before that."""
        return next((e for e in self.events if e[1]["phase"] == "placed"), None)

    @property
    def phase(self) -> str:
        """The phase that was logged last."""
        return self.events[-1][1]["phase"] if self.events else ""

    @property
    def done_ms(self) -> int | None:
        """When it was shown as done, the wait for the log included; None if never."""
        if self.phase != "done":
            return None
        at_ms, record = self.events[-1]
        return at_ms + (record.get("waited_ms") or 0)


class JobTrace:
    """What the log says of one job, with its units by name."""

    def __init__(self) -> None:
        self.first_call_ms: int | None = None
        self.accepted_ms: int | None = None
        self.acceptance: Mapping = {}
        self.is_cancelled = False
        self.unit_by_name: dict[str, UnitTrace] = defaultdict(UnitTrace)
        # Times at which stops for the job were ordered.
        self.claimed_ms: list[int] = []


class JobLog:
    """Everything in the lines that the analysis needs, indexed.

    Lines of a known message that lack a field, or have one of another type, count as
    ``unreadable_count``.
    """

    def __init__(self, lines: Iterable[str]):
        self.trace_by_job: dict[str, JobTrace] = defaultdict(JobTrace)
        self.data_centre_by_instance: dict[str, str] = {}
        self.reason_by_run: dict[tuple[str, int], str] = {}
        self.stops: list[tuple[int, Mapping]] = []
        self.started_ms_by_run: dict[tuple[str, int], int] = {}
        self.speeds_by_endpoint: dict[str, list[tuple[int, float]]] = defaultdict(list)
        self.gaps_ms: list[tuple[int, int]] = []
        self.end_ms = 0
        self.lines_left_out = 0
        self.unreadable_count = 0
        self._last_decision_ms: int | None = None
        records = [
            (_time_ms(record), record)
            for record in parse_lines(lines)
            if record["message"] in _MESSAGES and "time" in record
        ]
        records.sort(key=lambda record: record[0])
        for at_ms, record in records:
            self.end_ms = at_ms
            try:
                self.lines_left_out += record.get("left_out") or 0
                getattr(self, f"_add_{record['message']}")(at_ms, record)
            except (AttributeError, KeyError, TypeError, ValueError):
                self.unreadable_count += 1

    def _add_started(self, at_ms: int, record: Mapping) -> None:
        data_centre = record.get("data_centre") or ""
        self.data_centre_by_instance[record.get("instance", "")] = data_centre

    def _add_call(self, at_ms: int, record: Mapping) -> None:
        job = record.get("job") or ""
        if record.get("call") == "DELETE" and record.get("outcome") == "accepted":
            self.trace_by_job[job].is_cancelled = True
        if record.get("call") != "POST":
            return
        trace = self.trace_by_job[job]
        if trace.first_call_ms is None:
            trace.first_call_ms = at_ms - (record.get("took_ms") or 0)
        if record.get("outcome") == "accepted" and trace.accepted_ms is None:
            trace.accepted_ms = at_ms
            trace.acceptance = record

    def _add_unit(self, at_ms: int, record: Mapping) -> None:
        # The line is written once the log takes the decision.
        self._last_decision_ms = at_ms
        decided_ms = at_ms - (record.get("waited_ms") or 0)
        unit = self.trace_by_job[record["job"]].unit_by_name[record["unit"]]
        unit.events.append((decided_ms, record))

    def _add_start(self, at_ms: int, record: Mapping) -> None:
        if record.get("outcome") != "started":
            return
        self.started_ms_by_run[record["task"], record["run"]] = at_ms
        job, _, rest = record["task"].partition(".")
        occurrence, step, index = rest.split(".")
        units = self.trace_by_job[job].unit_by_name
        gang = f"{occurrence}/{step}/{GANG_MEMBER}"
        name = gang if gang in units else f"{occurrence}/{step}/{index}"
        units[name].started_ms_by_run[record["run"]] = at_ms

    def _add_stop(self, at_ms: int, record: Mapping) -> None:
        run = record["task"], record["run"]
        if run in self.reason_by_run:
            return
        self.reason_by_run[run] = record.get("reason") or ""
        self.stops.append((at_ms, record))
        if record.get("claimant"):
            self.trace_by_job[record["claimant"]].claimed_ms.append(at_ms)

    def _add_speed_learned(self, at_ms: int, record: Mapping) -> None:
        self.speeds_by_endpoint[record["endpoint"]].append((at_ms, record["speed"]))

    def _add_stopped(self, at_ms: int, record: Mapping) -> None:
        """An instance that stops says nothing of a job; it may end the log."""

    def _add_term_started(self, at_ms: int, record: Mapping) -> None:
        # A scheduler that is cut off logs the end of its term long after its successor
        # has started, so the span begins with the last decision that the log took.
        if self._last_decision_ms is not None:
            self.gaps_ms.append((self._last_decision_ms, at_ms))

    def speed(self, endpoint: str, at_ms: int) -> float:
        """Return the speed that was known of an endpoint by a time."""
        speed = 1.0
        for known_ms, value in self.speeds_by_endpoint.get(endpoint, ()):
            if known_ms <= at_ms:
                speed = value
        return speed

    def gap_ms(self, begin_ms: int, end_ms: int) -> int:
        """Return how much of a span had no scheduler."""
        return sum(
            max(0, min(end_ms, gap_end) - max(begin_ms, gap_begin))
            for gap_begin, gap_end in self.gaps_ms
        )


def _time_ms(record: Mapping) -> int:
    try:
        return round(1000 * datetime.fromisoformat(record["time"]).timestamp())
    except (TypeError, ValueError):
        return 0
