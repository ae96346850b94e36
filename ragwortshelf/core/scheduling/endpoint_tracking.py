"""Endpoints as they report themselves, and the runs that their listings show."""

from __future__ import annotations

from .actions import ReportExclusion, ReportSpeed, StopTask
from .availability import may_be_stopped
from .configuration import ServiceConfiguration
from .crash_handling import CrashHandling
from .endpoint import FAILURE_EXCLUSION_MS, UNHEALTHY_EXCLUSION_MS, Endpoint
from .job_table import JobTable
from .listings import (
    EndpointInfo,
    EndpointListing,
    FinishedRun,
    RunEnd,
    RunningTask,
    StartOutcome,
)
from .model import Resources, UnitPhase
from .pacing import plan_paces
from .records import LeasesEnd
from .speed_belief import SpeedClass
from .stalls import (
    STALL_TIMEOUT_MS,
    ListingNeed,
    counted_gap_max_ms,
    is_fresh_urgent,
    is_stalled,
)
from .suspicion import QUICK_FAILURE_MS, is_quick
from .task_placement import RunStage, TaskPlacement
from .unit import Unit

__all__ = ["EndpointTracking"]

START_SETTLES_MS = 1_000
"""Time after the confirmation of a start from which a listing of the run shows that the
start has not crashed the endpoint."""

FINISHED_PAGE_SIZE = 500
"""Ended runs on one page of a listing, as set by the platform."""

QUICK_RETRY_DELAY_MS = 200
QUICK_RETRY_DOUBLINGS_MAX = 2
"""Delay before a unit whose run failed at once is planned again; doubled each time."""

STEADY_RUN_MS = 10_000
"""Run time from which the failure of a long-running task does not delay its restart."""

RESTART_DELAY_MS = 200
RESTART_DOUBLINGS_MAX = 4
"""Delay before a long-running task that failed twice in a row is started again; doubled
each time, up to 3.2 s. The platform wants it back within 6 s."""

NO_ROOM_EXCLUSION_MS = 300
"""Exclusion time after an endpoint had no room; a new listing arrives within it."""


