"""Moves of units that run on endpoints too slow for them.

An urgent unit that can no longer be on time where it runs is restarted elsewhere, and a
unit that saves checkpoints continues elsewhere, where that gains more than it costs. A
moved unit is stopped and then waits for room as any other. Where all endpoints are
equally fast, nothing is moved.
"""

from __future__ import annotations

from collections.abc import Iterable

from .endpoint import Endpoint
from .endpoint_selection import EndpointSelector
from .lifecycle import UnitLifecycle
from .model import UnitKey, UnitPhase
from .pacing import FULL_PERCENT
from .run_time import measured_duration_ms
from .speed_belief import SpeedClass
from .speed_needs import speed_class
from .stop_costs import STOP_MAX_MS
from .task_placement import RunStage
from .unit import Unit

__all__ = ["StragglerMover"]

RESTORE_MS = 250
"""Time to restore a checkpoint, stated by the platform."""
RESTARTED_PERCENT_MAX = 50
"""Mean progress of a unit's tasks up to which it is restarted. It bounds the work that
a restart discards to half of the unit's own, which is less than an urgent unit may have
discarded of others to be on time (``PREEMPTION_LOSS_SHARE``)."""

MOVED_TIME_SHARE_MAX = 2 / 3
"""Time in which a unit must be done elsewhere, stop and restore included, as a share of
the time that it would take where it is. Covers errors of the speeds by a third."""

CHECKPOINT_MOVES_MAX = 2
"""Moves of checkpointing units at a time, so that few of them wait at once if the room
that was found for them is taken."""


