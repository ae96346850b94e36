"""Where the time of accepted jobs went, from the log lines of all instances.

A job's deadline is computed from its work, as its last run showed it: the time on an
endpoint of usual speed, times the slack factor of its queue. Estimates are often wrong
by half, so the scheduler's own deadlines do not tell which callers were served late.
The time of a late job is that of its unit that ended last, divided at its placements
and the ends of its runs. One part of it is its work; each other part has a cause.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import pairwise

from .job_traces import GANG_MEMBER, JobLog, JobTrace, UnitTrace

__all__ = ["DelayReport", "JobDelay", "StopReason", "analyse_delays"]

ACCEPTANCE = "before acceptance"
NO_SCHEDULER = "no scheduler"
ROOM = "waiting for room"
STOP = "waiting for a stop"
LOG = "waiting for the log"
ORDER = "waiting for the order"
SLOW_ENDPOINT = "slow endpoint"
WORK = "work"
FAILURE = "run again: failed"
STOPPED = "stopped: "


@dataclass(frozen=True, slots=True)
class JobDelay:
    """A job that was done after its deadline, or not at all.

    ``took_ms`` is the time from its first submission to its end, or to the end of the
    log. ``late_ms`` is how much of it lies after the deadline. ``ms_by_cause`` divides
    the time of its last unit, and ``cause`` is the largest part that was not its work.
    """

    job: str
    queue: str
    organisation: str
    data_centre: str
    accepted: str
    is_done: bool
    took_ms: int
    late_ms: int
    cause: str
    ms_by_cause: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class StopReason:
    """Runs that were stopped for one reason, and what came of it.

    ``task_ms`` is how long the stopped runs had been running. ``claimants`` are the
    jobs that got the room, of which ``claimants_late`` were late all the same.
    """

    reason: str
    runs: int
    task_ms: int
    claimants: int
    claimants_late: int


@dataclass(frozen=True, slots=True)
class DelayReport:
    """Delays of all jobs that were accepted, ordered by their acceptance.

    ``lines_left_out`` lines were not written for want of the log's budget. Some of
    them may have told the end of one of the ``unknown_count`` jobs whose last unit was
    placed and has no end in the log; these are not among the delays.
    ``unreadable_count`` lines lacked a field.
    """

    jobs_by_queue: Mapping[str, int]
    delays: tuple[JobDelay, ...]
    stops: tuple[StopReason, ...]
    lines_left_out: int = 0
    unknown_count: int = 0
    unreadable_count: int = 0


def analyse_delays(lines: Iterable[str]) -> DelayReport:
    """Return where the time of late jobs went, and what stopped runs cost.

    Jobs that were cancelled, and jobs of which no unit was placed, have no deadline in
    the log and are left out.

    >>> analyse_delays([]).delays
    ()
    """
    log = JobLog(lines)
    jobs_by_queue: dict[str, int] = defaultdict(int)
    delays = []
    unknown_count = 0
    for job, trace in log.trace_by_job.items():
        if trace.accepted_ms is None or trace.is_cancelled:
            continue
        jobs_by_queue[trace.acceptance.get("queue") or ""] += 1
        if log.lines_left_out and _last_unit(log, trace).phase == "placed":
            unknown_count += 1
            continue
        delay = _delay(log, job, trace)
        if delay is not None:
            delays.append(delay)
    delays.sort(key=lambda delay: (delay.accepted, delay.job))
    late_jobs = {delay.job for delay in delays}
    return DelayReport(
        dict(jobs_by_queue),
        tuple(delays),
        _stops(log, late_jobs),
        log.lines_left_out,
        unknown_count,
        log.unreadable_count,
    )


def _last_unit(log: JobLog, trace: JobTrace) -> UnitTrace:
    """Return the unit of a job that ended last, or has not ended by the log's end."""
    units = [unit for unit in trace.unit_by_name.values() if unit.first_placement]
    return max(units, key=lambda unit: unit.done_ms or log.end_ms, default=UnitTrace())


def _delay(log: JobLog, job: str, trace: JobTrace) -> JobDelay | None:
    units = {n: u for n, u in trace.unit_by_name.items() if u.first_placement}
    if not units or any(unit.phase == "failed" for unit in units.values()):
        return None
    name = max(units, key=lambda name: (units[name].done_ms or log.end_ms, name))
    unit = units[name]
    ended_ms = unit.done_ms or log.end_ms
    ms_by_cause: dict[str, int] = defaultdict(int)
    if trace.accepted_ms > trace.first_call_ms:
        ms_by_cause[ACCEPTANCE] = trace.accepted_ms - trace.first_call_ms
    for cause, spent_ms in _unit_parts(log, job, trace, name, ended_ms):
        ms_by_cause[cause] += spent_ms
    late_ms = ended_ms - _deadline_ms(trace, unit, ms_by_cause)
    if late_ms <= 0:
        return None
    causes = {cause: ms for cause, ms in ms_by_cause.items() if cause != WORK}
    instance = trace.acceptance.get("instance", "")
    return JobDelay(
        job,
        trace.acceptance.get("queue") or "",
        trace.acceptance.get("organisation") or "",
        log.data_centre_by_instance.get(instance, ""),
        trace.acceptance["time"],
        unit.done_ms is not None,
        ended_ms - trace.first_call_ms,
        late_ms,
        max(causes, key=causes.get) if causes else WORK,
        dict(ms_by_cause),
    )