class EndpointTracking(CrashHandling):
    """Applies what is heard of endpoints to the units that run on them."""

    def __init__(self, term: int, table: JobTable, configuration: ServiceConfiguration):
        super().__init__(term, table, configuration)
        # Whether an endpoint with unconfirmed starts may have been evacuated since the
        # last withdrawal. Nothing is ordered on one that is.
        self._is_withdrawal_due = False

    def cordon(self, endpoint_id: str) -> None:
        """Place nothing more on an endpoint."""
        endpoint = self.endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            endpoint.is_cordoned = True

    def evict(self, endpoint_id: str, reason: str, now_ms: int) -> None:
        """Stop an endpoint's units.

        Long-running ones are stopped only as far as ``unavailable_max`` allows it now.
        """
        endpoint = self.endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return
        for placement in endpoint.placements():
            unit = self.unit_by_key.get(placement.unit_key)
            if unit is not None and may_be_stopped(unit, self.unit_by_key):
                self._stop_placements(unit, reason, now_ms)

    def endpoint_updated(self, info: EndpointInfo, now_ms: int) -> None:
        """Add an endpoint, or apply its newest description of itself."""
        endpoint = self.endpoint_by_id.get(info.id)
        if endpoint is None:
            endpoint = self._add_endpoint(info)
        was_evacuated = endpoint.is_evacuated
        endpoint.update(info, now_ms)
        self.evacuations.mark(endpoint)
        if endpoint.is_evacuated and not was_evacuated:
            self._is_withdrawal_due = True

    def endpoint_removed(self, endpoint_id: str) -> None:
        """Note that an endpoint is no longer in the endpoint log."""
        endpoint = self.endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return
        endpoint.is_in_store = False
        if not endpoint.placement_by_task:
            self._drop_endpoint(endpoint_id)

    def endpoint_unreachable(self, endpoint_id: str, now_ms: int, wall_ms: int) -> None:
        """Place nothing on an endpoint until its next listing."""
        endpoint = self.endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            self._contact_lost(endpoint, now_ms, wall_ms)
            endpoint.is_reachable = False

    def forget_unlisted_endpoints(self) -> None:
        """Forget the endpoints that left while no scheduler knew of it."""
        for endpoint_id in list(self.table.incarnation_by_endpoint_id):
            if endpoint_id not in self.endpoint_by_id:
                self._drop_endpoint(endpoint_id)

    def run_ages(self, endpoint_id: str, now_ms: int) -> dict[str, int]:
        """Return how long ago each run on an endpoint was ordered, by ``TASK/RUN``."""
        endpoint = self.endpoint_by_id.get(endpoint_id)
        placements = endpoint.placements() if endpoint else ()
        return {f"{p.task}/{p.run}": now_ms - p.ordered_ms for p in placements}

    def endpoint_lease_expired(
        self,
        endpoint_id: str,
        now_ms: int,
        wall_ms: int,
        is_any_incarnation: bool = True,
    ) -> None:
        """Note that every lease on an endpoint has expired, so nothing runs there.

        Unless ``is_any_incarnation``, that holds for the known incarnation alone. A run
        whose start was not answered, and that was never listed, may be in a later one.
        """
        endpoint = self.endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return
        self._contact_lost(endpoint, now_ms, wall_ms)
        endpoint.is_reachable = False
        endpoint.set_unplaced({})
        for placement in endpoint.placements():
            if is_any_incarnation or placement.is_located:
                self._placement_ended(placement, RunEnd.LAPSED, "", now_ms, wall_ms)
        if not endpoint.is_in_store and not endpoint.placement_by_task:
            self._drop_endpoint(endpoint_id)

    def leases_ended(
        self,
        endpoint_id: str,
        end_ms: int,
        any_end_ms: int,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Note that no lease is extended on an endpoint that is out of contact.

        Leases in its known incarnation have expired by ``end_ms``, and those in any
        incarnation by ``any_end_ms``, on the clock of the term. A successor counts from
        there, and not from its own begin. Nor does it suspect other units of the loss
        than are suspected now.
        """
        endpoint = self.endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return
        self._contact_lost(endpoint, now_ms, wall_ms)
        unlocated_runs = self.unlocated_runs(endpoint_id)
        record = LeasesEnd(endpoint_id, self.term, end_ms, any_end_ms, unlocated_runs)
        self._persist_evidence(record, "out of contact")

    def unlocated_runs(self, endpoint_id: str) -> tuple[tuple[str, int], ...]:
        """Return the runs that may be in an incarnation that is not known.

        They are given as task and run number.
        """
        return tuple(
            (placement.task, placement.run)
            for placement in self.endpoint_by_id[endpoint_id].placements()
            if placement.is_sent and not placement.is_located
        )

    def busy_endpoint_ids(self) -> list[str]:
        """Return the endpoints on which runs are placed."""
        endpoints = self.endpoint_by_id.values()
        return [endpoint.id for endpoint in endpoints if endpoint.placement_by_task]

    def listing_need(self, endpoint_id: str, now_ms: int) -> ListingNeed:
        """Return how often an endpoint's runs have to be listed.

        A shared endpoint holds both serving and background tasks.
        """
        endpoint = self.endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return ListingNeed.USUAL
        units = [
            self.unit_by_key[placement.unit_key]
            for placement in endpoint.placement_by_task.values()
            if placement.unit_key in self.unit_by_key
        ]
        if any(unit.step.tail_target_ms for unit in units) and any(
            unit.step.fills for unit in units
        ):
            return ListingNeed.SHARED
        if any(is_fresh_urgent(unit, now_ms) for unit in units):
            return ListingNeed.FRESH_URGENT
        return ListingNeed.USUAL

    def listing_received(
        self, listing: EndpointListing, now_ms: int, wall_ms: int
    ) -> None:
        """Reconcile the placements of an endpoint with its listing."""
        endpoint = self.endpoint_by_id.get(listing.endpoint_id)
        if endpoint is None:
            return
        was_known = endpoint.is_reachable
        if listing.started_wall_ms != endpoint.started_wall_ms:
            self._handle_restart(endpoint, listing, now_ms, wall_ms)
            was_known = False
        if not was_known:
            self._observe(endpoint, now_ms, wall_ms)
        if endpoint.speed_belief.listed_ms is None:
            self.speed_recorder.restore(endpoint, now_ms, wall_ms)
        endpoint.is_reachable = True
        endpoint.listed_ms = now_ms
        seen = set()
        for row in listing.finished:
            seen.add((row.task, row.run))
            self._handle_finished(endpoint, row, now_ms, wall_ms)
        clock_ms = now_ms if listing.clock_ms is None else listing.clock_ms
        unplaced_by_run = {}
        for row in listing.running:
            seen.add((row.task, row.run))
            if not self._handle_running(endpoint, row, clock_ms, now_ms):
                occupied = self._occupied_by(row.task, endpoint)
                unplaced_by_run[row.task, row.run] = occupied
        endpoint.set_unplaced(unplaced_by_run)
        if self.speeds.listing_ended(endpoint, clock_ms, now_ms):
            self._report_speed(endpoint)
        self._stop_stalled(endpoint, now_ms)
        self._listing_applied(endpoint)
        self._actions.extend(plan_paces(endpoint, self.unit_by_key))
        if len(listing.finished) >= FINISHED_PAGE_SIZE:
            # The page is full: the ends of missing runs may be on a later page.
            return
        for placement in endpoint.placements():
            if (placement.task, placement.run) not in seen:
                self._handle_missing(placement, listing.sent_ms, now_ms, wall_ms)

    def endpoint_count_by_speed(self, speed_class: SpeedClass) -> int:
        """Return how many endpoints are of a class of speed."""
        return sum(
            endpoint.speed_belief.speed_class is speed_class
            for endpoint in self.endpoint_by_id.values()
        )

    def _report_speed(self, endpoint: Endpoint) -> None:
        belief = endpoint.speed_belief
        name = belief.speed_class.name.lower()
        self._actions.append(
            ReportSpeed(
                endpoint.id, name, round(belief.speed, 2), round(belief.error, 2)
            )
        )

    def _stop_stalled(self, endpoint: Endpoint, now_ms: int) -> None:
        for placement in endpoint.placements():
            unit = self.unit_by_key.get(placement.unit_key)
            if unit is None or unit.phase is not UnitPhase.PLACED:
                continue
            if unit.step.is_long_running or placement.stage is not RunStage.RUNNING:
                continue
            if is_stalled(placement, unit):
                self._exclude(endpoint, now_ms, 2 * STALL_TIMEOUT_MS, "no progress")
                unit.avoided_ids.add(endpoint.id)
                self._stop_placements(unit, "no progress", now_ms)

    def _note_refusal(
        self, endpoint_id: str, outcome: StartOutcome, now_ms: int
    ) -> None:
        endpoint = self.endpoint_by_id[endpoint_id]
        if outcome is StartOutcome.NO_ROOM:
            self._exclude(endpoint, now_ms, NO_ROOM_EXCLUSION_MS, outcome.value)
        elif outcome in (StartOutcome.UNHEALTHY, StartOutcome.UNANSWERED):
            self._exclude(endpoint, now_ms, UNHEALTHY_EXCLUSION_MS, outcome.value)

    def _exclude(
        self, endpoint: Endpoint, now_ms: int, length_ms: int, reason: str
    ) -> None:
        endpoint.exclude(now_ms + length_ms)
        self._actions.append(ReportExclusion(endpoint.id, length_ms, reason))

    def _handle_restart(self, endpoint, listing, now_ms, wall_ms) -> None:
        # No run outlives an incarnation, but a start that is not confirmed yet may
        # arrive at the next one.
        is_first = endpoint.started_wall_ms == 0
        if is_first:
            endpoint.started_wall_ms = listing.started_wall_ms
            return
        self._contact_lost(endpoint, now_ms, wall_ms)
        endpoint.started_wall_ms = listing.started_wall_ms
        endpoint.forget_speed()
        rows = {(row.task, row.run) for row in listing.running}
        for placement in endpoint.placements():
            # Orders of earlier terms are refused once this listing was asked for.
            is_over = placement.stage is RunStage.RUNNING or placement.is_adopted
            if is_over and (placement.task, placement.run) not in rows:
                self._placement_ended(placement, RunEnd.LAPSED, "", now_ms, wall_ms)

    def _handle_running(
        self, endpoint: Endpoint, row: RunningTask, clock_ms: int, now_ms: int
    ) -> bool:
        """Update the placement of a listed run; returns whether it has one."""
        placement = endpoint.placement_by_task.get(row.task)
        if placement is None or placement.run != row.run:
            self._actions.append(
                StopTask(endpoint.id, row.task, row.run, "not placed here")
            )
            return False
        if row.checkpoint:
            placement.checkpoint = row.checkpoint
        if placement.confirmed_ms is None:
            placement.confirmed_ms = now_ms
            placement.is_sent = True
        elif now_ms - placement.confirmed_ms >= START_SETTLES_MS:
            # A successor takes old placements for settled, but not their suspects.
            is_suspect = placement.unit_key in self.crashes.suspect_by_key
            if is_suspect or not placement.is_settled:
                self._run_settled(placement)
        unit = self.unit_by_key.get(placement.unit_key)
        if unit is None:
            placement.record_progress(row.percent, now_ms, None)
        else:
            placement.record_progress(
                row.percent, now_ms, unit.working_since_ms, counted_gap_max_ms(unit)
            )
        is_old = now_ms - placement.ordered_ms > QUICK_FAILURE_MS
        if is_old and row.percent >= 1 and not placement.is_adopted:
            self.suspicion.run_survived(endpoint, placement)
        placement.load_metric = row.load_metric
        placement.is_adopted = False
        placement.is_located = True
        if placement.stage in (RunStage.LOGGED, RunStage.ORDERED):
            placement.stage = RunStage.RUNNING
        is_obsolete = unit is None or unit.phase is not UnitPhase.PLACED
        if is_obsolete and placement.stage is not RunStage.STOPPING:
            self._stop(placement, "no longer wanted", now_ms)
        if not is_obsolete:
            self.speeds.run_listed(endpoint, placement, unit, clock_ms, now_ms)
        return True

    def _occupied_by(self, task: str, endpoint: Endpoint) -> Resources:
        """Return what a run occupies that has no placement.

        That of an unknown job may occupy all of the endpoint.
        """
        job_id, _, rest = task.partition(".")
        job = self.table.job_by_id.get(job_id)
        numbers = rest.split(".")
        if job is None or len(numbers) != 3 or not numbers[1].isdecimal():
            return endpoint.info.capacity
        step = int(numbers[1])
        if step >= len(job.spec.steps):
            return endpoint.info.capacity
        return job.spec.steps[step].occupied

    def _handle_finished(
        self,
        endpoint: Endpoint,
        row: FinishedRun,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        placement = endpoint.placement_by_task.get(row.task)
        if placement is None or placement.run != row.run:
            return
        # A run that is done counts even if its lease expired before this listing: an
        # earlier term may have acknowledged it, so it must not be started again.
        if self._is_evidence(placement, row.end) and endpoint.record_run_end(
            placement.unit_key.job_id, row.end
        ):
            self._exclude(
                endpoint, now_ms, FAILURE_EXCLUSION_MS, "fails what it starts"
            )
        if row.end is RunEnd.FAILED:
            self._note_failure(endpoint, placement, now_ms)
        elif row.end is RunEnd.DONE:
            self._run_settled(placement)
            self.suspicion.run_survived(endpoint, placement)
        self._placement_ended(placement, row.end, row.checkpoint, now_ms, wall_ms)

    def _is_evidence(self, placement: TaskPlacement, end: RunEnd) -> bool:
        """Whether the end of a run tells of its endpoint.

        Long-running tasks may fail at any time, which says nothing of endpoints.
        """
        unit = self.unit_by_key.get(placement.unit_key)
        is_lasting = unit is not None and unit.step.is_long_running
        return not (is_lasting and end is RunEnd.FAILED)

    def _note_failure(
        self, endpoint: Endpoint, placement: TaskPlacement, now_ms: int
    ) -> None:
        unit = self.unit_by_key.get(placement.unit_key)
        if unit is None:
            return
        if unit.step.is_long_running:
            self._delay_restart(unit, placement, now_ms)
            return
        length_ms = self.suspicion.run_failed(endpoint, placement, now_ms)
        if length_ms:
            self._actions.append(
                ReportExclusion(endpoint.id, length_ms, "failed a run at once")
            )
        if is_quick(placement, now_ms):
            # The evidence on which endpoints fail everything comes within a second.
            doublings = min(unit.quick_failure_count, QUICK_RETRY_DOUBLINGS_MAX)
            unit.quick_failure_count += 1
            delay_ms = QUICK_RETRY_DELAY_MS << doublings
            unit.not_before_ms = max(unit.not_before_ms, now_ms + delay_ms)

    def _delay_restart(self, unit: Unit, placement: TaskPlacement, now_ms: int) -> None:
        """Delay a long-running task that fails again and again, longer each time.

        Meanwhile it takes and reclaims no room from others.
        """
        if unit.last_failed_run >= placement.run:
            # Another task of the gang has failed before.
            return
        if now_ms - placement.ordered_ms >= STEADY_RUN_MS:
            unit.unsteady_run_count = 0
            return
        if unit.unsteady_run_count:
            doublings = min(unit.unsteady_run_count - 1, RESTART_DOUBLINGS_MAX)
            delay_ms = RESTART_DELAY_MS << doublings
            unit.not_before_ms = max(unit.not_before_ms, now_ms + delay_ms)
        unit.unsteady_run_count += 1

    def _handle_missing(
        self, placement: TaskPlacement, sent_ms: int, now_ms: int, wall_ms: int
    ) -> None:
        if placement.is_adopted:
            self._handle_missing_adopted(placement, now_ms, wall_ms)
        elif placement.stage is RunStage.RUNNING and placement.was_confirmed(sent_ms):
            self._placement_ended(placement, RunEnd.LAPSED, "", now_ms, wall_ms)
        elif placement.stage is RunStage.STOPPING and placement.was_fenced(sent_ms):
            self._placement_ended(placement, RunEnd.STOPPED, "", now_ms, wall_ms)

    def _handle_missing_adopted(
        self, placement: TaskPlacement, now_ms: int, wall_ms: int
    ) -> None:
        # The endpoint has seen this term's token and refuses orders of earlier terms
        # from now on: the run is not there, and no delayed order can start it.
        placement.is_adopted = False
        placement.is_located = False
        unit = self.unit_by_key.get(placement.unit_key)
        if unit is not None and unit.is_suspect and unit.count > 1:
            # The earlier term may have held this start back.
            self._stop_placements(unit, "trial ended with its term", now_ms)
        is_placed = unit is not None and unit.phase is UnitPhase.PLACED
        if is_placed and self.endpoint_by_id[placement.endpoint_id].is_evacuated:
            self._stop_placements(unit, "evacuated", now_ms, except_placement=placement)
            self._placement_ended(placement, RunEnd.STOPPED, "", now_ms, wall_ms)
        elif is_placed:
            placement.stage = RunStage.ORDERED
            placement.ordered_ms = now_ms
            self._order_start(unit, placement)
        else:
            self._placement_ended(placement, RunEnd.STOPPED, "", now_ms, wall_ms)

    def _listing_applied(self, endpoint: Endpoint) -> None:
        """Do more with an endpoint whose listing was applied; for the subclass."""