class StragglerMover:
    """Moves units from slow endpoints to free room on faster ones.

    Units are evaluated in the plan after a listing of a slow endpoint, and with the
    room that is left when the waiting units are placed.
    """

    def __init__(self, scheduler: UnitLifecycle, selector: EndpointSelector):
        self._scheduler = scheduler
        self._selector = selector
        self._listed_keys: set[UnitKey] = set()
        # Speed of the fastest endpoint that is not slow, in the present plan.
        self._speed_max = 0.0
        # Moves in progress: the run that was stopped, and the endpoints with the room
        # that was found for the next one.
        self._move_by_key: dict[UnitKey, tuple[int, frozenset[str]]] = {}

    def listing_received(self, endpoint: Endpoint) -> None:
        """Note the units on a slow endpoint, whose progress is known anew."""
        if speed_class(endpoint) is not SpeedClass.SLOW:
            return
        for placement in endpoint.placement_by_task.values():
            unit = self._scheduler.unit_by_key.get(placement.unit_key)
            if unit is not None and (unit.priority == 0 or unit.step.is_checkpointing):
                self._listed_keys.add(unit.key)

    def run(self, now_ms: int, wall_ms: int) -> None:
        """Move units listed since the last plan, the most urgent first."""
        if not self._listed_keys:
            return
        keys, self._listed_keys = self._listed_keys, set()
        units = [self._scheduler.unit_by_key.get(key) for key in keys]
        self._forget_ended_moves()
        self._speed_max = max(
            (
                endpoint.speed
                for endpoint in self._selector.usable
                if speed_class(endpoint) is not SpeedClass.SLOW
            ),
            default=0.0,
        )
        movable = [
            unit
            for unit in units
            if unit is not None
            and _may_move(unit)
            and self._scheduler.can_stop_now(unit)
        ]
        for unit in sorted(movable, key=lambda unit: (unit.sort_key, unit.key)):
            try:
                # Its place in the order is that of the plan that placed it. When it
                # waits again it does not starve, and may be above a share.
                unit.starving_from_ms = None
                unit.set_order_key(True, now_ms)
                endpoints = self._find_better_room(unit, now_ms, wall_ms)
                if endpoints is not None:
                    self._move(unit, endpoints, now_ms, wall_ms)
            except Exception as error:
                # Costs this unit its move, and no other unit anything.
                self._scheduler.report_planning_fault(unit, error, now_ms)

    def _forget_ended_moves(self) -> None:
        for key, (run, _) in list(self._move_by_key.items()):
            unit = self._scheduler.unit_by_key.get(key)
            if unit is None or unit.record.run != run:
                del self._move_by_key[key]

    def _find_better_room(
        self, unit: Unit, now_ms: int, wall_ms: int
    ) -> list[Endpoint] | None:
        """Return free room where a unit would gain by a move, or None."""
        work_ms = self._work_to_do_ms(unit)
        if work_ms is None:
            return None
        stop_ms, here_ms = STOP_MAX_MS, unit.remaining_ms(now_ms)
        if unit.step.is_checkpointing:
            stop_ms += RESTORE_MS
            if self._may_move_another_checkpoint():
                limit_ms = MOVED_TIME_SHARE_MAX * here_ms - stop_ms
                endpoints = self._find_room(unit, work_ms, limit_ms, now_ms)
                if endpoints is not None:
                    return endpoints
        time_left_ms = unit.latest_end_wall_ms - wall_ms
        is_hopeless_here = unit.priority == 0 and here_ms > time_left_ms
        if not is_hopeless_here or unit.mean_percent > RESTARTED_PERCENT_MAX:
            return None
        return self._find_room(unit, work_ms, time_left_ms - stop_ms, now_ms)

    def _may_move_another_checkpoint(self) -> bool:
        units = map(self._scheduler.unit_by_key.get, self._move_by_key)
        moving = sum(unit is not None and unit.step.is_checkpointing for unit in units)
        return moving < CHECKPOINT_MOVES_MAX

    def _work_to_do_ms(self, unit: Unit) -> float | None:
        """Return how long a moved unit's longest task would take at usual speed.

        A task that is slow because of its own work is as slow elsewhere, so the work is
        taken from the measured duration and the endpoint's speed, and not from the
        estimate. None where listings show too little progress to measure it.
        """
        longest_ms = 0.0
        for placement in unit.placements:
            duration_ms = measured_duration_ms(placement)
            if duration_ms is None:
                return None
            work_ms = duration_ms * self._endpoint(placement).speed
            if unit.step.is_checkpointing:
                work_ms *= (100 - placement.progress_percent) / 100
            longest_ms = max(longest_ms, work_ms)
        return longest_ms

    def _find_room(
        self, unit: Unit, work_ms: float, limit_ms: float, now_ms: int
    ) -> list[Endpoint] | None:
        """Return free room on endpoints that do the work within a time, or None.

        The speed of a cold endpoint says nothing of how fast it is now.
        """
        if limit_ms <= 0:
            return None
        speed_min = work_ms / limit_ms
        if speed_min > self._speed_max:
            return None
        claimed = {
            endpoint_id for _, ids in self._move_by_key.values() for endpoint_id in ids
        }

        def is_fast_enough(endpoint: Endpoint) -> bool:
            if endpoint.speed < speed_min or endpoint.id in claimed:
                return False
            if endpoint.is_cold(now_ms):
                return False
            return speed_class(endpoint) is not SpeedClass.SLOW

        return self._selector.find_free_room(unit, is_fast_enough)

    def _move(
        self, unit: Unit, endpoints: Iterable[Endpoint], now_ms: int, wall_ms: int
    ) -> None:
        ids = frozenset(endpoint.id for endpoint in endpoints)
        self._move_by_key[unit.key] = unit.record.run, ids
        unit.has_moved = True
        # Otherwise it might start on a slow endpoint again, which others prefer.
        unit.avoided_ids.update(
            endpoint.id
            for endpoint in self._scheduler.endpoint_by_id.values()
            if speed_class(endpoint) is SpeedClass.SLOW
        )
        self._scheduler.move_unit(unit, now_ms, wall_ms)

    def _endpoint(self, placement) -> Endpoint:
        return self._scheduler.endpoint_by_id[placement.endpoint_id]


def _may_move(unit: Unit) -> bool:
    if unit.phase is not UnitPhase.PLACED or unit.has_moved or unit.is_suspect:
        return False
    if unit.step.is_long_running or unit.working_since_ms is None:
        return False
    return all(
        placement.stage is RunStage.RUNNING and placement.pace_percent == FULL_PERCENT
        for placement in unit.placements
    )
