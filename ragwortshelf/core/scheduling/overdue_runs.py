"""Finds runs that take far longer than expected, and says what is known of them.

A step waits for all runs of the steps before it. The logs show when a run was started
and when its end was applied; in between, only a report of the run tells whether it is
slow, makes no progress, is missing from the listings or is out of contact.
"""

from __future__ import annotations

from .actions import ReportOverdueRun
from .endpoint import Endpoint
from .lifecycle import UnitLifecycle
from .model import UnitPhase
from .run_time import remaining_ms
from .task_placement import TaskPlacement
from .unit import Unit

__all__ = ["OverdueRunMonitor"]

CHECK_INTERVAL_MS = 500
"""Interval between checks."""

ESTIMATE_FACTOR = 3
"""A run is overdue after so many times its estimate. Estimates of the supported loads
are off by up to that."""

OVERDUE_MIN_MS = 2_000
"""No run is overdue before that: a restart of an endpoint takes about as long."""

REPORTS_MAX = 8
"""Reports per check. The others follow with the next ones."""

_RunKey = tuple[str, int]


class OverdueRunMonitor:
    """Reports each overdue run, and again each time its age has doubled.

    Long-running tasks and those without an estimate are never overdue. The age of a run
    that an earlier term started counts from the begin of this one.
    """

    def __init__(self, scheduler: UnitLifecycle):
        self._scheduler = scheduler
        self._report_due_ms_by_run: dict[_RunKey, int] = {}
        self._next_check_ms = 0

    @property
    def overdue_count(self) -> int:
        """Overdue runs at the latest check."""
        return len(self._report_due_ms_by_run)

    def check(self, now_ms: int) -> list[ReportOverdueRun]:
        """Return the runs that are to be reported now; called after each plan."""
        if now_ms < self._next_check_ms:
            return []
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        overdue_by_run = self._overdue_runs(now_ms)
        self._report_due_ms_by_run = {
            run: self._report_due_ms_by_run.get(run, now_ms) for run in overdue_by_run
        }
        due = [run for run, ms in self._report_due_ms_by_run.items() if now_ms >= ms]
        due.sort(key=self._report_due_ms_by_run.__getitem__)
        reports = []
        for run in due[:REPORTS_MAX]:
            unit, placement = overdue_by_run[run]
            report = self._report(unit, placement, now_ms)
            self._report_due_ms_by_run[run] = now_ms + report.age_ms
            reports.append(report)
        return reports

    def _overdue_runs(self, now_ms: int) -> dict[_RunKey, tuple[Unit, TaskPlacement]]:
        return {
            (placement.task, placement.run): (unit, placement)
            for unit in self._scheduler.unit_by_key.values()
            if unit.phase is UnitPhase.PLACED and _has_expected_end(unit)
            for placement in unit.placements
            if now_ms - placement.ordered_ms >= _overdue_after_ms(unit)
        }

    def _report(
        self, unit: Unit, placement: TaskPlacement, now_ms: int
    ) -> ReportOverdueRun:
        endpoint = self._scheduler.endpoint_by_id[placement.endpoint_id]
        listed_ms = endpoint.listed_ms
        return ReportOverdueRun(
            endpoint_id=endpoint.id,
            task=placement.task,
            run=placement.run,
            stage=placement.stage,
            age_ms=now_ms - placement.ordered_ms,
            estimate_ms=unit.estimate_ms,
            is_resumed=bool(unit.record.checkpoint),
            is_reachable=endpoint.is_reachable,
            is_listed=_is_listed(placement, endpoint),
            listing_age_ms=None if listed_ms is None else now_ms - listed_ms,
            progress_percent=placement.progress_percent,
            without_progress_ms=placement.without_progress_ms,
            remaining_ms=round(remaining_ms(placement, unit.estimate_ms, now_ms)),
        )


def _has_expected_end(unit: Unit) -> bool:
    return unit.estimate_ms > 0 and not unit.step.is_long_running


def _overdue_after_ms(unit: Unit) -> int:
    return max(OVERDUE_MIN_MS, ESTIMATE_FACTOR * unit.estimate_ms)


def _is_listed(placement: TaskPlacement, endpoint: Endpoint) -> bool:
    """Whether the endpoint's latest listing of this term shows a run as running."""
    return placement.confirmed_ms is not None and (
        placement.listed_ms == endpoint.listed_ms
    )
