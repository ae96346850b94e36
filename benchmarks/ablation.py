"""Mechanisms of the scheduler that can be switched off in a process, one by one.

``switch_off`` replaces the entry point of a mechanism by one that does nothing. It is
meant for experiments alone, so the product has no settings for it. `fleet_load` takes
``--without NAME``. For a day on the users' platform, play a copy of the repository
whose ``platform/main.py`` calls ``switch_off`` before it starts the instance.

The rules that some mechanisms keep are not kept without them.
"""

from __future__ import annotations

from collections.abc import Callable

from ragwortshelf.core.scheduling import (
    endpoint_selection,
    endpoint_tracking,
    packing,
    stalls,
)
from ragwortshelf.core.scheduling.calibration import EstimateCalibration
from ragwortshelf.core.scheduling.endpoint import Endpoint
from ragwortshelf.core.scheduling.endpoint_selection import EndpointSelector
from ragwortshelf.core.scheduling.fast_room import FastRoomMaker
from ragwortshelf.core.scheduling.planning import Planner
from ragwortshelf.core.scheduling.reclaiming import GuaranteeReclaimer
from ragwortshelf.core.scheduling.room_reserving import RoomReserver
from ragwortshelf.core.scheduling.scheduler import Scheduler
from ragwortshelf.core.scheduling.share_accounts import ShareAccounts
from ragwortshelf.core.scheduling.speed_belief import SpeedClass
from ragwortshelf.core.scheduling.speed_records import SpeedRecorder
from ragwortshelf.core.scheduling.stop_costs import StopCosts
from ragwortshelf.core.scheduling.stragglers import StragglerMover
from ragwortshelf.core.scheduling.suspicion import SuspicionTracker
from ragwortshelf.core.scheduling.unit import Unit

__all__ = ["MECHANISMS", "switch_off"]


def _constant(value) -> Callable:
    return lambda *_, **__: value


def _replace(owner, **replacements) -> Callable[[], None]:
    def switch() -> None:
        for name, replacement in replacements.items():
            if not hasattr(owner, name):
                raise AttributeError(f"{owner} has no {name}")
            setattr(owner, name, replacement)

    return switch


def _both(*switches: Callable[[], None]) -> Callable[[], None]:
    def switch() -> None:
        for each in switches:
            each()

    return switch


_ANY_SPEED = (frozenset(SpeedClass),)

MECHANISMS: dict[str, Callable[[], None]] = {
    "calibration": _replace(
        EstimateCalibration, expected_ms=lambda self, queue, estimate_ms: estimate_ms
    ),
    "fair_shares": _replace(ShareAccounts, compute=_constant(None)),
    "reclaim": _replace(GuaranteeReclaimer, make_room=_constant(False)),
    "guaranteed_first": _replace(Unit, set_guaranteed_order_key=_constant(None)),
    "reservations": _replace(RoomReserver, make_room=_constant(False)),
    "preemption": _replace(RoomReserver, _preempt=_constant(False)),
    "cheap_stops": _replace(
        RoomReserver,
        _stop_cheap_victims=_constant(None),
        _is_cheap_to_stop=_constant(False),
    ),
    "idle_room_budget": _replace(RoomReserver, _idle_core_ms=_constant(0.0)),
    "fast_room": _replace(
        FastRoomMaker, make_room=_constant(False), plan=_constant(None)
    ),
    "victim_lateness": _replace(StopCosts, _would_become_late=_constant(False)),
    "starvation": _replace(Unit, is_starving=_constant(False)),
    "speed_classes": _both(
        _replace(endpoint_selection, preferred_classes=_constant(_ANY_SPEED)),
        _replace(packing, speed_class=_constant(SpeedClass.USUAL)),
    ),
    "too_slow_endpoints": _replace(
        EndpointSelector,
        fast_enough=lambda self, unit, candidates, delay_ms=0: candidates,
    ),
    "straggler_moves": _replace(StragglerMover, run=_constant(None)),
    "learned_speeds_in_log": _replace(SpeedRecorder, records_due=_constant(())),
    "stall_detection": _replace(endpoint_tracking, is_stalled=_constant(False)),
    "urgent_stall_timeout": _replace(
        stalls, stall_timeout_ms=_constant(stalls.STALL_TIMEOUT_MS)
    ),
    "suspicion": _replace(SuspicionTracker, run_failed=_constant(0)),
    "failure_exclusion": _replace(Endpoint, record_run_end=_constant(False)),
    "quick_retry_delay": _replace(endpoint_tracking, is_quick=_constant(False)),
    "last_attempt_proof": _replace(EndpointSelector, _needs_proof=_constant(False)),
    "cold_endpoints": _replace(Endpoint, is_cold=_constant(False)),
    "packing_order": _replace(
        packing, _packing_key=lambda offer, step, free: offer[1].id
    ),
    "departure_stops": _replace(Scheduler, _stop_on_departing=_constant(None)),
    "shares_at_preemption": _replace(ShareAccounts, may_preempt=_constant(True)),
    "yielding_above_share": _replace(Planner, _yields_to_others=_constant(False)),
}
"""Switches by the name of their mechanism."""


def switch_off(name: str) -> None:
    """Switch a mechanism off in this process, for good.

    A ``KeyError`` is raised for an unknown name.
    """
    MECHANISMS[name]()
