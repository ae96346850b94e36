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

Tasks of one step are alike. While none of a step has settled, the units of a suspect's
job that have never run are tried one after the other, and so are its suspects. A trial
that gets no answer delays the others only briefly, but each further one for longer.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass, replace

from .endpoint import Endpoint
from .job_table import JobTable
from .model import Incarnation, UnitKey, UnitPhase
from .records import Suspicion, TaskCrashes, UnitCrashes
from .task_placement import RunStage, TaskPlacement
from .unit import Unit

__all__ = ["CrashTracker", "IncarnationEnd"]

CRASHES_MAX = 2
"""Crashes at confirmed starts of a task after which its unit is given up, if the unit
was the only explanation of one of them."""

UNEXPLAINED_CRASHES_MAX = 3
"""Crashes of which each may have another explanation, after which the same holds."""

COMMON_CAUSE_MS = 2_000
"""Endpoints that are lost within this time of each other may have one cause. A cut link
is noticed 0.4 to 1.9 s later, as renewals wait up to a second for an answer."""

TRIAL_ENDPOINTS_DIVISOR = 2
"""One suspected unit may start at a time for this many usable endpoints."""

TRIAL_ANSWER_MS = 2_000
"""Time after a trial's start, or a loss of contact, from which another unit of the job
may be tried. A start settles within 1 s and the interval of listings, 1 s."""

TRIAL_DOUBLINGS_MAX = 3
"""How often that time doubles, once for each trial of the job so far."""

UNRESOLVED_WAIT_MS = 5_000
"""Time after its last loss for which a unit that lost two endpoints waits for word of
them. Crashed endpoints were back after 3.4 s."""

LATE_WORD_WAIT_MS = 9_000
"""The same for a unit of which one task lost three endpoints: a lease and 2 s."""

LAST_WAIT_MS = 60_000
"""The same for a unit whose next start may be the third one of a task after three
crashes, which the platform forbids. Crashed endpoints are back well before."""

STARTS_AFTER_CRASHES_MAX = 2
"""Starts of a task that the platform allows after three crashes."""

LEASE_MS = 7_000
"""Lease on an endpoint. One whose next incarnation began later than this after contact
was lost may have crashed when nothing ran there any more, as after a cut link."""

LOSSES_REMEMBERED = 256
"""Latest losses of contact that are compared with a crash."""


@dataclass(frozen=True, slots=True)
class _Loss:
    """Contact with an endpoint was lost, on which runs of these jobs were fresh.

    ``had_suspect`` is set if one of them was suspected before, which may explain it.
    """

    endpoint_id: str
    lost_ms: int
    fresh_job_ids: frozenset[str]
    had_suspect: bool


@dataclass(frozen=True, slots=True)
class _Trials:
    """How many units of a job were tried, and when another one may be."""

    count: int
    next_ms: int


