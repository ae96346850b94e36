"""The scheduler: decides where units start and stop, and tracks each to its end.

The instance that holds the scheduler's role drives it. It is notified of jobs,
endpoints, listings and outcomes of orders, and collects actions that the process
fetches with ``take_actions``. Placements are logged before their starts are ordered, so
that a successor knows which endpoint may hold which run.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..advice import OpenQuestion
from .actions import PaceTask, StartTask
from .availability import may_be_stopped
from .configuration import ServiceConfiguration
from .departures import units_to_move
from .endpoint import Endpoint
from .endpoint_tracking import EndpointTracking
from .evacuation import units_to_withdraw
from .job_table import JobTable
from .listings import (
    RunEnd,
    StartOutcome,
)
from .model import step_name
from .pacing import FULL_PERCENT
from .planning import Planner
from .task_placement import RunStage
from .unit import Unit

__all__ = ["Scheduler"]

REPLAN_DELAY_MS = 100
"""Delay before a refused unit is planned again, so that a new listing comes first."""

STOP_CHECK_INTERVAL_MS = 100
"""Interval between checks whether a stop must be repeated; a repeat is due 500 ms after
the order before."""


class Scheduler(EndpointTracking):
    """Tracks endpoints and orders, and plans which units start and stop."""

    def __init__(self, term: int, table: JobTable, configuration: ServiceConfiguration):
        super().__init__(term, table, configuration)
        self._planner = Planner(self)
        self._next_stop_check_ms = 0

    def evacuate(
        self, data_centres: Mapping[str, int], now_ms: int, wall_ms: int
    ) -> None:
        """Replace the evacuated data centres, with the times of the requests.

        Nothing starts in them from now on, and unconfirmed starts there are withdrawn.
        """
        self._is_withdrawal_due = True
        endpoints = self.endpoint_by_id.values()
        reports = self.evacuations.replace(data_centres, endpoints, now_ms)
        self._actions.extend(reports)
        self._withdraw_evacuated_starts(now_ms, wall_ms)

    def busy_evacuated_count(self) -> int:
        """Return the number of evacuated endpoints on which something runs."""
        return sum(
            endpoint.is_evacuated
            and bool(endpoint.placement_by_task or endpoint.unplaced_by_run)
            for endpoint in self.endpoint_by_id.values()
        )

    def plan(self, now_ms: int, wall_ms: int) -> None:
        """Start units that fit, stop units that must yield, and repeat lost stops."""
        self._open_due_units(now_ms, wall_ms)
        self._withdraw_evacuated_starts(now_ms, wall_ms)
        self._release_held_starts(now_ms, wall_ms)
        self._repeat_stops(now_ms)
        self._stop_on_departing(now_ms)
        self._planner.run(now_ms, wall_ms)
        self._find_next_due(wall_ms)
        self._actions.extend(self._planner.idle_waits.check(now_ms))
        self._actions.extend(self._planner.overdue_runs.check(now_ms))
        endpoints = self.endpoint_by_id.values()
        self._actions.extend(self.evacuations.check_empty(endpoints, now_ms))
        for record in self.speed_recorder.records_due(endpoints, now_ms, wall_ms):
            self._persist_evidence(record, "speeds changed")

    @property
    def organisations_above_share(self) -> int:
        """Organisations that took more than their fair share at the latest plan."""
        return self._planner.organisations_above_share

    @property
    def idle_wait_count(self) -> int:
        """Steps that wait although most of their service is idle."""
        return self._planner.idle_waits.waiting_step_count

    @property
    def overdue_run_count(self) -> int:
        """Runs that take far longer than expected."""
        return self._planner.overdue_runs.overdue_count

    def start_answered(
        self,
        endpoint_id: str,
        task: str,
        run: int,
        outcome: StartOutcome,
        was_unanswered: bool,
        now_ms: int,
        wall_ms: int,
        is_known_incarnation: bool = False,
    ) -> None:
        """Note the outcome of a start.

        ``was_unanswered`` is set if an earlier attempt of the same start got no answer:
        the run may then have started whatever the outcome of the last attempt.
        ``is_known_incarnation`` is set if the run started in the known incarnation of
        the endpoint.
        """
        placement = self._find_placement(endpoint_id, task, run)
        if placement is None:
            return
        placement.is_sent = True
        if outcome is StartOutcome.STARTED:
            placement.is_located |= is_known_incarnation
            if placement.stage in (RunStage.LOGGED, RunStage.ORDERED):
                placement.stage = RunStage.RUNNING
                placement.confirmed_ms = now_ms
                placement.listed_ms = now_ms
            return
        self._note_refusal(endpoint_id, outcome, now_ms)
        unit = self.unit_by_key.get(placement.unit_key)
        if unit is not None and outcome is StartOutcome.NO_TICKET:
            self._ticket_refused(unit, endpoint_id, now_ms)
        if unit is not None:
            unit.not_before_ms = now_ms + REPLAN_DELAY_MS
            unit.avoided_ids.add(endpoint_id)
            self._stop_placements(
                unit, f"start {outcome.value}", now_ms, except_placement=placement
            )
        may_run = was_unanswered or outcome in (
            StartOutcome.UNANSWERED,
            StartOutcome.OUTDATED,
            StartOutcome.FENCED,
        )
        if may_run:
            self._stop(placement, f"start {outcome.value}", now_ms)
        else:
            self._start_refused(placement)
            self._placement_ended(
                placement, RunEnd.STOPPED, "", now_ms, wall_ms, may_have_run=False
            )

    def is_still_ordered(self, order: StartTask) -> bool:
        """Whether a start is still to be sent, as its run neither started nor ended."""
        placement = self._find_placement(order.endpoint_id, order.task, order.run)
        return placement is not None and placement.stage is RunStage.ORDERED

    def may_send(self, order: StartTask) -> bool:
        """Whether the endpoint of a start still has the room that was found for it."""
        endpoint = self.endpoint_by_id.get(order.endpoint_id)
        return endpoint is not None and not endpoint.is_overcommitted

    def needs_recent_capacity(self, order: StartTask) -> bool:
        """Whether the endpoint of a start would also take what exceeds its capacity."""
        endpoint = self.endpoint_by_id.get(order.endpoint_id)
        if endpoint is None:
            return False
        services = self.configuration.service_by_name
        service = services.get(endpoint.info.service)
        return service is not None and not service.has_admission_control

    def start_released(self, order: StartTask, now_ms: int) -> None:
        """Note that a start was held back until now, so its run is not older."""
        placement = self._find_placement(order.endpoint_id, order.task, order.run)
        if placement is not None and placement.stage is RunStage.ORDERED:
            placement.ordered_ms = now_ms

    def start_sent(self, order: StartTask) -> None:
        """Note that an endpoint may receive a start from now on."""
        placement = self._find_placement(order.endpoint_id, order.task, order.run)
        if placement is not None:
            placement.is_sent = True

    def stop_confirmed(
        self, endpoint_id: str, task: str, run: int, now_ms: int
    ) -> None:
        """Note that an endpoint confirmed a stop and now refuses the run."""
        placement = self._find_placement(endpoint_id, task, run)
        if placement is not None and placement.fenced_ms is None:
            placement.fenced_ms = now_ms

    def advice_received(
        self,
        question: OpenQuestion,
        ticket_by_id: Mapping[str, str],
        valid_ms: int,
        asked_ms: int,
        now_ms: int,
    ) -> None:
        """Store the policy service's answer to a question that was put at a time.

        Endpoints without a ticket in ``ticket_by_id`` are denied.
        """
        self.advice_desk.close(now_ms, is_answered=True)
        self.decisions.record_answer(
            question.step,
            question.started_wall_ms_by_id,
            ticket_by_id,
            valid_ms,
            asked_ms,
            now_ms,
        )

    def advice_unanswered(self, now_ms: int) -> None:
        """Note that the policy service has not answered the open question."""
        self.advice_desk.close(now_ms, is_answered=False)

    def pace_unconfirmed(self, order: PaceTask) -> None:
        """Reset an unconfirmed pace, so that it is ordered again."""
        placement = self._find_placement(order.endpoint_id, order.task, order.run)
        if placement is not None:
            placement.pace_percent = FULL_PERCENT

    def _ticket_refused(self, unit: Unit, endpoint_id: str, now_ms: int) -> None:
        step = step_name(unit.key)
        if self.advice_terms_of(unit) is None:
            self.decisions.refused_without_ticket(unit.key.job_id, step)
        else:
            self.decisions.ticket_refused(step, endpoint_id, now_ms)

    def _withdraw_evacuated_starts(self, now_ms: int, wall_ms: int) -> None:
        """Withdraw unconfirmed starts on evacuated endpoints, each with its whole unit.

        A gang that lacks one of its members could not be completed.
        """
        if not self._is_withdrawal_due:
            return
        evacuated = [e for e in self.endpoint_by_id.values() if e.is_evacuated]
        for unit in units_to_withdraw(evacuated, self.unit_by_key):
            self._withdraw_starts(unit, "evacuated", now_ms, wall_ms)
        self._is_withdrawal_due = False

    def _repeat_stops(self, now_ms: int) -> None:
        if now_ms < self._next_stop_check_ms:
            return
        self._next_stop_check_ms = now_ms + STOP_CHECK_INTERVAL_MS
        for endpoint in self.endpoint_by_id.values():
            if not endpoint.is_reachable:
                continue
            for placement in endpoint.placement_by_task.values():
                is_due = now_ms >= placement.next_stop_ms
                if placement.stage is RunStage.STOPPING and is_due:
                    self._stop(placement, "still listed", now_ms)

    def _stop_on_departing(self, now_ms: int) -> None:
        for endpoint in list(self.endpoint_by_id.values()):
            for unit in units_to_move(endpoint, self.unit_by_key, now_ms):
                if may_be_stopped(unit, self.unit_by_key):
                    self._stop_placements(unit, "endpoint leaves", now_ms)

    def _drop_reservation(self, unit: Unit) -> None:
        self._planner.drop_reservation(unit)

    def _listing_applied(self, endpoint: Endpoint) -> None:
        self._planner.straggler_mover.listing_received(endpoint)