def _deadline_ms(
    trace: JobTrace, unit: UnitTrace, ms_by_cause: Mapping[str, int]
) -> int:
    """Return when a job had to be done, by the work of its last unit.

    Runs that failed count as work, since the caller's task caused most of them. The
    work of earlier steps is not known here: the scheduler's objective is scaled by how
    wrong the estimate of this one was.
    """
    placed_ms, record = unit.first_placement
    latency_ms = trace.acceptance.get("target_latency_ms") or 0
    estimate_ms = record.get("estimate_ms") or 0
    latest_end_ms = placed_ms + (record["slack_ms"] or 0) + estimate_ms
    objective_ms = max(0, latest_end_ms - trace.accepted_ms - latency_ms)
    work_ms = ms_by_cause.get(WORK, 0)
    if any(cause.startswith(STOPPED) for cause in ms_by_cause):
        # The last run may have resumed from a checkpoint and done only the rest.
        work_ms = max(work_ms, estimate_ms)
    if unit.done_ms is None or not estimate_ms or not work_ms:
        return latest_end_ms
    failed_ms = ms_by_cause.get(FAILURE, 0)
    objective_ms *= (work_ms + failed_ms) / estimate_ms
    return round(trace.first_call_ms + latency_ms + objective_ms)


def _unit_parts(
    log: JobLog, job: str, trace: JobTrace, name: str, ended_ms: int
) -> Iterator[tuple[str, int]]:
    """Yield the parts of a unit's time, each with its cause."""
    unit = trace.unit_by_name[name]
    events = list(unit.events)
    if unit.done_ms is None:
        events.append((ended_ms, {"phase": "end"}))
    else:
        yield LOG, ended_ms - events[-1][0]
    # A step that depends on others begins when these are done, which is not logged.
    waiting_ms = trace.accepted_ms if not _follows_others(name) else None
    for (at_ms, record), (next_ms, following) in pairwise(events):
        if record["phase"] == "placed":
            if waiting_ms is not None:
                yield from _wait_parts(log, trace, waiting_ms, at_ms)
            yield from _run_parts(log, job, name, unit, at_ms, record, next_ms)
            waiting_ms = next_ms
        elif following["phase"] == "end" and waiting_ms is not None:
            # Never placed again. A run may have several ends in the log.
            yield ROOM, max(0, next_ms - waiting_ms)


def _follows_others(name: str) -> bool:
    occurrence, step, _ = name.split("/")
    return occurrence != "0" or step != "0"


def _wait_parts(
    log: JobLog, trace: JobTrace, begin_ms: int, end_ms: int
) -> Iterator[tuple[str, int]]:
    gap_ms = log.gap_ms(begin_ms, end_ms)
    if gap_ms:
        yield NO_SCHEDULER, gap_ms
    claims = [ms for ms in trace.claimed_ms if begin_ms <= ms <= end_ms]
    stop_ms = end_ms - claims[-1] - log.gap_ms(claims[-1], end_ms) if claims else 0
    if stop_ms > 0:
        yield STOP, stop_ms
    room_ms = end_ms - begin_ms - gap_ms - stop_ms
    if room_ms > 0:
        yield ROOM, room_ms


def _run_parts(
    log: JobLog,
    job: str,
    name: str,
    unit: UnitTrace,
    placed_ms: int,
    record: Mapping,
    ended_ms: int,
) -> Iterator[tuple[str, int]]:
    started_ms = unit.started_ms_by_run.get(record["run"], ended_ms)
    started_ms = min(max(started_ms, placed_ms), ended_ms)
    end = next((r for ms, r in unit.events if ms == ended_ms and r is not record), None)
    if end is None or end["phase"] != "done":
        reason = _end_reason(log, job, name, record["run"], end)
        yield reason, ended_ms - placed_ms
        return
    log_ms = min(record.get("waited_ms") or 0, started_ms - placed_ms)
    yield LOG, log_ms
    yield ORDER, started_ms - placed_ms - log_ms
    took_ms = ended_ms - started_ms
    speeds = [log.speed(e, ended_ms) for e in record.get("endpoints") or () if e]
    work_ms = round(took_ms * min(1.0, *speeds))
    yield WORK, work_ms
    yield SLOW_ENDPOINT, took_ms - work_ms


def _end_reason(log: JobLog, job: str, name: str, run: int, end: Mapping | None) -> str:
    """Return why a run ended that was not done: the stop's reason, or the end's."""
    occurrence, step, member = name.split("/")
    prefix = f"{job}.{occurrence}.{step}."
    if member == GANG_MEMBER:
        reasons = (
            log.reason_by_run.get((f"{prefix}{index}", run))
            for index in range(len((end or {}).get("endpoints") or ()) or 1)
        )
        reason = next(filter(None, reasons), None)
    else:
        reason = log.reason_by_run.get((f"{prefix}{member}", run))
    if end is None:
        return f"still running: {reason}" if reason else "still running"
    ended = end.get("reason") or end["phase"]
    if ended in ("stopped", "lapsed") and reason:
        return f"{STOPPED}{reason}"
    return f"run again: {ended}"


def _stops(log: JobLog, late_jobs: set[str]) -> tuple[StopReason, ...]:
    runs: dict[str, int] = defaultdict(int)
    task_ms: dict[str, int] = defaultdict(int)
    claimants: dict[str, set[str]] = defaultdict(set)
    for at_ms, record in log.stops:
        reason = record.get("reason") or ""
        started_ms = log.started_ms_by_run.get((record["task"], record["run"]))
        runs[reason] += 1
        task_ms[reason] += max(0, at_ms - started_ms) if started_ms is not None else 0
        if record.get("claimant"):
            claimants[reason].add(record["claimant"])
    return tuple(
        StopReason(
            reason,
            runs[reason],
            task_ms[reason],
            len(claimants[reason]),
            len(claimants[reason] & late_jobs),
        )
        for reason in sorted(runs, key=task_ms.get, reverse=True)
    )
