"""Finds work that waits although most of its service is idle, and says why it waits.

On a busy service work waits for room. On a service of which less than half is in use, a
step that would fit twice should start within moments. If it does not, some other rule
of the scheduler keeps it waiting, and its cause is reported to operators.
"""

from __future__ import annotations

from collections.abc import Iterable

from .actions import ReportIdleWait, WaitCause
from .endpoint import Endpoint
from .endpoint_selection import EndpointSelector
from .idle_services import find_idle_services
from .lifecycle import UnitLifecycle
from .model import UnitPhase
from .start_deadlines import StartDeadlines
from .task_placement import RunStage
from .unit import Unit

__all__ = ["IdleWaitMonitor"]

CHECK_INTERVAL_MS = 500
"""Interval between checks; short compared with the time after which a wait counts."""

REPORT_AFTER_MS = 2_000
"""Wait after which a step is reported. The platform's limit is 3 s."""

REPORT_INTERVAL_MS = 5_000
"""Interval between reports of the same step."""

FITS_MIN = 2
"""How many times a unit must fit into the free room to count as able to run."""

HOLDS_REPORTED_MAX = 5
"""Number of reservations that a report names; those that end last."""

_UNENDED_PHASES = (UnitPhase.WAITING, UnitPhase.PLACED, UnitPhase.ENDING)

_StepKey = tuple[str, int, int]


class IdleWaitMonitor:
    """Notes since when steps wait on an idle service, and by when they are to start.

    Only jobs of which nothing runs count, so that a step whose tasks start one after
    the other is not reported.
    """

    def __init__(
        self,
        scheduler: UnitLifecycle,
        selector: EndpointSelector,
        deadlines: StartDeadlines,
    ):
        self._scheduler = scheduler
        self._selector = selector
        self._deadlines = deadlines
        self._since_ms_by_step: dict[_StepKey, int] = {}
        self._report_due_ms_by_step: dict[_StepKey, int] = {}
        self._next_check_ms = 0

    @property
    def waiting_step_count(self) -> int:
        """Steps that wait on an idle service, at the latest check."""
        return len(self._since_ms_by_step)

    def check(self, now_ms: int) -> list[ReportIdleWait]:
        """Return the steps that are to be reported now; called after each plan."""
        if now_ms < self._next_check_ms:
            return []
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        unit_by_step = self._waiting_on_idle_services()
        self._deadlines.note_waiting(
            {key: unit.waiting_since_ms for key, unit in unit_by_step.items()}, now_ms
        )
        for step_key in self._since_ms_by_step.keys() - unit_by_step.keys():
            del self._since_ms_by_step[step_key]
            self._report_due_ms_by_step.pop(step_key, None)
        reports = []
        for step_key, unit in unit_by_step.items():
            since_ms = self._since_ms_by_step.setdefault(step_key, now_ms)
            due_ms = self._report_due_ms_by_step.get(
                step_key, since_ms + REPORT_AFTER_MS
            )
            if now_ms >= due_ms:
                self._report_due_ms_by_step[step_key] = now_ms + REPORT_INTERVAL_MS
                cause = self._cause(unit, now_ms)
                waited_ms = now_ms - since_ms
                holds = ()
                if cause is WaitCause.RESERVED:
                    holds = self._selector.holds_against(unit)[:HOLDS_REPORTED_MAX]
                reports.append(
                    ReportIdleWait(
                        unit.key,
                        cause,
                        waited_ms,
                        endpoint_ids=self._lost_endpoint_ids(unit),
                        reserved_by=holds,
                        idle_since_ms=self._selector.idle_since_ms(unit),
                    )
                )
        return reports

    def _waiting_on_idle_services(self) -> dict[_StepKey, Unit]:
        """Return one unit of each step that nothing but the scheduler keeps waiting."""
        if not self._scheduler.unit_by_key:
            return {}
        idle_services = find_idle_services(self._scheduler.endpoint_by_id.values())
        if not idle_services:
            return {}
        unit_by_step: dict[_StepKey, Unit] = {}
        running_job_ids = set()
        for unit in self._scheduler.unit_by_key.values():
            if not unit.job.is_active:
                continue
            if self._is_running(unit):
                running_job_ids.add(unit.key.job_id)
            elif unit.phase in _UNENDED_PHASES:
                unit_by_step.setdefault(unit.key[:3], unit)
        return {
            step_key: unit
            for step_key, unit in unit_by_step.items()
            if step_key[0] not in running_job_ids
            and _fits(unit, idle_services.get(self._scheduler.service_of(unit), ()))
        }

    def _is_running(self, unit: Unit) -> bool:
        is_started = any(p.stage is RunStage.RUNNING for p in unit.placements)
        is_placed = unit.phase is UnitPhase.PLACED
        return is_placed and is_started and self._is_in_contact(unit)

    def _is_in_contact(self, unit: Unit) -> bool:
        endpoint_by_id = self._scheduler.endpoint_by_id
        return any(
            endpoint_by_id[placement.endpoint_id].is_reachable
            for placement in unit.placements
        )

    def _lost_endpoint_ids(self, unit: Unit) -> tuple[str, ...]:
        endpoint_by_id = self._scheduler.endpoint_by_id
        ids = dict.fromkeys(placement.endpoint_id for placement in unit.placements)
        return tuple(id_ for id_ in ids if not endpoint_by_id[id_].is_reachable)

    def _cause(self, unit: Unit, now_ms: int) -> WaitCause:
        if unit.phase is not UnitPhase.WAITING:
            if not self._is_in_contact(unit):
                return WaitCause.OUT_OF_CONTACT
            is_stopping = any(
                placement.stage is RunStage.STOPPING for placement in unit.placements
            )
            return WaitCause.STOPPING if is_stopping else WaitCause.STARTING
        if unit.not_before_ms > now_ms:
            return WaitCause.DELAYED
        usable_count = len(self._selector.usable)
        if not self._scheduler.crashes.may_start_now(unit, usable_count, now_ms):
            return WaitCause.CRASH_SUSPECTED
        return self._selector.misfit_cause(unit)


def _fits(unit: Unit, endpoints: Iterable[Endpoint]) -> bool:
    """Whether a unit fits into the free room often enough."""
    label = unit.step.required_label
    wanted = FITS_MIN * unit.count
    slots = 0
    for endpoint in endpoints:
        if not label or label in endpoint.info.labels:
            slots += endpoint.slots(unit.step.occupied)
            if slots >= wanted:
                return True
    return False
