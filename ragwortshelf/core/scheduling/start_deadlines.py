"""Deadlines by which work that could run on an idle service is to start."""

from __future__ import annotations

from collections.abc import Mapping

from .idle_services import IDLE_WAIT_MAX_MS, IdleServices
from .model import GANG
from .unit import Unit

__all__ = ["StartDeadlines"]

INTERRUPTION_MAX_MS = 1_000
"""Time for which the wait of a step may be interrupted, by a service that is not idle
for a moment or by a start that is refused, before it begins anew."""

NEXT_TASK_DELAY_MS = 500
"""Delay between the tasks of one step that start because their step is overdue; the
first is confirmed within it, and is then enough."""

_StepKey = tuple[str, int, int]


class StartDeadlines:
    """One deadline for each step that waits on an idle service.

    A unit may wait for room on one rack, then for room that is reserved for others, and
    then again as the service is not idle for a moment. Each of these waits has an end
    of its own. The deadline bounds them together, from when the step was first seen
    waiting: an overdue unit waits for no rack, and only exclusive reservations, which
    are short, keep it out of free room.

    ``note_waiting`` is called at intervals with the steps that could run, of jobs of
    which nothing runs. A successor does not know when its predecessor first saw a step
    waiting. Deadlines that begin soon after its own first call therefore count from
    when the step began to wait.
    """

    def __init__(self, idle_services: IdleServices):
        self._idle_services = idle_services
        self._due_ms_by_step: dict[_StepKey, int] = {}
        self._forget_ms_by_step: dict[_StepKey, int] = {}
        self._adopts_until_ms: int | None = None
        self._now_ms = 0

    def begin(self, now_ms: int) -> None:
        """Start a plan, after that of the idle services."""
        self._now_ms = now_ms

    def note_waiting(
        self, waiting_since_ms_by_step: Mapping[_StepKey, int], now_ms: int
    ) -> None:
        """Replace the steps that wait; deadlines outlast short interruptions."""
        if self._adopts_until_ms is None:
            self._adopts_until_ms = now_ms + IDLE_WAIT_MAX_MS
        forget_ms = now_ms + INTERRUPTION_MAX_MS
        for step_key, waiting_since_ms in waiting_since_ms_by_step.items():
            since_ms = now_ms
            if now_ms < self._adopts_until_ms:
                since_ms = min(now_ms, waiting_since_ms)
            self._due_ms_by_step.setdefault(step_key, since_ms + IDLE_WAIT_MAX_MS)
            self._forget_ms_by_step[step_key] = forget_ms
        for step_key, end_ms in list(self._forget_ms_by_step.items()):
            if now_ms >= end_ms:
                del self._forget_ms_by_step[step_key]
                del self._due_ms_by_step[step_key]

    def is_overdue(self, unit: Unit, service: str) -> bool:
        """Whether a unit is to start now, if there is free room for it anywhere."""
        due_ms = self._due_ms_by_step.get(unit.key[:3])
        if due_ms is None or self._now_ms < due_ms:
            return False
        if self._now_ms - unit.waiting_since_ms < IDLE_WAIT_MAX_MS:
            # It has run for a moment.
            return False
        return self._idle_services.since_ms(service) is not None

    def unit_placed(self, unit: Unit) -> None:
        """Note that a unit has been placed, so the others of its step may wait."""
        step_key = unit.key[:3]
        due_ms = self._due_ms_by_step.get(step_key)
        if due_ms is not None and unit.key.member != GANG:
            next_ms = self._now_ms + NEXT_TASK_DELAY_MS
            self._due_ms_by_step[step_key] = max(due_ms, next_ms)
