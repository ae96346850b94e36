"""Tells tasks that crash the endpoints that start them from those beside them.

A task of this kind takes its endpoint down right after its start. Evidence is collected
in three steps. A run is fresh until it has been listed some time after its start. When
contact with an endpoint is lost, the units of its fresh runs are suspected. The
suspicion is confirmed when the endpoint is known to have crashed, that is, when another
incarnation answers under its id or at its address, and withdrawn when the same
incarnation answers again, as after a cut link.

A suspected unit starts only where no other run is fresh, so that the next crash shows
whether the unit is its cause. Few of them start at a time, as each may cost an
endpoint. A unit whose start has settled is no longer suspected.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from .fleet import Endpoint, TaskPlacement
from .job_table import JobTable
from .model import Incarnation, UnitKey
from .records import UnitCrashes
from .unit import Unit

__all__ = ["CrashTracker", "IncarnationEnd"]

CRASHES_MAX = 2
"""Crashes under fresh runs of a unit after which it is given up, if it was the only
explanation of one of them."""

UNEXPLAINED_CRASHES_MAX = 3
"""Crashes after which a unit is given up even if each has another explanation."""

COMMON_CAUSE_MS = 2_000
"""Endpoints that are lost within this time of each other may have one cause. A cut link
is noticed 0.4 to 1.9 s later, as renewals wait up to a second for an answer."""

TRIAL_ENDPOINTS_DIVISOR = 8
"""One suspected unit may start at a time for this many usable endpoints."""

UNRESOLVED_WAIT_MS = 10_000
UNRESOLVED_DOUBLINGS_MAX = 3
"""Time for which a unit waits after its second loss in a row until it is known whether
its endpoints crashed; doubled with each further one."""

LOSSES_REMEMBERED = 256
"""Latest losses of contact that are compared with a crash."""


@dataclass(frozen=True, slots=True)
class _Loss:
    """Contact with an endpoint was lost; ``had_fresh_runs`` if that may explain it."""

    endpoint_id: str
    lost_ms: int
    had_fresh_runs: bool


@dataclass(frozen=True, slots=True)
class IncarnationEnd:
    """An endpoint is known to have crashed, with the units that may have caused it.

    ``is_replaced`` is set if another endpoint has its address, and unset if it is back
    under its id. ``has_other_cause`` is set if others were lost at about that time that
    had no fresh runs.
    """

    incarnation: Incarnation
    is_replaced: bool
    has_other_cause: bool
    suspects: tuple[Unit, ...]


class CrashTracker:
    """Notes which units may have crashed, or have crashed, their endpoints.

    Methods that change what is known of a unit return it, so that the caller can write
    its ``crashes`` to the log. ``suspect_by_key`` holds the units that are suspected.
    """

    def __init__(
        self,
        table: JobTable,
        unit_by_key: Mapping[UnitKey, Unit],
    ):
        self._table = table
        self._unit_by_key = unit_by_key
        self.suspect_by_key: dict[UnitKey, Unit] = {}
        self._losses: deque[_Loss] = deque(maxlen=LOSSES_REMEMBERED)
        # Incarnations on which it is not known which runs were started.
        self._uncertain: set[Incarnation] = set()
        self._cleared_job_ids: set[str] = set()

    def adopt(self, unit: Unit) -> None:
        """Take over what earlier terms have written about a unit."""
        crashes_by_key = self._table.crashes_by_job_id.get(unit.key.job_id, {})
        crashes = crashes_by_key.get(unit.key)
        if crashes is not None:
            self._put(unit, crashes)

    def forget_unit(self, unit: Unit) -> None:
        """Forget a unit that is done or whose job has ended."""
        self.suspect_by_key.pop(unit.key, None)

    def forget_job(self, job_id: str) -> None:
        """Forget an ended job."""
        self._cleared_job_ids.discard(job_id)

    # Evidence.

    def contact_lost(self, endpoint: Endpoint, now_ms: int) -> list[Unit]:
        """Suspect the units of an endpoint's fresh runs; returns those that are new.

        A loss is noted only once, while the endpoint still counts as reachable.
        An endpoint that leaves as planned says nothing of its runs.
        """
        is_planned = endpoint.info.is_draining or endpoint.is_cordoned
        fresh = [p for p in endpoint.placements() if p.is_fresh]
        if endpoint.is_reachable:
            self._losses.append(_Loss(endpoint.id, now_ms, bool(fresh)))
        changed: dict[UnitKey, Unit] = {}
        for placement in fresh:
            unit = self._unit_by_key.get(placement.unit_key)
            if unit is None or is_planned or placement.is_suspected:
                continue
            placement.is_suspected = True
            if placement.is_adopted:
                self._uncertain.add(endpoint.incarnation)
            unit.accused_indexes.add(placement.index)
            incarnation = endpoint.incarnation
            if incarnation not in unit.crashes.suspected:
                suspected = (*unit.crashes.suspected, incarnation)
                self._put(unit, replace(unit.crashes, suspected=suspected))
                changed[unit.key] = unit
        return list(changed.values())

    def incarnation_ended(
        self, ended: Incarnation, is_replaced: bool
    ) -> IncarnationEnd:
        """Confirm the suspicions against all units that were fresh on an endpoint."""
        suspects = tuple(
            unit
            for unit in self.suspect_by_key.values()
            if ended in unit.crashes.suspected
        )
        has_other_cause = self._has_other_cause(ended.endpoint_id)
        is_certain = ended not in self._uncertain
        self._uncertain.discard(ended)
        is_sole = len(suspects) == 1 and is_certain and not has_other_cause
        for unit in suspects:
            crashes = unit.crashes
            self._put(
                unit,
                replace(
                    crashes,
                    crashes=crashes.crashes + 1,
                    sole_crashes=crashes.sole_crashes + is_sole,
                    suspected=tuple(i for i in crashes.suspected if i != ended),
                ),
            )
        return IncarnationEnd(ended, is_replaced, has_other_cause, suspects)

    def suspected_incarnations(self) -> set[Incarnation]:
        """Return the incarnations of which it is not known yet whether they crashed."""
        return {
            incarnation
            for unit in self.suspect_by_key.values()
            for incarnation in unit.crashes.suspected
        }

    def incarnation_returned(self, incarnation: Incarnation) -> list[Unit]:
        """Withdraw the suspicions about an endpoint that goes on as it was."""
        self._uncertain.discard(incarnation)
        changed = []
        for unit in list(self.suspect_by_key.values()):
            if incarnation in unit.crashes.suspected:
                suspected = tuple(i for i in unit.crashes.suspected if i != incarnation)
                self._put(unit, replace(unit.crashes, suspected=suspected))
                unit.held_until_ms = 0
                changed.append(unit)
        return changed

    def run_settled(self, placement: TaskPlacement) -> Unit | None:
        """Clear a suspected unit once all of its runs have settled; returns it then."""
        unit = self.suspect_by_key.get(placement.unit_key)
        if unit is None or sum(p.is_settled for p in unit.placements) < unit.count:
            return None
        self._put(unit, UnitCrashes(unit.key))
        unit.accused_indexes.clear()
        self._cleared_job_ids.add(unit.key.job_id)
        return unit

    @staticmethod
    def must_be_given_up(unit: Unit) -> bool:
        """Whether a unit is taken to crash each endpoint that starts it."""
        crashes = unit.crashes
        if crashes.crashes >= UNEXPLAINED_CRASHES_MAX:
            return True
        return crashes.crashes >= CRASHES_MAX and crashes.sole_crashes > 0

    @staticmethod
    def hold(unit: Unit, now_ms: int) -> None:
        """Let a unit wait that lost two endpoints or more, while it is open why."""
        crashes = unit.crashes
        losses = crashes.crashes + len(crashes.suspected)
        if crashes.suspected and losses >= CRASHES_MAX:
            doublings = min(losses - CRASHES_MAX, UNRESOLVED_DOUBLINGS_MAX)
            unit.held_until_ms = now_ms + (UNRESOLVED_WAIT_MS << doublings)

    # Where and when suspected units start.

    def may_start_now(self, unit: Unit, usable_count: int, now_ms: int) -> bool:
        """Whether a unit may be placed now, as far as suspicions are concerned.

        A unit that has never run waits while another one of its job is suspected, as
        tasks of one job are alike; suspects of one job start one after the other until
        the first of them has settled.
        """
        if not self.suspect_by_key:
            return True
        job_id = unit.key.job_id
        if not unit.is_suspect:
            is_cleared = job_id in self._cleared_job_ids
            if is_cleared or unit.record.run > 0:
                return True
            return not any(key.job_id == job_id for key in self.suspect_by_key)
        if now_ms < unit.held_until_ms:
            return False
        on_trial = [u for u in self.suspect_by_key.values() if _is_on_trial(u)]
        if len(on_trial) >= max(1, usable_count // TRIAL_ENDPOINTS_DIVISOR):
            return False
        if job_id in self._cleared_job_ids:
            return True
        return all(other.key.job_id != job_id for other in on_trial)

    @staticmethod
    def trial_endpoint_ids(unit: Unit, endpoints: Sequence[Endpoint]) -> set[str]:
        """Return the ids of the endpoints on which a unit's tasks start first.

        For a suspected gang that is a single one, which runs a task that had just been
        started on an endpoint that was lost.
        """
        if not unit.is_suspect:
            return {endpoint.id for endpoint in endpoints}
        return {endpoints[min(unit.accused_indexes, default=0)].id}

    def may_share(self, endpoint: Endpoint, unit: Unit) -> bool:
        """Whether a unit may start beside the fresh runs of others on an endpoint."""
        if not self.suspect_by_key:
            return True
        for placement in endpoint.placement_by_task.values():
            if placement.unit_key == unit.key or placement.is_settled:
                continue
            if unit.is_suspect or placement.unit_key in self.suspect_by_key:
                return False
        return True

    def _has_other_cause(self, endpoint_id: str) -> bool:
        lost_ms = max(
            (loss.lost_ms for loss in self._losses if loss.endpoint_id == endpoint_id),
            default=None,
        )
        if lost_ms is None:
            return False
        return any(
            not loss.had_fresh_runs and abs(loss.lost_ms - lost_ms) <= COMMON_CAUSE_MS
            for loss in self._losses
            if loss.endpoint_id != endpoint_id
        )

    def _put(self, unit: Unit, crashes: UnitCrashes) -> None:
        unit.crashes = crashes
        if unit.is_suspect:
            self.suspect_by_key[unit.key] = unit
        else:
            self.suspect_by_key.pop(unit.key, None)


def _is_on_trial(unit: Unit) -> bool:
    return any(not placement.is_settled for placement in unit.placements)