@dataclass(frozen=True, slots=True)
class IncarnationEnd:
    """An endpoint is known to have crashed, with the units that may have caused it.

    ``is_replaced`` is set if another endpoint has its address, and unset if it is back
    under its id. ``has_other_cause`` is set unless one of them is the only explanation.
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
        self._adopted_wall_ms: int | None = None
        self._lost_wall_ms_by_id: dict[str, int] = {}
        self._answer_due_ms_by_key: dict[UnitKey, int] = {}
        self._trials_by_job_id: dict[str, _Trials] = {}
        self._cleared_steps_by_job_id: dict[str, set[int]] = {}

    def begin(self, wall_ms: int) -> None:
        """Note when the term took over what earlier terms had placed.

        Contact with endpoints that never answer in this term was lost before.
        """
        self._adopted_wall_ms = wall_ms

    def adopt(self, unit: Unit) -> None:
        """Take over what earlier terms have written about a unit."""
        crashes_by_key = self._table.crashes_by_job_id.get(unit.key.job_id, {})
        crashes = crashes_by_key.get(unit.key)
        if crashes is not None:
            self._put(unit, crashes)

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Forget an endpoint that has left and holds no runs."""
        self._lost_wall_ms_by_id.pop(endpoint_id, None)

    def forget_unit(self, unit: Unit) -> None:
        """Forget a unit that is done or whose job has ended."""
        self._clear_suspect(unit.key)

    def forget_job(self, job_id: str) -> None:
        """Forget an ended job."""
        self._cleared_steps_by_job_id.pop(job_id, None)
        self._trials_by_job_id.pop(job_id, None)

    # Evidence.

    def contact_lost(self, endpoint: Endpoint, now_ms: int, wall_ms: int) -> list[Unit]:
        """Suspect the units of an endpoint's fresh runs; returns those that are new.

        A loss is noted only once, while the endpoint still counts as reachable.
        An endpoint that leaves as planned says nothing of its runs.
        """
        is_planned = endpoint.info.is_draining or endpoint.is_cordoned
        fresh = [p for p in endpoint.placements() if p.is_fresh]
        if endpoint.is_reachable:
            keys = {placement.unit_key for placement in fresh}
            job_ids = frozenset(key.job_id for key in keys)
            had_suspect = not keys.isdisjoint(self.suspect_by_key)
            self._losses.append(_Loss(endpoint.id, now_ms, job_ids, had_suspect))
            self._lost_wall_ms_by_id[endpoint.id] = wall_ms
        lost_wall_ms = self._lost_wall_ms_by_id.get(
            endpoint.id, self._adopted_wall_ms or wall_ms
        )
        new_by_key: dict[UnitKey, list[TaskPlacement]] = {}
        for placement in fresh:
            if not is_planned and not placement.is_suspected:
                placement.is_suspected = True
                new_by_key.setdefault(placement.unit_key, []).append(placement)
        changed = []
        for key, placements in new_by_key.items():
            unit = self._unit_by_key.get(key)
            if unit is None or not _is_of_interest(unit):
                continue
            if endpoint.incarnation in _incarnations(unit.crashes):
                continue
            suspicion = Suspicion(
                endpoint.incarnation,
                tuple(placement.index for placement in placements),
                tuple(p.index for p in placements if p.confirmed_ms is not None),
                lost_wall_ms,
            )
            suspected = (*unit.crashes.suspected, suspicion)
            self._put(unit, replace(unit.crashes, suspected=suspected))
            self._answer_due_ms_by_key[key] = now_ms + TRIAL_ANSWER_MS
            trials = _Trials(0, now_ms + TRIAL_ANSWER_MS)
            self._trials_by_job_id.setdefault(key.job_id, trials)
            changed.append(unit)
        return changed

    def start_refused(
        self, endpoint: Endpoint, placement: TaskPlacement
    ) -> Unit | None:
        """Withdraw a suspicion about a start that did not take place.

        Returns the unit if that changed it.
        """
        unit = self.suspect_by_key.get(placement.unit_key)
        if unit is None or not placement.is_suspected:
            return None
        placement.is_suspected = False
        suspected = []
        for suspicion in unit.crashes.suspected:
            indexes = suspicion.indexes
            if suspicion.incarnation == endpoint.incarnation:
                indexes = tuple(i for i in indexes if i != placement.index)
            if indexes:
                suspected.append(replace(suspicion, indexes=indexes))
        self._put(unit, replace(unit.crashes, suspected=tuple(suspected)))
        return unit

    def incarnation_ended(
        self, ended: Incarnation, successor: Incarnation, now_ms: int, wall_ms: int
    ) -> IncarnationEnd:
        """Confirm the suspicions against all units that were fresh on an endpoint.

        ``successor`` answers under its id or at its address.
        """
        suspects = tuple(
            unit
            for unit in self.suspect_by_key.values()
            if ended in _incarnations(unit.crashes)
        )
        has_other_cause = len(suspects) != 1 or self._has_other_cause(
            ended.endpoint_id, suspects[0]
        )
        for unit in suspects:
            crashes = unit.crashes
            for suspicion in crashes.suspected:
                if suspicion.incarnation == ended:
                    away_ms = successor.started_wall_ms - suspicion.lost_wall_ms
                    if away_ms > LEASE_MS:
                        suspicion = replace(suspicion, confirmed=())
                    crashes = _count_crash(crashes, suspicion, not has_other_cause)
            suspected = tuple(s for s in crashes.suspected if s.incarnation != ended)
            self._put(unit, replace(crashes, suspected=suspected))
            self.hold(unit, now_ms, wall_ms)
        is_replaced = successor.endpoint_id != ended.endpoint_id
        return IncarnationEnd(ended, is_replaced, has_other_cause, suspects)

    def suspected_incarnations(self) -> set[Incarnation]:
        """Return the incarnations of which it is not known yet whether they crashed."""
        return {
            incarnation
            for unit in self.suspect_by_key.values()
            for incarnation in _incarnations(unit.crashes)
        }

    def incarnation_returned(
        self, incarnation: Incarnation, now_ms: int, wall_ms: int
    ) -> list[Unit]:
        """Withdraw the suspicions about an endpoint that goes on as it was."""
        changed = []
        for unit in list(self.suspect_by_key.values()):
            if incarnation not in _incarnations(unit.crashes):
                continue
            suspected = tuple(
                suspicion
                for suspicion in unit.crashes.suspected
                if suspicion.incarnation != incarnation
            )
            self._put(unit, replace(unit.crashes, suspected=suspected))
            self.hold(unit, now_ms, wall_ms)
            changed.append(unit)
        return changed

    def run_settled(self, placement: TaskPlacement) -> Unit | None:
        """Clear a suspected unit once all of its runs have settled; returns it then."""
        unit = self._unit_by_key.get(placement.unit_key)
        if unit is None or sum(p.is_settled for p in unit.placements) < unit.count:
            return None
        steps = self._cleared_steps_by_job_id.setdefault(unit.key.job_id, set())
        steps.add(unit.key.step)
        if unit.key not in self.suspect_by_key:
            return None
        self._put(unit, UnitCrashes(unit.key))
        return unit

    @staticmethod
    def must_be_given_up(unit: Unit) -> bool:
        """Whether a unit is taken to crash each endpoint that starts it."""
        return any(
            task.count >= UNEXPLAINED_CRASHES_MAX
            or (task.certain_count >= CRASHES_MAX and unit.crashes.sole_crashes > 0)
            for task in unit.crashes.by_task
        )

    @staticmethod
    def hold(unit: Unit, now_ms: int, wall_ms: int) -> None:
        """Let a unit wait that lost two endpoints or more, while it is open why.

        The wait counts from the loss, whichever term noted it.
        """
        unit.held_until_ms = 0
        wait_ms = _unresolved_wait_ms(unit.crashes)
        if wait_ms:
            lost_wall_ms = max(s.lost_wall_ms for s in unit.crashes.suspected)
            left_ms = lost_wall_ms + wait_ms - wall_ms
            # The clock of an earlier term may have been ahead.
            unit.held_until_ms = now_ms + min(left_ms, wait_ms)

    # Where and when suspected units start.

    def may_start_now(self, unit: Unit, usable_count: int, now_ms: int) -> bool:
        """Whether a unit may be placed now, as far as suspicions are concerned.

        A unit that has never run waits while another one of its job is suspected, and
        suspects of one job start one after the other, until a unit of the same step has
        settled or the next trial of the job is due.
        """
        if not self.suspect_by_key:
            return True
        job_id = unit.key.job_id
        if not unit.is_suspect:
            return not self._is_trial(unit) or self._is_trial_due(job_id, now_ms)
        if now_ms < unit.held_until_ms:
            return False
        on_trial = [u for u in self.suspect_by_key.values() if _is_on_trial(u)]
        open_count = sum(not self._is_out_of_contact(u, now_ms) for u in on_trial)
        if open_count >= max(1, usable_count // TRIAL_ENDPOINTS_DIVISOR):
            return False
        if self._is_step_cleared(unit):
            return True
        is_first = all(other.key.job_id != job_id for other in on_trial)
        return is_first or self._is_trial_due(job_id, now_ms)

    def unit_placed(self, unit: Unit, now_ms: int) -> None:
        """Note the start of a unit that has not been placed yet, if it is a trial."""
        if not self._is_trial(unit):
            return
        job_id = unit.key.job_id
        trials = self._trials_by_job_id.get(job_id)
        count = trials.count if trials else 0
        wait_ms = TRIAL_ANSWER_MS << min(count, TRIAL_DOUBLINGS_MAX)
        self._trials_by_job_id[job_id] = _Trials(count + 1, now_ms + wait_ms)

    def _is_trial(self, unit: Unit) -> bool:
        """Whether a start of a unit shows whether its job crashes endpoints."""
        if not self.suspect_by_key or self._is_step_cleared(unit):
            return False
        if unit.is_suspect:
            return True
        job_id = unit.key.job_id
        return unit.record.run == 0 and any(
            key.job_id == job_id for key in self.suspect_by_key
        )

    def _is_out_of_contact(self, unit: Unit, now_ms: int) -> bool:
        """Whether the trial of a unit has cost its endpoint, and takes no other's."""
        if now_ms < self._answer_due_ms_by_key.get(unit.key, 0):
            return False
        return all(p.is_suspected or p.is_settled for p in unit.placements)

    def _is_trial_due(self, job_id: str, now_ms: int) -> bool:
        trials = self._trials_by_job_id.get(job_id)
        return trials is None or now_ms >= trials.next_ms

    def _is_step_cleared(self, unit: Unit) -> bool:
        steps = self._cleared_steps_by_job_id.get(unit.key.job_id, ())
        return unit.key.step in steps

    @staticmethod
    def first_index(unit: Unit) -> int | None:
        """Return the task of a suspected gang that starts before the others.

        It is the one at whose starts most endpoints were lost. None if the tasks of the
        unit start together.
        """
        if not unit.is_suspect:
            return None
        losses_by_index: Counter[int] = Counter()
        for task in unit.crashes.by_task:
            losses_by_index[task.index] += task.count + task.certain_count
        for suspicion in unit.crashes.suspected:
            losses_by_index.update(suspicion.indexes)
            losses_by_index.update(suspicion.confirmed)
        return min(losses_by_index, key=lambda i: (-losses_by_index[i], i))

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

    def _has_other_cause(self, endpoint_id: str, unit: Unit) -> bool:
        """Whether another endpoint was lost at that time that this does not explain.

        Tasks of one job are alike, so each may explain a loss.
        """
        lost_ms = max(
            (loss.lost_ms for loss in self._losses if loss.endpoint_id == endpoint_id),
            default=None,
        )
        if lost_ms is None:
            return False
        return any(
            unit.key.job_id not in loss.fresh_job_ids
            and not loss.had_suspect
            and abs(loss.lost_ms - lost_ms) <= COMMON_CAUSE_MS
            for loss in self._losses
            if loss.endpoint_id != endpoint_id
        )

    def _put(self, unit: Unit, crashes: UnitCrashes) -> None:
        unit.crashes = crashes
        if unit.is_suspect:
            self.suspect_by_key[unit.key] = unit
        else:
            self._clear_suspect(unit.key)

    def _clear_suspect(self, key: UnitKey) -> None:
        if self.suspect_by_key.pop(key, None) is None:
            return
        self._answer_due_ms_by_key.pop(key, None)
        if all(other.job_id != key.job_id for other in self.suspect_by_key):
            self._trials_by_job_id.pop(key.job_id, None)


def _is_of_interest(unit: Unit) -> bool:
    """Whether a unit may be started again."""
    return unit.phase in (UnitPhase.PLACED, UnitPhase.ENDING) and unit.job.is_active


def _is_on_trial(unit: Unit) -> bool:
    return any(
        not placement.is_settled and placement.stage is not RunStage.STOPPING
        for placement in unit.placements
    )


def _incarnations(crashes: UnitCrashes) -> set[Incarnation]:
    return {suspicion.incarnation for suspicion in crashes.suspected}


def _unresolved_wait_ms(crashes: UnitCrashes) -> int:
    """Return how long after its last loss a unit waits for word of its endpoints."""
    if not crashes.suspected:
        return 0
    losses_by_index = Counter({task.index: task.count for task in crashes.by_task})
    most = max(losses_by_index.values(), default=0)
    for suspicion in crashes.suspected:
        losses_by_index.update(suspicion.indexes)
    task_losses = max(losses_by_index.values())
    if task_losses >= UNEXPLAINED_CRASHES_MAX + STARTS_AFTER_CRASHES_MAX:
        return LAST_WAIT_MS
    if task_losses >= UNEXPLAINED_CRASHES_MAX:
        return LATE_WORD_WAIT_MS
    if most + len(crashes.suspected) >= CRASHES_MAX:
        return UNRESOLVED_WAIT_MS
    return 0


def _count_crash(
    crashes: UnitCrashes, suspicion: Suspicion, is_sole: bool
) -> UnitCrashes:
    """Return the count with one more crash of each task that was fresh there."""
    by_index = {task.index: task for task in crashes.by_task}
    for index in suspicion.indexes:
        task = by_index.get(index, TaskCrashes(index, 0, 0))
        certain_count = task.certain_count + (index in suspicion.confirmed)
        by_index[index] = TaskCrashes(index, task.count + 1, certain_count)
    return replace(
        crashes,
        by_task=tuple(by_index[index] for index in sorted(by_index)),
        sole_crashes=crashes.sole_crashes + is_sole,
    )
