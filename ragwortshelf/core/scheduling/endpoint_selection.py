"""Selection of the endpoints on which a waiting unit can start now."""

from __future__ import annotations

from collections.abc import Callable

from .actions import ReservationHold, WaitCause
from .endpoint import Endpoint
from .free_room import FreeRoom
from .idle_services import IDLE_WAIT_MAX_MS, IdleServices
from .lifecycle import UnitLifecycle
from .model import step_name
from .packing import find_endpoints, is_eligible, rack_could_hold
from .reservations import UnitReservations
from .speed_belief import SpeedClass
from .speed_needs import is_too_slow, preferred_classes, speed_class, speed_needed
from .start_deadlines import StartDeadlines
from .unit import Unit

__all__ = ["EndpointSelector"]

PROOF_VALID_MS = 3_000
"""Age up to which a start that survived shows that an endpoint is sound."""

PROOF_WAIT_MS = 2_000
"""Time for which the last attempt of a unit waits for endpoints that are proven. On an
idle service nothing proves them, and work may stand still there for 3 s at most."""


TICKET_WAIT_SLACK_MS = 500
"""Time for which room is kept free for a start beyond the time that an answer takes."""


class EndpointSelector:
    """Finds room for units during one plan, which ``begin`` starts.

    ``usable`` are the endpoints on which new tasks may be placed now.
    """

    def __init__(
        self,
        scheduler: UnitLifecycle,
        reservations: UnitReservations,
        idle_services: IdleServices,
        deadlines: StartDeadlines,
    ):
        self._scheduler = scheduler
        self._reservations = reservations
        self._idle_services = idle_services
        self._deadlines = deadlines
        self.usable: list[Endpoint] = []
        self._free_room = FreeRoom(())
        self._eligible_by_need: dict[tuple[str, str], list[Endpoint]] = {}
        self._candidate_by_id_by_need: dict[tuple[str, str], dict[str, Endpoint]] = {}
        self._approved_by_step: dict[str, list[Endpoint]] = {}
        self._by_classes: dict[tuple, tuple[list[Endpoint], list[Endpoint]]] = {}
        self._now_ms = 0
        self._wall_ms = 0

    def begin(self, usable: list[Endpoint], now_ms: int, wall_ms: int) -> None:
        """Start a plan on these endpoints."""
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        self._by_classes.clear()
        self.usable = usable
        self._free_room = FreeRoom(usable)
        self._eligible_by_need.clear()
        self._candidate_by_id_by_need.clear()
        self._approved_by_step.clear()

    def room_changed(self, endpoints: list[Endpoint]) -> None:
        """Note that the free room of these endpoints has changed during the plan."""
        self._free_room.update(endpoints)

    def find_room(self, unit: Unit, *, on_slow: bool = True) -> list[Endpoint] | None:
        """Return an endpoint for each task of the unit, or None if they do not fit.

        Endpoints that are too slow for an urgent unit come last; without ``on_slow``
        they are left out. Where the policy service must approve the endpoints, they
        are approved, and those come first whose tickets are valid or asked for.
        """
        if not self._free_room.may_hold(unit.step, unit.count):
            return None
        if self._scheduler.advice_terms_of(unit) is None:
            return self._choose_warm(unit, self._candidates(unit), on_slow)
        approved = self.approved(unit)
        if not approved:
            return None
        eligible = None
        if unit.step.preferred_rack or unit.step.is_rack_sensitive:
            eligible = approved + self.undecided(unit)
        with_ticket = [e for e in approved if self._has_ticket(unit, e)]
        asked_ids = self._scheduler.advice_desk.asked_ids(step_name(unit.key))
        asked = [e for e in approved if e.id in asked_ids or self._has_ticket(unit, e)]
        tried_count = 0
        for group in (with_ticket, asked, approved):
            # Each group holds the one before.
            if len(group) > tried_count:
                tried_count = len(group)
                endpoints = self._choose_warm(unit, group, on_slow, eligible)
                if endpoints is not None:
                    return endpoints
        return None

    def _choose_warm(
        self,
        unit: Unit,
        candidates: list[Endpoint],
        on_slow: bool,
        eligible: list[Endpoint] | None = None,
    ) -> list[Endpoint] | None:
        if unit.priority == 0:
            warm = [e for e in candidates if not e.is_cold(self._now_ms)]
            if len(warm) < len(candidates):
                endpoints = self._choose(unit, warm, on_slow, eligible)
                if endpoints is not None:
                    return endpoints
        return self._choose(unit, candidates, on_slow, eligible)

    def _choose(
        self,
        unit: Unit,
        candidates: list[Endpoint],
        on_slow: bool,
        eligible: list[Endpoint] | None = None,
    ) -> list[Endpoint] | None:
        """Return the best of the candidates on which the unit fits, or None.

        ``eligible`` are the endpoints by which it is judged whether a rack could hold
        the unit, if these are not the candidates.
        """
        judged = eligible or candidates
        endpoints = None
        if unit.is_suspect:
            # Its start may cost the runs of others.
            empty = [e for e in candidates if not e.placement_by_task]
            return self._find_endpoints(unit, empty, judged) or self._find_endpoints(
                unit, candidates, eligible
            )
        if self._needs_proof(unit):
            return self._find_endpoints(unit, self._proven(candidates), judged)
        preference = preferred_classes(unit, self._wall_ms)[:-1]
        fast_enough = self.fast_enough(unit, candidates)
        if len(fast_enough) < len(candidates):
            preference += (frozenset(SpeedClass),)
        for classes in preference:
            alike = [
                e
                for e in self._of_classes(fast_enough, candidates, classes)
                if e.id not in unit.avoided_ids
            ]
            endpoints = self._find_endpoints(unit, alike, judged)
            if endpoints is not None:
                return endpoints
        if not on_slow and len(fast_enough) < len(candidates):
            return None
        if unit.avoided_ids:
            preferred = [e for e in candidates if e.id not in unit.avoided_ids]
            endpoints = self._find_endpoints(unit, preferred, eligible)
        if endpoints is None:
            endpoints = self._find_endpoints(unit, candidates, eligible)
        return endpoints

    def shape(self, unit: Unit) -> tuple:
        """Return what decides whether a unit fits; units of equal shape are tried once.

        A unit is tried by itself if the room for it is counted by its own step, or if
        it may use room that others may not.
        """
        step = unit.step
        is_counted_by_step = bool(step.tasks_per_endpoint_max)
        needs_advice = self._scheduler.advice_terms_of(unit) is not None
        is_alone = unit.is_suspect or self._reservations.is_held_by(unit)
        needs_rack = bool(step.preferred_rack) or step.is_rack_sensitive
        return (
            unit.job.spec.queue,
            unit.key if is_alone else None,
            unit.key[:3] if is_counted_by_step or needs_advice else None,
            step.occupied,
            unit.count,
            step.required_label,
            step.preferred_rack,
            step.is_rack_sensitive,
            step.tasks_per_endpoint_max,
            step.is_long_running,
            frozenset(unit.avoided_ids),
            self._needs_proof(unit),
            needs_rack and self._has_waited_for_rack(unit),
            self._is_overdue(unit),
        )

    def find_free_room(
        self, unit: Unit, is_wanted: Callable[[Endpoint], bool]
    ) -> list[Endpoint] | None:
        """Return room on wanted endpoints for a unit that runs now, or None.

        Only free room counts, and no advice is asked. There is none while reserved room
        is open, as that would be closed again once the unit has stopped.
        """
        if self._idle_services.is_open(self._scheduler.service_of(unit), self._now_ms):
            return None
        if not self._free_room.may_hold(unit.step, unit.count):
            return None
        eligible = self.reclaim_candidates(unit)
        wanted = [e for e in eligible if is_wanted(e) and e.id not in unit.avoided_ids]
        return self._find_endpoints(unit, wanted, eligible)

    def fast_enough(
        self, unit: Unit, candidates: list[Endpoint], delay_ms: int = 0
    ) -> list[Endpoint]:
        """Return the candidates that are not too slow for an urgent unit.

        All are returned for others, or if the unit is late on any endpoint.
        """
        needed = speed_needed(unit, self._wall_ms + delay_ms)
        if unit.priority > 0 or not 0 < needed < 1:
            return candidates
        return [e for e in candidates if not is_too_slow(e, needed)]

    def is_expected_late(self, unit: Unit, endpoints: list[Endpoint]) -> bool:
        """Whether a unit that could still be on time will likely be late on these."""
        needed = speed_needed(unit, self._wall_ms)
        if not 0 < needed < 1:
            return False
        return any(endpoint.speed < needed for endpoint in endpoints)

    def _of_classes(
        self,
        endpoints: list[Endpoint],
        candidates: list[Endpoint],
        classes: frozenset[SpeedClass],
    ) -> list[Endpoint]:
        """Return the endpoints of some classes; cached if they are all candidates."""
        if endpoints is not candidates:
            return [e for e in endpoints if speed_class(e) in classes]
        key = (id(candidates), classes)
        found = self._by_classes.get(key)
        if found is None or found[0] is not candidates:
            alike = [e for e in candidates if speed_class(e) in classes]
            found = self._by_classes[key] = (candidates, alike)
        return found[1]

    def _needs_proof(self, unit: Unit) -> bool:
        """Whether a unit waits for endpoints on which a recent start has survived.

        This holds for the last attempt of a unit that failed at once before. It does
        not wait for long, since few endpoints may start anything.
        """
        if not unit.quick_failure_count or self._scheduler.attempts_left(unit) > 1:
            return False
        return self._now_ms - unit.waiting_since_ms < PROOF_WAIT_MS

    def _proven(self, candidates: list[Endpoint]) -> list[Endpoint]:
        oldest_ms = self._now_ms - PROOF_VALID_MS
        return [
            e
            for e in candidates
            if e.has_proven_start(oldest_ms) and not e.is_suspected
        ]

    def _candidates(self, unit: Unit) -> list[Endpoint]:
        """Return the usable endpoints of the unit's service that have its label."""
        service = self._scheduler.service_of(unit)
        need = (service, unit.step.required_label)
        eligible = self._eligible_by_need.get(need)
        if eligible is None:
            eligible = [e for e in self.usable if is_eligible(e, unit.step, service)]
            self._eligible_by_need[need] = eligible
        return eligible

    def _candidate_by_id(self, unit: Unit) -> dict[str, Endpoint]:
        need = (self._scheduler.service_of(unit), unit.step.required_label)
        candidate_by_id = self._candidate_by_id_by_need.get(need)
        if candidate_by_id is None:
            candidate_by_id = {e.id: e for e in self._candidates(unit)}
            self._candidate_by_id_by_need[need] = candidate_by_id
        return candidate_by_id

    def is_closed_idle_service(self, unit: Unit) -> bool:
        """Whether a unit's service is idle, and its reserved room is not open now."""
        if self.idle_since_ms(unit) is None:
            return False
        service = self._scheduler.service_of(unit)
        return not self._idle_services.is_open(service, self._now_ms)

    def idle_since_ms(self, unit: Unit) -> int | None:
        """Return since when a unit's service counts as idle; None if it does not."""
        return self._idle_services.since_ms(self._scheduler.service_of(unit))

    def holds_against(self, unit: Unit) -> tuple[ReservationHold, ...]:
        """Return the reservations that keep a unit out of reserved room."""
        return self._reservations.holds_against(unit)

    def approved(self, unit: Unit) -> list[Endpoint]:
        """Return the usable endpoints that the policy service allows the unit."""
        step = step_name(unit.key)
        approved = self._approved_by_step.get(step)
        if approved is None:
            candidate_by_id = self._candidate_by_id(unit)
            approved = []
            for endpoint_id, started_wall_ms in self._scheduler.decisions.approved(
                step
            ):
                endpoint = candidate_by_id.get(endpoint_id)
                if endpoint and endpoint.started_wall_ms == started_wall_ms:
                    approved.append(endpoint)
            self._approved_by_step[step] = approved
        return approved

    def undecided(self, unit: Unit) -> list[Endpoint]:
        """Return the usable endpoints about which the policy service was not asked."""
        step = step_name(unit.key)
        is_approved = self._scheduler.decisions.is_approved
        return [
            e
            for e in self._candidates(unit)
            if is_approved(step, e.id, e.started_wall_ms) is None
        ]

    def may_fit(self, unit: Unit) -> bool:
        """Whether a unit may fit into free room, wherever it is allowed to run."""
        return self._free_room.may_hold(unit.step, unit.count)

    def has_tickets(self, unit: Unit, endpoints: list[Endpoint]) -> bool:
        """Whether a unit may be started on these endpoints now."""
        if self._scheduler.advice_terms_of(unit) is None:
            return True
        return all(self._has_ticket(unit, endpoint) for endpoint in endpoints)

    def ticket_wait_ms(self, unit: Unit, endpoints: list[Endpoint]) -> int:
        """Return how long a question about these endpoints and their start take."""
        terms = self._scheduler.advice_terms_of(unit)
        answer_ms = terms.answer_ms(len(set(endpoints))) if terms else 0
        return answer_ms + TICKET_WAIT_SLACK_MS

    def _has_ticket(self, unit: Unit, endpoint: Endpoint) -> bool:
        return self._scheduler.decisions.has_ticket(
            step_name(unit.key), endpoint.id, endpoint.started_wall_ms, self._now_ms
        )

    def reclaim_candidates(self, unit: Unit) -> list[Endpoint]:
        """Return the endpoints on which room may be made for a unit.

        An approval is enough, as tickets are asked for once there is room.
        """
        if self._scheduler.advice_terms_of(unit) is None:
            candidates = self._candidates(unit)
        else:
            candidates = self.approved(unit)
        return [e for e in candidates if not e.is_suspected]

    def _find_endpoints(
        self,
        unit: Unit,
        candidates: list[Endpoint],
        eligible: list[Endpoint] | None = None,
    ) -> list[Endpoint] | None:
        """Return a candidate for each task, or None if the tasks do not fit.

        Whether a rack could hold the tasks at all is judged by ``eligible``, if that is
        given, of which the candidates are a part.
        """
        needed = unit.step.occupied

        def slots(endpoint: Endpoint) -> int:
            return self.slots(unit, endpoint)

        step = unit.step
        may_leave = True
        if step.preferred_rack or step.is_rack_sensitive:
            may_leave = not rack_could_hold(step, unit.count, eligible or candidates)
        if not may_leave:
            may_leave = self._has_waited_for_rack(unit)
        with_room = [e for e in candidates if e.free_gpus >= needed.gpus]
        return find_endpoints(
            step,
            unit.count,
            with_room,
            slots,
            self._free_room.free_gpus_by_rack,
            may_leave_rack=may_leave,
        )

    def slots(
        self,
        unit: Unit,
        endpoint: Endpoint,
        *,
        heeds_suspicions: bool = True,
        heeds_reservations: bool = True,
    ) -> int:
        """Return how many tasks of a unit may be placed on an endpoint now."""
        if heeds_suspicions:
            if endpoint.is_suspected and not self._may_try_out(endpoint, unit):
                return 0
            if not self._scheduler.crashes.may_share(endpoint, unit):
                return 0
        if endpoint.is_overcommitted:
            return 0
        needed = unit.step.occupied
        if heeds_reservations and len(self._reservations):
            fits = needed.times_in(self._reservations.room(endpoint, unit))
        else:
            fits = endpoint.slots(needed)
        cap = unit.step.tasks_per_endpoint_max
        if cap:
            fits = min(fits, cap - self._count_same_step(endpoint, unit))
        if heeds_suspicions and endpoint.is_suspected:
            fits = min(fits, 1)
        return max(0, fits)

    def misfit_cause(self, unit: Unit) -> WaitCause:
        """Return what keeps a unit from the free room, after a plan left it waiting.

        The rules are left out one after the other until the unit fits.
        """
        candidates = self._candidates(unit)
        terms = self._scheduler.advice_terms_of(unit)
        if terms is not None:
            approved = self.approved(unit)
            if candidates and not approved:
                is_denied = not self.undecided(unit)
                return WaitCause.ADVICE_DENIED if is_denied else WaitCause.ADVICE
            candidates = approved
        endpoints = self._find_endpoints(unit, candidates)
        if endpoints is not None:
            if self.has_tickets(unit, endpoints):
                return WaitCause.READY
            is_late = terms.is_too_slow_for(len(set(endpoints)))
            return WaitCause.ADVICE_LATE if is_late else WaitCause.ADVICE
        heeded = {"heeds_suspicions": True, "heeds_reservations": True}
        if self._fits_on_any_rack(unit, candidates, **heeded):
            return WaitCause.RACK
        heeded["heeds_reservations"] = False
        if self._fits_on_any_rack(unit, candidates, **heeded):
            return WaitCause.RESERVED
        heeded["heeds_suspicions"] = False
        if self._fits_on_any_rack(unit, candidates, **heeded):
            return WaitCause.ENDPOINTS
        return WaitCause.NO_ROOM

    def _fits_on_any_rack(
        self, unit: Unit, candidates: list[Endpoint], **heeded: bool
    ) -> bool:
        slots = sum(self.slots(unit, endpoint, **heeded) for endpoint in candidates)
        return slots >= unit.count

    def _may_try_out(self, endpoint: Endpoint, unit: Unit) -> bool:
        """Whether a unit may be the one run that shows whether starts survive again."""
        can_fail = unit.step.is_long_running or self._scheduler.attempts_left(unit) > 1
        return unit.count == 1 and can_fail and not endpoint.is_on_trial()

    def _is_overdue(self, unit: Unit) -> bool:
        return self._deadlines.is_overdue(unit, self._scheduler.service_of(unit))

    def _has_waited_for_rack(self, unit: Unit) -> bool:
        if self._is_overdue(unit):
            return True
        waited_ms = self._now_ms - unit.waiting_since_ms
        if unit.step.is_long_running:
            # The platform judges its waits alike however full the service is.
            return waited_ms >= IDLE_WAIT_MAX_MS
        idle_since_ms = self.idle_since_ms(unit)
        if idle_since_ms is not None:
            idle_ms = self._now_ms - idle_since_ms
            if min(waited_ms, idle_ms) >= IDLE_WAIT_MAX_MS:
                return True
        if unit.step.is_rack_sensitive:
            return False
        # Away from its data a task takes longer by the platform's `remote_factor`;
        # waiting for twice its estimate costs as much.
        return waited_ms > 2 * unit.estimate_ms

    def _count_same_step(self, endpoint: Endpoint, unit: Unit) -> int:
        key = unit.key[:3]
        return sum(
            placement.unit_key[:3] == key
            for placement in endpoint.placement_by_task.values()
        )
