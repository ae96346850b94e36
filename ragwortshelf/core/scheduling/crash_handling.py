"""What lost contact with an endpoint, and its return, mean for the units on it."""

from __future__ import annotations

from .actions import ReportCrash
from .endpoint import Endpoint
from .lifecycle import UnitLifecycle
from .listings import RunEnd
from .model import Incarnation, UnitPhase
from .records import EndpointObserved
from .task_placement import TaskPlacement
from .unit import Unit

__all__ = ["CrashHandling"]


class CrashHandling(UnitLifecycle):
    """Resolves suspicions that a unit crashes endpoints, and gives such units up.

    `CrashTracker` holds the suspicions; here they are logged, and runs are ended.
    """

    def _contact_lost(self, endpoint: Endpoint, now_ms: int, wall_ms: int) -> None:
        for unit in self.crashes.contact_lost(endpoint, now_ms, wall_ms):
            self._persist_evidence(unit.crashes, "contact lost at its start")
            if self._held_by_key.pop(unit.key, None):
                self._stop_placements(unit, "endpoint of its trial lost", now_ms)

    def _start_refused(self, placement: TaskPlacement) -> None:
        endpoint = self.endpoint_by_id[placement.endpoint_id]
        unit = self.crashes.start_refused(endpoint, placement)
        if unit is not None:
            self._persist_evidence(unit.crashes, "start refused")

    def _observe(self, endpoint: Endpoint, now_ms: int, wall_ms: int) -> None:
        """Resolve suspicions by an endpoint that answers in its present incarnation.

        Endpoints that had its address before have ended, as have their runs.
        """
        present = endpoint.incarnation
        for other in list(self.endpoint_by_id.values()):
            if other is not endpoint and other.info.address == present.address:
                self._incarnation_ended(other, now_ms, wall_ms)
        for lost in self.crashes.suspected_incarnations():
            if lost == present:
                self._incarnation_returned(endpoint, now_ms, wall_ms)
            elif lost.endpoint_id == endpoint.id or lost.address == present.address:
                self._confirm_crash(lost, endpoint, now_ms, wall_ms)
        observed = self.table.incarnation_by_endpoint_id.get(endpoint.id)
        if observed != present or observed.address != present.address:
            self._persist_evidence(EndpointObserved(present), "observed")

    def _incarnation_ended(self, endpoint: Endpoint, now_ms: int, wall_ms: int) -> None:
        """End all runs of an endpoint whose address another one has now."""
        if not endpoint.placement_by_task:
            return
        self._contact_lost(endpoint, now_ms, wall_ms)
        for placement in endpoint.placements():
            self._placement_ended(placement, RunEnd.LAPSED, "", now_ms, wall_ms)

    def _incarnation_returned(
        self, endpoint: Endpoint, now_ms: int, wall_ms: int
    ) -> None:
        for placement in endpoint.placement_by_task.values():
            placement.is_suspected = False
        incarnation = endpoint.incarnation
        for unit in self.crashes.incarnation_returned(incarnation, now_ms, wall_ms):
            self._persist_evidence(unit.crashes, "endpoint had not crashed")

    def _confirm_crash(
        self, lost: Incarnation, endpoint: Endpoint, now_ms: int, wall_ms: int
    ) -> None:
        end = self.crashes.incarnation_ended(
            lost, endpoint.incarnation, now_ms, wall_ms
        )
        keys = tuple(unit.key for unit in end.suspects)
        self._actions.append(
            ReportCrash(lost.endpoint_id, end.is_replaced, end.has_other_cause, keys)
        )
        for unit in end.suspects:
            self._persist_evidence(unit.crashes, "endpoint crashed at its start")
            if self.crashes.must_be_given_up(unit):
                self._give_up(unit, lost.endpoint_id, now_ms, wall_ms)

    def _give_up(self, unit: Unit, endpoint_id: str, now_ms: int, wall_ms: int) -> None:
        """Fail a unit that crashes endpoints, and its job."""
        if not unit.job.is_active:
            # Another suspect of the same crash has failed the job.
            return
        self._persist_phase(
            unit, UnitPhase.FAILED, wall_ms, "crashes endpoints", endpoint_id
        )
        unit.phase = UnitPhase.FAILED
        self._end_job(unit.job, now_ms)

    def _run_settled(self, placement: TaskPlacement) -> None:
        placement.is_settled = True
        unit = self.crashes.run_settled(placement)
        if unit is not None:
            self._persist_evidence(unit.crashes, "start settled")
