"""Lifecycle of units: waiting, placed, ending, done or failed.

Changes are collected as actions. A record to persist comes before the orders that
depend on it.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from ..advice import UNSTATED_TERMS, AdviceTerms, PolicyDecisions, QuestionDesk
from .actions import (
    Action,
    AskAdvice,
    PersistEvidence,
    PersistUnit,
    ReportPlanningFault,
    StartTask,
    StopTask,
)
from .configuration import ServiceConfiguration
from .crashes import CrashTracker
from .endpoint import Endpoint
from .evacuation import Evacuations
from .job_table import Job, JobTable
from .listings import EndpointInfo, RunEnd
from .model import Resources, UnitKey, UnitPhase, step_name
from .records import EndpointForgotten, LeasesResumed, TermReport
from .speed import SpeedTracker
from .speed_records import SpeedRecorder
from .suspicion import SuspicionTracker
from .task_placement import RunStage, TaskPlacement
from .unit import JobTimes, Unit, job_times
from .unit_opening import UnitOpening

__all__ = ["UnitLifecycle"]

STOP_RETRY_MS = 500
"""Interval at which a stop is repeated, in case the order was lost."""

ADOPTED_FRESH_MS = 15_000
"""Age up to which a placement of an earlier term may have been started just before that
term ended. Without answers of the log a term ends after 9 s, and the next one begins
2 to 3 s later."""

GANG_TRIAL_MS = 300
"""Time for which the first member of a suspected gang runs before the others start. The
loss of an endpoint that crashes is noticed within a round trip; members wait for each
other for 3 s and more."""

PLANNING_FAULT_DELAY_MS = 5_000
"""Delay before a unit is planned again whose planning raised an unexpected error."""

WAITING_UNITS_MAX = 1_000
"""Units of one job that wait to be placed before further ones are opened. A plan passes
over all that wait; a service has about as many accelerators."""

OPENED_UNITS_MAX = 2_000
"""Units that one plan opens at most; opening one takes 12 microseconds."""

_TERMINAL_PHASES = frozenset({UnitPhase.DONE, UnitPhase.FAILED})


class UnitLifecycle:
    """Tracks the units that still have to run, and the endpoints that they occupy.

    ``unit_by_key`` holds all tracked units, and ``waiting`` those to be placed.
    ``next_due_wall_ms`` is when the next unit of any job is to be opened, if one is
    known. Of each job a limited number of units waits at a time, so that the cost of a
    plan or of a job's end does not depend on how many tasks and occurrences a job has.
    """

    def __init__(self, term: int, table: JobTable, configuration: ServiceConfiguration):
        self.term = term
        self.table = table
        self.configuration = configuration
        self.endpoint_by_id: dict[str, Endpoint] = {}
        self.unit_by_key: dict[UnitKey, Unit] = {}
        self.waiting: dict[UnitKey, Unit] = {}
        self.next_due_wall_ms: int | None = None
        self.decisions = PolicyDecisions()
        self.advice_desk = QuestionDesk()
        self._withdrawn_terms_by_queue: dict[str, AdviceTerms] = {}
        self._units_by_job_id: dict[str, dict[UnitKey, Unit]] = {}
        self.suspicion = SuspicionTracker(self.endpoint_by_id, self._units_by_job_id)
        self.speeds = SpeedTracker()
        self.speed_recorder = SpeedRecorder(table)
        self.crashes = CrashTracker(table, self.unit_by_key)
        self.evacuations = Evacuations()
        self._opening_by_job_id: dict[str, UnitOpening] = {}
        # The jobs of which units may be opened now or at a known time.
        self._partly_open_ids: dict[str, None] = {}
        self._waiting_count_by_job_id: Counter[str] = Counter()
        # Placements of suspected gangs whose starts wait for that of another member.
        self._held_by_key: dict[UnitKey, list[TaskPlacement]] = {}
        self._actions: list[Action] = []

    def adopt(self, now_ms: int, wall_ms: int) -> None:
        """Open the units of all jobs and adopt placements of earlier terms."""
        self.crashes.begin(wall_ms)
        for job in list(self.table.job_by_id.values()):
            self._adopt_placed(job, now_ms, wall_ms)
            self.job_changed(job.spec.id, now_ms, wall_ms)
        for report in self.table.report_by_holder.values():
            self.term_reported(report, now_ms, wall_ms)
        for unit in self.waiting.values():
            unit.adopt_wait(now_ms, wall_ms)

    def term_reported(
        self, report: TermReport, now_ms: int, wall_ms: int
    ) -> list[UnitKey]:
        """Take over the ends that an earlier holder saw; returns the units done by it.

        Only the newest run counts. One that this term has written about may be of
        another job with that id, whose records were deleted meanwhile.
        """
        done = []
        for key, run in report.done_runs:
            unit = self.unit_by_key.get(key)
            if (
                unit is not None
                and unit.phase in (UnitPhase.PLACED, UnitPhase.ENDING)
                and unit.record.run == run
                and unit.record.term <= report.term
                and not unit.step.is_long_running
            ):
                self._unit_done(unit, now_ms, wall_ms)
                self._drop_if_finished(unit)
                done.append(key)
        return done

    def job_changed(self, job_id: str, now_ms: int, wall_ms: int) -> None:
        """Open or stop the units of a job that was accepted or whose state changed."""
        job = self.table.job_by_id.get(job_id)
        if job is None:
            return
        if job.is_active:
            if job_id not in self._opening_by_job_id:
                self._opening_by_job_id[job_id] = UnitOpening(job)
            self._open_units(job, now_ms, wall_ms)
        else:
            self._end_job(job, now_ms)

    def configure(self, configuration: ServiceConfiguration) -> None:
        """Replace the configuration by a newer one."""
        self._keep_withdrawn_terms(configuration)
        self.configuration = configuration
        for unit_by_key in self._units_by_job_id.values():
            times = None
            for unit in unit_by_key.values():
                times = times or self._times_of(unit.job)
                unit.set_times(times)

    def _keep_withdrawn_terms(self, newer: ServiceConfiguration) -> None:
        """Keep the figures of policy services whose queues go while they have jobs."""
        known = self._withdrawn_terms_by_queue | {
            queue.name: queue.advice
            for queue in self.configuration.queues
            if queue.advice is not None
        }
        gone = {
            name: terms
            for name, terms in known.items()
            if name not in newer.queue_by_name
        }
        if gone:
            queues = {job.spec.queue for job in self.table.job_by_id.values()}
            gone = {name: terms for name, terms in gone.items() if name in queues}
        self._withdrawn_terms_by_queue = gone

    def place(
        self,
        unit: Unit,
        endpoints: list[Endpoint],
        now_ms: int,
        wall_ms: int,
        standing: tuple[float, float] | None = None,
    ) -> None:
        """Persist a unit's placement and order its starts.

        ``standing`` is the use and the fair share of its organisation, if known.
        """
        self.crashes.unit_placed(unit, now_ms)
        run = unit.record.run + 1
        record = replace(
            unit.record,
            term=self.term,
            phase=UnitPhase.PLACED,
            run=run,
            endpoints=tuple(endpoint.id for endpoint in endpoints),
            changed_wall_ms=wall_ms,
        )
        slack_ms = unit.latest_start_wall_ms - wall_ms
        self._persist(
            unit, record, "placed", slack_ms, unit.estimate_ms, standing=standing
        )
        unit.phase = UnitPhase.PLACED
        self._remove_waiting(unit)
        first_index = self.crashes.first_index(unit)
        for index, endpoint in enumerate(endpoints):
            placement = self._add_placement(unit, index, endpoint, now_ms)
            placement.stage = RunStage.ORDERED
            if first_index is None or index == first_index:
                self._order_start(unit, placement)
            else:
                self._held_by_key.setdefault(unit.key, []).append(placement)

    def stop_unit(
        self, unit: Unit, reason: str, now_ms: int, claimant: Unit | None = None
    ) -> None:
        """Stop a unit, which is requeued when its runs end; its checkpoint is kept.

        ``claimant`` is the unit that gets its room, if it is stopped for one.
        """
        job_id = claimant.key.job_id if claimant else ""
        self._stop_placements(unit, reason, now_ms, claimant_job_id=job_id)

    def move_unit(self, unit: Unit, now_ms: int, wall_ms: int) -> None:
        """Stop a unit that is to run elsewhere, and log that, so that it is counted."""
        self._persist_phase(unit, UnitPhase.ENDING, wall_ms, "moved")
        self._stop_placements(unit, "moved", now_ms)

    def report_planning_fault(self, unit: Unit, error: Exception, now_ms: int) -> None:
        """Delay a unit whose planning raised an unexpected error, and report it."""
        unit.not_before_ms = now_ms + PLANNING_FAULT_DELAY_MS
        self._actions.append(ReportPlanningFault(unit.key, error))

    def ask_advice(
        self, unit: Unit, endpoints: list[Endpoint], terms: AdviceTerms, now_ms: int
    ) -> None:
        """Ask the policy service which of these endpoints may run a unit's step."""
        step = step_name(unit.key)
        self.decisions.track(unit.key.job_id, step)
        started_wall_ms_by_id = {e.id: e.started_wall_ms for e in endpoints}
        question = self.advice_desk.open(step, started_wall_ms_by_id, terms, now_ms)
        self._actions.append(AskAdvice(question))

    def advice_terms_of(self, unit: Unit) -> AdviceTerms | None:
        """Return the figures of a unit's policy service; None if it needs no advice.

        The jobs of a queue go on under its policy if the queue is withdrawn, or no
        longer names a service. Where its figures are not known, the first start that is
        refused for want of a ticket shows that there is one.
        """
        name = unit.job.spec.queue
        queue = self.configuration.queue_by_name.get(name)
        if queue is not None and queue.advice is not None:
            return queue.advice
        if queue is None and name in self._withdrawn_terms_by_queue:
            return self._withdrawn_terms_by_queue[name]
        steps = self.decisions.steps_refused_without_ticket
        if steps and step_name(unit.key) in steps:
            return UNSTATED_TERMS
        return None

    def waiting_count(self, job_id: str) -> int:
        """Return how many units of a job wait to be placed."""
        return self._waiting_count_by_job_id[job_id]

    def service_of(self, unit: Unit) -> str:
        """Return the service on whose endpoints a unit runs."""
        spec = unit.job.spec
        queue = self.configuration.queue_by_name.get(spec.queue)
        return queue.service if queue else spec.service

    def take_actions(self) -> list[Action]:
        """Return the collected actions, oldest first, and clear them."""
        actions, self._actions = self._actions, []
        return actions

    # Jobs and their units.

    def _open_units(
        self, job: Job, now_ms: int, wall_ms: int, count_max: int = WAITING_UNITS_MAX
    ) -> int:
        """Open units of a job while few of them wait; returns how many were visited."""
        job_id = job.spec.id
        opening = self._opening_by_job_id[job_id]
        room = WAITING_UNITS_MAX - self._waiting_count_by_job_id[job_id]
        keys = opening.take(min(room, count_max), wall_ms) if room > 0 else []
        if keys:
            times = self._times_of(job)
            for key in keys:
                self._open_unit(job, key, times, now_ms)
        if opening.is_complete:
            self._partly_open_ids.pop(job_id, None)
        else:
            self._partly_open_ids[job_id] = None
        self._note_next_due(job_id, wall_ms)
        return len(keys)

    def _note_next_due(self, job_id: str, wall_ms: int) -> None:
        due_wall_ms = self._opening_by_job_id[job_id].next_due_wall_ms
        is_full = self._waiting_count_by_job_id[job_id] >= WAITING_UNITS_MAX
        if due_wall_ms is None or is_full:
            return
        due_wall_ms = max(due_wall_ms, wall_ms)
        if self.next_due_wall_ms is None or due_wall_ms < self.next_due_wall_ms:
            self.next_due_wall_ms = due_wall_ms

    def _open_due_units(self, now_ms: int, wall_ms: int) -> None:
        """Open further units of all jobs, up to a number that one plan bears."""
        count_left = OPENED_UNITS_MAX
        for job_id in list(self._partly_open_ids):
            if count_left <= 0:
                return
            job = self.table.job_by_id.get(job_id)
            if job is None or not job.is_active:
                self._forget_opening(job_id)
            else:
                count_left -= self._open_units(job, now_ms, wall_ms, count_left)

    def _find_next_due(self, wall_ms: int) -> None:
        """Find when the next unit is to be opened, once units have been placed."""
        self.next_due_wall_ms = None
        for job_id in self._partly_open_ids:
            self._note_next_due(job_id, wall_ms)

    def _forget_opening(self, job_id: str) -> None:
        self._opening_by_job_id.pop(job_id, None)
        self._partly_open_ids.pop(job_id, None)

    def _open_unit(self, job: Job, key: UnitKey, times: JobTimes, now_ms: int) -> None:
        if key in self.unit_by_key:
            return
        record = job.record_by_key.get(key)
        if record is not None and record.phase in _TERMINAL_PHASES:
            return
        self._add_waiting(self._add_unit(key, job, times, now_ms))

    def _add_unit(self, key: UnitKey, job: Job, times: JobTimes, now_ms: int) -> Unit:
        unit = self.unit_by_key[key] = Unit(key, job, now_ms)
        self._units_by_job_id.setdefault(key.job_id, {})[key] = unit
        unit.set_times(times)
        self.crashes.adopt(unit)
        return unit

    def _remove_unit(self, unit: Unit) -> None:
        if self.unit_by_key.pop(unit.key, None) is None:
            return
        job_id = unit.key.job_id
        unit_by_key = self._units_by_job_id[job_id]
        del unit_by_key[unit.key]
        if not unit_by_key:
            del self._units_by_job_id[job_id]
        self._remove_waiting(unit)

    def _add_waiting(self, unit: Unit) -> None:
        if unit.key not in self.waiting:
            self.waiting[unit.key] = unit
            self._waiting_count_by_job_id[unit.key.job_id] += 1

    def _remove_waiting(self, unit: Unit) -> None:
        if self.waiting.pop(unit.key, None) is None:
            return
        job_id = unit.key.job_id
        self._waiting_count_by_job_id[job_id] -= 1
        if not self._waiting_count_by_job_id[job_id]:
            del self._waiting_count_by_job_id[job_id]

    def _times_of(self, job: Job) -> JobTimes:
        queue = self.configuration.queue_by_name.get(job.spec.queue)
        return job_times(job, queue, self.table.calibration)

    def _end_job(self, job: Job, now_ms: int) -> None:
        job_id = job.spec.id
        self._forget_job(job_id, now_ms)
        state = job.state.value
        for unit in list(self._units_by_job_id.get(job_id, {}).values()):
            self._stop_placements(unit, f"job {state}", now_ms)
            self._drop_if_finished(unit)

    def _adopt_placed(self, job: Job, now_ms: int, wall_ms: int) -> None:
        if not job.occupying_by_key:
            return
        times = self._times_of(job)
        for key, record in list(job.occupying_by_key.items()):
            unit = self._add_unit(key, job, times, now_ms)
            unit.phase = record.phase
            for index, endpoint_id in enumerate(record.endpoints):
                if endpoint_id:
                    endpoint = self._endpoint_or_placeholder(endpoint_id)
                    placement = self._add_placement(unit, index, endpoint, now_ms)
                    placement.is_adopted = True
                    placement.is_located = not self._is_unlocated(placement)
                    placement.is_sent = True
                    age_ms = wall_ms - record.changed_wall_ms
                    is_known = endpoint.started_wall_ms != 0
                    # What the earlier term was stopping had begun well before, and its
                    # endpoint may leave for the reason of the stop.
                    is_ending = record.phase is UnitPhase.ENDING
                    placement.is_settled = (
                        is_ending
                        or age_ms > ADOPTED_FRESH_MS
                        or not is_known
                        or self._was_loss_judged(endpoint, unit)
                    )
            if not unit.placements:
                self._requeue(unit, now_ms, wall_ms)

    def _was_loss_judged(self, endpoint: Endpoint, unit: Unit) -> bool:
        """Whether an earlier term lost an endpoint and does not suspect a unit of that.

        The term wrote which units it suspects before it noted the end of leases there.
        """
        leases_end = self.table.leases_end_by_endpoint_id.get(endpoint.id)
        if leases_end is None or leases_end.term != self.term:
            return False
        suspected = {suspicion.incarnation for suspicion in unit.crashes.suspected}
        return endpoint.incarnation not in suspected

    def _is_unlocated(self, placement: TaskPlacement) -> bool:
        """Whether an earlier term could not tell in which incarnation a run may be."""
        leases_end = self.table.leases_end_by_endpoint_id.get(placement.endpoint_id)
        run = (placement.task, placement.run)
        return leases_end is not None and run in leases_end.unlocated_runs

    def _endpoint_or_placeholder(self, endpoint_id: str) -> Endpoint:
        endpoint = self.endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            observed = self.table.incarnation_by_endpoint_id.get(endpoint_id)
            address = observed.address if observed else ""
            info = EndpointInfo(endpoint_id, "", address, "", Resources())
            endpoint = self._add_endpoint(info)
            endpoint.is_in_store = False
        return endpoint

    def _add_endpoint(self, info: EndpointInfo) -> Endpoint:
        """Add an endpoint, in the incarnation in which an earlier term knew it."""
        endpoint = self.endpoint_by_id[info.id] = Endpoint(info)
        observed = self.table.incarnation_by_endpoint_id.get(info.id)
        if observed is not None:
            endpoint.started_wall_ms = observed.started_wall_ms
        self.evacuations.mark(endpoint)
        return endpoint

    def _drop_endpoint(self, endpoint_id: str) -> None:
        self.endpoint_by_id.pop(endpoint_id, None)
        self.crashes.forget_endpoint(endpoint_id)
        if endpoint_id in self.table.incarnation_by_endpoint_id:
            self._persist_evidence(EndpointForgotten(endpoint_id), "left")
        self.resume_leases(endpoint_id)

    def resume_leases(self, endpoint_id: str) -> None:
        """Note that an endpoint left, or that its leases may be extended again."""
        if endpoint_id in self.table.leases_end_by_endpoint_id:
            self._persist_evidence(LeasesResumed(endpoint_id), "leases resumed")

    def _persist_evidence(self, record, reason: str) -> None:
        self.table.apply(record)
        self._actions.append(PersistEvidence(record, reason))

    # Placements on endpoints.

    def can_stop_now(self, unit: Unit) -> bool:
        """Whether all endpoints of a unit answer.

        A stop on one that does not lasts until its leases have expired.
        """
        return all(
            self.endpoint_by_id[placement.endpoint_id].is_reachable
            for placement in unit.placements
        )

    def _find_placement(
        self, endpoint_id: str, task: str, run: int
    ) -> TaskPlacement | None:
        endpoint = self.endpoint_by_id.get(endpoint_id)
        placement = endpoint.placement_by_task.get(task) if endpoint else None
        return placement if placement is not None and placement.run == run else None

    def _add_placement(self, unit, index, endpoint, now_ms) -> TaskPlacement:
        placement = TaskPlacement(
            unit.key,
            index,
            unit.task(index),
            unit.record.run,
            endpoint.id,
            unit.step.occupied,
            now_ms,
        )
        endpoint.allocate(placement)
        unit.placements.append(placement)
        return placement

    def _order_start(self, unit: Unit, placement: TaskPlacement) -> None:
        endpoint = self.endpoint_by_id[placement.endpoint_id]
        ticket = self.decisions.ticket(
            step_name(unit.key), endpoint.id, endpoint.started_wall_ms
        )
        self._actions.append(
            StartTask(
                placement.endpoint_id,
                unit.key,
                placement.task,
                placement.run,
                unit.job.spec.text,
                unit.record.checkpoint,
                ticket,
            )
        )

    def _release_held_starts(self, now_ms: int, wall_ms: int) -> None:
        """Order the other starts of gangs whose first member has not crashed."""
        for key, held in list(self._held_by_key.items()):
            unit = self.unit_by_key.get(key)
            if unit is None or unit.phase is not UnitPhase.PLACED:
                del self._held_by_key[key]
                for placement in held:
                    # Never ordered, so that no listing would tell of its end.
                    if placement.stage is RunStage.ORDERED:
                        self._placement_ended(
                            placement, RunEnd.STOPPED, "", now_ms, wall_ms
                        )
                continue
            tried = [p for p in unit.placements if p not in held]
            if all(self._has_passed_trial(placement, now_ms) for placement in tried):
                del self._held_by_key[key]
                for placement in held:
                    self._order_start(unit, placement)

    def _has_passed_trial(self, placement: TaskPlacement, now_ms: int) -> bool:
        if placement.stage is not RunStage.RUNNING or placement.confirmed_ms is None:
            return False
        is_reachable = self.endpoint_by_id[placement.endpoint_id].is_reachable
        return is_reachable and now_ms - placement.confirmed_ms >= GANG_TRIAL_MS

    def _stop(
        self,
        placement: TaskPlacement,
        reason: str,
        now_ms: int,
        claimant_job_id: str = "",
    ) -> None:
        placement.stage = RunStage.STOPPING
        placement.next_stop_ms = now_ms + STOP_RETRY_MS
        self._actions.append(
            StopTask(
                placement.endpoint_id,
                placement.task,
                placement.run,
                reason,
                claimant_job_id,
            )
        )

    def _stop_placements(
        self,
        unit: Unit,
        reason: str,
        now_ms: int,
        except_placement: TaskPlacement | None = None,
        claimant_job_id: str = "",
    ) -> None:
        if unit.phase is UnitPhase.PLACED:
            unit.phase = UnitPhase.ENDING
        for placement in unit.placements:
            if (
                placement is not except_placement
                and placement.stage is not RunStage.STOPPING
            ):
                self._stop(placement, reason, now_ms, claimant_job_id)

    def _withdraw_starts(
        self, unit: Unit, reason: str, now_ms: int, wall_ms: int
    ) -> None:
        """Stop a unit; its starts that were never sent need no stop to be over."""
        self._held_by_key.pop(unit.key, None)
        unsent = [
            placement
            for placement in unit.placements
            if placement.stage is RunStage.ORDERED and not placement.is_sent
        ]
        unit.phase = UnitPhase.ENDING
        for placement in list(unit.placements):
            if placement in unsent:
                self._placement_ended(placement, RunEnd.STOPPED, "", now_ms, wall_ms)
            elif placement.stage is not RunStage.STOPPING:
                self._stop(placement, reason, now_ms)

    # Ends of runs and units.

    def _placement_ended(
        self,
        placement: TaskPlacement,
        end: RunEnd,
        checkpoint: str,
        now_ms: int,
        wall_ms: int,
        *,
        may_have_run: bool = True,
    ) -> None:
        """Release a placement whose run has ended, or was refused and never began."""
        endpoint = self.endpoint_by_id[placement.endpoint_id]
        endpoint.release(placement)
        self.speeds.run_ended(endpoint, placement, end is RunEnd.DONE, now_ms)
        unit = self.unit_by_key.get(placement.unit_key)
        if unit is None:
            return
        unit.placements.remove(placement)
        unit.has_begun |= may_have_run and placement.is_sent
        last_checkpoint = checkpoint or placement.checkpoint
        if end is RunEnd.DONE and not unit.step.is_long_running:
            self._unit_done(unit, now_ms, wall_ms)
        elif unit.phase in (UnitPhase.PLACED, UnitPhase.ENDING):
            self._run_interrupted(
                unit, end, last_checkpoint, placement, now_ms, wall_ms
            )
        self._drop_if_finished(unit)

    def _unit_done(self, unit: Unit, now_ms: int, wall_ms: int) -> None:
        if unit.phase in _TERMINAL_PHASES:
            return
        self._persist_phase(unit, UnitPhase.DONE, wall_ms, "done")
        unit.phase = UnitPhase.DONE
        self.crashes.forget_unit(unit)
        is_step_done = unit.job.is_step_done(unit.key.occurrence, unit.key.step)
        opening = self._opening_by_job_id.get(unit.key.job_id)
        if not unit.job.is_active:
            self._forget_job(unit.job.spec.id, now_ms)
        elif is_step_done and opening is not None:
            self.decisions.forget_step(unit.key.job_id, step_name(unit.key))
            opening.step_done(unit.key.occurrence, unit.key.step)
            self._open_units(unit.job, now_ms, wall_ms)
        if is_step_done:
            self.speeds.step_done(unit.key._replace(member=0), now_ms)

    def _run_interrupted(
        self, unit, end, checkpoint, placement, now_ms, wall_ms
    ) -> None:
        has_new_checkpoint = bool(checkpoint) and checkpoint != unit.record.checkpoint
        if has_new_checkpoint:
            unit.record = replace(unit.record, checkpoint=checkpoint)
        is_first_end = unit.record.phase is UnitPhase.PLACED
        is_failure = end is RunEnd.FAILED and unit.last_failed_run < unit.record.run
        if is_failure:
            unit.last_failed_run = unit.record.run
            failed_runs = unit.record.failed_runs + 1
            unit.record = replace(unit.record, failed_runs=failed_runs)
            unit.avoided_ids.add(placement.endpoint_id)
        if is_failure and self._has_exhausted_attempts(unit):
            self._persist_phase(
                unit,
                UnitPhase.FAILED,
                wall_ms,
                "attempts spent",
                placement.endpoint_id,
            )
            unit.phase = UnitPhase.FAILED
            self._end_job(unit.job, now_ms)
            return
        unit.phase = UnitPhase.ENDING
        if placement.confirmed_ms is not None:
            is_lapsed = end is RunEnd.LAPSED
            ended_ms = placement.listed_ms if is_lapsed else now_ms
            unit.waiting_since_ms = max(unit.waiting_since_ms, ended_ms)
        # A successor would wait for an endpoint that the newest record still names.
        is_endpoint_free = all(
            other.endpoint_id != placement.endpoint_id for other in unit.placements
        )
        if is_first_end or is_failure or has_new_checkpoint or is_endpoint_free:
            is_unbegun = not unit.placements and not unit.has_begun
            phase = UnitPhase.WAITING if is_unbegun else UnitPhase.ENDING
            self._persist_phase(unit, phase, wall_ms, end.value, placement.endpoint_id)
        if not unit.placements and unit.job.is_active:
            self._requeue(unit, now_ms, wall_ms)

    def _forget_job(self, job_id: str, now_ms: int) -> None:
        self._forget_opening(job_id)
        self.decisions.forget_job(job_id)
        self.suspicion.forget_job(job_id)
        self.crashes.forget_job(job_id)
        self.speeds.forget_job(job_id, now_ms)

    def _has_exhausted_attempts(self, unit: Unit) -> bool:
        if unit.step.is_long_running:
            return False
        return self.attempts_left(unit) <= 0

    def attempts_left(self, unit: Unit) -> int:
        """Return how many more of the unit's runs may fail before its job fails."""
        spec = unit.job.spec
        queue = self.configuration.queue_by_name.get(spec.queue)
        # A queue may be withdrawn while its jobs still run.
        attempts_max = queue.attempts_max if queue else spec.attempts_max
        return attempts_max - unit.record.failed_runs

    def _requeue(self, unit: Unit, now_ms: int, wall_ms: int) -> None:
        unit.phase = UnitPhase.WAITING
        unit.starving_from_ms = None
        self.crashes.hold(unit, now_ms, wall_ms)
        self._add_waiting(unit)

    def _drop_if_finished(self, unit: Unit) -> None:
        if unit.placements:
            return
        if unit.phase in _TERMINAL_PHASES or not unit.job.is_active:
            self._remove_unit(unit)
            self.crashes.forget_unit(unit)
            self._drop_reservation(unit)

    def _persist_phase(
        self,
        unit: Unit,
        phase: UnitPhase,
        wall_ms: int,
        reason: str,
        ended_on: str = "",
    ) -> None:
        endpoint_by_index = {
            placement.index: placement.endpoint_id for placement in unit.placements
        }
        is_terminal = phase in _TERMINAL_PHASES
        endpoints = (
            ()
            if is_terminal
            else tuple(endpoint_by_index.get(i, "") for i in range(unit.count))
        )
        record = replace(
            unit.record,
            term=self.term,
            phase=phase,
            endpoints=endpoints,
            changed_wall_ms=wall_ms,
        )
        self._persist(unit, record, reason, ended_on=ended_on)

    def _persist(
        self,
        unit: Unit,
        record,
        reason: str,
        slack_ms: int | None = None,
        estimate_ms: int | None = None,
        ended_on: str = "",
        standing: tuple[float, float] | None = None,
    ) -> None:
        unit.record = record
        unit.job.put_record(record)
        share, fair_share = standing or (None, None)
        self._actions.append(
            PersistUnit(
                record,
                reason,
                slack_ms,
                estimate_ms,
                unit.gpus,
                ended_on,
                share,
                fair_share,
            )
        )

    def _drop_reservation(self, unit: Unit) -> None:
        """Drop the reservation of a finished unit; overridden by the subclass."""
