"""Placer of one data centre, which places the jobs of the log on workers."""

from __future__ import annotations

import heapq

from ..model import NotRun, Reason
from ..placement import (
    Move,
    Place,
    Probe,
    Reclaim,
    Reject,
)
from ..streams import (
    AttemptClaimed,
    AttemptStarted,
    JobAccepted,
)
from . import events
from .actions import (
    Action,
    AnswerSubmission,
    LogDecision,
    ObserveWorker,
    ReleaseLease,
)
from .gang import Gang
from .gang_tracker import ENDING_RECORD_TYPES, REFUSED_RETRY_AFTER_MS
from .ledger import JobLedger
from .members import canonical_grants
from .overruns import OverrunRules
from .stages import Stage
from .worker_reconciliation import WorkerReconciliation

__all__ = ["PlacerMachine"]


class PlacerMachine(WorkerReconciliation):
    """Deterministic state machine: `handle` takes an event and returns actions.

    ``holder`` names this instance and its incarnation, so no other process ever uses
    the same leases. Each instance of a data centre runs such a machine, and all of them
    fold the jobs stream into ``ledger``; a machine places jobs only while it has the
    role of placer. Two machines with the role at the same time waste work, but remain
    safe, because workers arbitrate leases and the log arbitrates claims.
    """

    def handle(self, event: events.Event, now_ms: int) -> tuple[Action, ...]:
        """Handle one event at ``now_ms`` and return the actions to execute."""
        actions = _HANDLER_BY_TYPE[type(event)](self, event, now_ms)
        return tuple(actions)

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Return when the scheduler needs the next `Tick`, None if it needs none."""
        return self._scheduler.next_wakeup_ms(now_ms)

    @property
    def is_settled(self) -> bool:
        """Whether every gang is running and no record waits to be appended.

        A planned stop may proceed then.
        """
        is_all_running = all(
            gang.stage is Stage.RUNNING for gang in self.gang_by_id.values()
        )
        return is_all_running and self.outbox.is_empty

    def _handle_record(self, event: events.RecordRead, now_ms: int) -> list[Action]:
        record = event.record
        entry = self.ledger.apply(record)
        if isinstance(record, JobAccepted):
            job_id = record.spec.job_id
        else:
            job_id = getattr(record, "job_id", None)
        if entry is None:
            return self._handle_ineffective_record(job_id, record, now_ms)
        if isinstance(record, ENDING_RECORD_TYPES):
            self.outbox.drop(job_id, *ENDING_RECORD_TYPES)
        if isinstance(record, AttemptStarted):
            self.outbox.drop(job_id, AttemptStarted)
        return self._sync_job(entry, now_ms)

    def _handle_ineffective_record(self, job_id, record, now_ms: int) -> list[Action]:
        """Handle a record that changed nothing because of an earlier record.

        A pending record or claim of this placer may be void for the same reason.
        """
        entry = self.ledger.get(job_id) if job_id is not None else None
        if entry is None:
            return []
        self.outbox.drop(job_id, type(record))
        gang = self.gang_by_id.get(job_id)
        if gang is not None and record == gang.claim and entry.claim != record:
            if gang.stage is not Stage.CLAIMING:
                return []
            return self._handle_stage_change(
                gang, gang.drop("another claim came first"), now_ms
            )
        if isinstance(record, ENDING_RECORD_TYPES) and not entry.phase.is_final:
            return self._sync_job(entry, now_ms)
        return []

    def _handle_configuration(
        self, event: events.ConfigurationChanged, now_ms: int
    ) -> list[Action]:
        self._configuration = event.configuration
        self._overrun_rules = OverrunRules.from_configuration(event.configuration)
        lines = self._scheduler.set_configuration(event.configuration, now_ms)
        actions = [LogDecision(line) for line in lines or ()]
        return actions + self._sync_all(now_ms)

    def _handle_role(self, event: events.RoleChanged, now_ms: int) -> list[Action]:
        if event.is_placer == self.is_placer:
            return []
        self.is_placer = event.is_placer
        if event.is_placer:
            actions: list[Action] = [
                ObserveWorker(worker) for worker in self._workers.names
            ]
            return actions + self._sync_all(now_ms)
        actions = []
        for job_id, gang in list(self.gang_by_id.items()):
            if gang.stage in (Stage.LEASING, Stage.CLAIMING):
                actions += self._handle_stage_change(
                    gang, gang.drop("role lost"), now_ms
                )
            elif gang.stage is Stage.STARTING or job_id in self._unanswered_spec_by_id:
                continue
            else:
                self._remove_gang(job_id, now_ms)
        for entry in self.ledger.active():
            self._scheduler.remove(entry.spec.job_id, now_ms)
        return actions

    def _handle_log_reachable(
        self, event: events.LogReachable, now_ms: int
    ) -> list[Action]:
        is_up = event.is_up and event.is_current
        if is_up == self.is_log_up:
            return []
        self.is_log_up = is_up
        if not is_up and self.outbox.is_empty:
            # The log holds all jobs that were accepted in earlier outages.
            self._off_log_ledger = JobLedger()
        return self._sync_all(now_ms)

    def _handle_gang_answer(self, event, now_ms: int) -> list[Action]:
        """Pass an answer to its gang; release a lease that has no gang any more."""
        action = event.action
        is_lease = isinstance(event, events.LeaseAnswered)
        source = action.request if is_lease else action
        gang = self.gang_by_id.get(source.job_id)
        if gang is None or gang.claim.attempt != source.attempt:
            if is_lease and event.result is not events.ActionResult.DENIED:
                return [ReleaseLease(action.worker, source.lease_id)]
            return []
        if action.worker not in gang.member_by_worker:
            return []
        method = _GANG_METHOD_BY_TYPE[type(event)]
        return self._handle_stage_change(gang, method(gang, event, now_ms), now_ms)

    def _handle_renewal_answer(
        self, event: events.RenewAnswered, now_ms: int
    ) -> list[Action]:
        actions: list[Action] = []
        for lease_id in event.action.lease_ids:
            job_id = lease_id.rsplit("/", 2)[0]
            gang = self.gang_by_id.get(job_id)
            if gang is not None:
                actions += gang.handle_renewal(event, now_ms)
        return list(dict.fromkeys(actions))

    def _handle_append_answer(
        self, event: events.AppendAnswered, now_ms: int
    ) -> list[Action]:
        record = event.action.record
        if isinstance(record, AttemptClaimed):
            gang = self.gang_by_id.get(record.job_id)
            if gang is not None and gang.claim == record:
                gang.handle_claim_append(
                    event.result is events.ActionResult.APPLIED, now_ms
                )
            return []
        self.outbox.handle_answer(event.action, event.result, now_ms)
        return self._due_appends(now_ms)

    def _handle_tick(self, event: events.Tick, now_ms: int) -> list[Action]:
        self._wall_offset_ms = event.wall_ms - now_ms
        actions: list[Action] = []
        for job_id, gang in list(self.gang_by_id.items()):
            if gang.stage is Stage.CONCLUDED:
                actions += self._handle_concluded(gang, now_ms)
            else:
                actions += self._handle_stage_change(gang, gang.tick(now_ms), now_ms)
                actions += self._enforce_rules(job_id, now_ms)
        actions += self._workers.renewals(self.gang_by_id.values(), now_ms)
        if self.is_placer:
            actions += self._end_overdue(now_ms)
            actions += self._run_scheduler(now_ms)
        return actions + self._due_appends(now_ms)

    def _end_overdue(self, now_ms: int) -> list[Action]:
        """End waiting jobs whose deadline has passed."""
        actions: list[Action] = []
        wall_ms = self._wall_ms(now_ms)
        while self._deadlines and self._deadlines[0][0] <= wall_ms:
            entry = self.ledger.get(heapq.heappop(self._deadlines)[1])
            if entry is None or not entry.is_waiting:
                continue
            if entry.spec.job_id in self.gang_by_id:
                continue
            if entry.home_data_centre != self.data_centre:
                continue
            actions += self._end_waiting(entry, Reason.DEADLINE_PASSED, "", now_ms)
        return actions

    def _enforce_rules(self, job_id: str, now_ms: int) -> list[Action]:
        gang = self.gang_by_id.get(job_id)
        if gang is None or gang.stage is not Stage.RUNNING:
            return []
        detail = self._overrun_rules.stop_reason(gang, now_ms)
        if detail is not None:
            return self._stop_gang(gang, Reason.OVER_DECLARED, detail, now_ms)
        return self._overrun_rules.throttle_actions(gang, now_ms)

    def _handle_usage(self, event: events.UsageObserved, now_ms: int) -> list[Action]:
        for report in event.reports:
            gang = self.gang_by_id.get(report.job_id)
            if gang is not None and gang.claim.attempt == report.attempt:
                gang.peak_memory_bytes = max(
                    gang.peak_memory_bytes, report.peak_memory_bytes
                )
        return []

    def _run_scheduler(self, now_ms: int) -> list[Action]:
        """Log and execute the actions that the scheduler requests now."""
        actions: list[Action] = []
        for request in self._scheduler.decide(now_ms):
            actions.append(LogDecision(request.decision))
            actions += _METHOD_BY_REQUEST_TYPE[type(request)](self, request, now_ms)
        return actions

    def _place(self, place: Place, now_ms: int) -> list[Action]:
        job_id = place.spec.job_id
        entry = self.ledger.get(job_id)
        is_off_log = job_id in self._unanswered_spec_by_id
        is_placeable = is_off_log or (
            self.is_log_up and entry is not None and entry.is_waiting
        )
        boot_ids = self._workers.boot_ids(place.grants)
        if job_id in self.gang_by_id:
            return []
        if not is_placeable or boot_ids is None:
            self._scheduler.placement_failed(job_id, "", now_ms)
            return []
        newest_attempt = 0 if entry is None else entry.attempt
        attempt = max(newest_attempt, self._dropped_attempt_by_id.get(job_id, 0)) + 1
        claim = AttemptClaimed(
            job_id,
            attempt,
            self.holder,
            self.data_centre,
            canonical_grants(place.grants),
            boot_ids,
            self._wall_ms(now_ms),
        )
        gang = Gang(
            place.spec,
            claim,
            Stage.LEASING,
            now_ms,
            accepted_by=self.holder if entry is None else entry.accepted_by,
            is_off_log=is_off_log,
            resume_from=0 if entry is None else entry.checkpoint,
        )
        self._add_gang(gang, now_ms)
        return self._handle_stage_change(gang, gang.tick(now_ms), now_ms)

    def _reclaim(self, reclaim: Reclaim | Move, now_ms: int) -> list[Action]:
        gang = self.gang_by_id.get(reclaim.job_id)
        if gang is None:
            return []
        detail = f"for {reclaim.for_job_id}"
        actions = gang.begin_checkpoint(
            reclaim.deadline_ms, Reason.RECLAIMED, detail, now_ms
        )
        return self._handle_stage_change(gang, actions, now_ms)

    def _reject(self, reject: Reject, now_ms: int) -> list[Action]:
        """Move a job that can never run here to where it fits, or end it."""
        entry = self.ledger.get(reject.job_id)
        if entry is None or not entry.is_waiting:
            return []
        home = self._new_home(entry.spec)
        if home is None:
            return self._end_waiting(entry, reject.reason, reject.detail, now_ms)
        return self._move(entry, home, reject.reason, now_ms)

    def _probe(self, probe: Probe, now_ms: int) -> list[Action]:
        self._workers.start_probe(probe.worker)
        return [ObserveWorker(probe.worker)]

    def _handle_off_log_submission(
        self, event: events.JobSubmittedOffLog, now_ms: int
    ) -> list[Action]:
        spec = event.spec
        detail = None
        if not self.is_placer:
            detail = "the log is down and this instance is not the placer"
        elif self.entry(spec.job_id) is not None:
            return [AnswerSubmission(spec.job_id, None)]
        else:
            self._unanswered_spec_by_id[spec.job_id] = spec
            self._scheduler.add_waiting(spec, now_ms)
            actions = self._run_scheduler(now_ms)
            if spec.job_id in self.gang_by_id:
                return actions
            del self._unanswered_spec_by_id[spec.job_id]
            self._scheduler.remove(spec.job_id, now_ms)
            detail = "the log is down and no place is free at once"
            refusal = NotRun(Reason.LOG_UNAVAILABLE, detail, REFUSED_RETRY_AFTER_MS)
            return [*actions, AnswerSubmission(spec.job_id, refusal)]
        refusal = NotRun(Reason.LOG_UNAVAILABLE, detail, REFUSED_RETRY_AFTER_MS)
        return [AnswerSubmission(spec.job_id, refusal)]


_GANG_METHOD_BY_TYPE = {
    events.LeaseAnswered: Gang.handle_lease_answer,
    events.StartAnswered: Gang.handle_start_answer,
    events.CommandAnswered: Gang.handle_command_answer,
    events.FenceAnswered: Gang.handle_fence_answer,
}

_METHOD_BY_REQUEST_TYPE = {
    Place: PlacerMachine._place,
    Reclaim: PlacerMachine._reclaim,
    Move: PlacerMachine._reclaim,
    Reject: PlacerMachine._reject,
    Probe: PlacerMachine._probe,
}

_HANDLER_BY_TYPE = {
    events.AppendAnswered: PlacerMachine._handle_append_answer,
    events.CommandAnswered: PlacerMachine._handle_gang_answer,
    events.ConfigurationChanged: PlacerMachine._handle_configuration,
    events.FenceAnswered: PlacerMachine._handle_gang_answer,
    events.JobSubmittedOffLog: PlacerMachine._handle_off_log_submission,
    events.LeaseAnswered: PlacerMachine._handle_gang_answer,
    events.LogReachable: PlacerMachine._handle_log_reachable,
    events.RecordRead: PlacerMachine._handle_record,
    events.RenewAnswered: PlacerMachine._handle_renewal_answer,
    events.RoleChanged: PlacerMachine._handle_role,
    events.StartAnswered: PlacerMachine._handle_gang_answer,
    events.Tick: PlacerMachine._handle_tick,
    events.UsageObserved: PlacerMachine._handle_usage,
    events.WorkerObserved: PlacerMachine._handle_worker_observed,
    events.WorkerUnreachable: PlacerMachine._handle_worker_unreachable,
    events.WorkersListed: PlacerMachine._handle_workers_listed,
}
