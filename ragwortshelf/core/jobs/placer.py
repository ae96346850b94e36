"""The placer of one data centre: jobs of the log meet the workers."""

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
from .adoption import WorkerSync
from .gang import Gang
from .ledger import JobLedger
from .members import canonical_grants
from .overruns import OverrunRules
from .stages import Stage
from .tracker import ENDING_RECORDS, REFUSED_RETRY_AFTER_MS

__all__ = ["PlacerMachine"]


class PlacerMachine(WorkerSync):
    """Deterministic machine: `handle` takes an event and returns actions.

    ``holder`` names this instance and its incarnation, so no other process ever
    speaks for the same leases. Each instance of a data centre runs a machine, and all
    of them fold the jobs stream into ``ledger``; only while it has the role of placer
    does a machine act. Two machines with the role at once cost work, never safety:
    workers arbitrate leases, and the log arbitrates claims.
    """

    def handle(self, event: events.Event, now_ms: int) -> tuple[Action, ...]:
        """Take one event at ``now_ms`` and return what is to be done."""
        actions = _HANDLER_BY_TYPE[type(event)](self, event, now_ms)
        return tuple(actions)

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Return when the scheduler wants a `Tick`, None if it does not."""
        return self._scheduler.next_wakeup_ms(now_ms)

    @property
    def is_idle(self) -> bool:
        """Whether a planned stop may go on: nothing is half-made or unrecorded."""
        is_settled = all(
            gang.stage is Stage.RUNNING for gang in self.gang_by_id.values()
        )
        return is_settled and self.outbox.is_empty

    def _record_read(self, event: events.RecordRead, now_ms: int) -> list[Action]:
        record = event.record
        entry = self.ledger.apply(record)
        if isinstance(record, JobAccepted):
            job_id = record.spec.job_id
        else:
            job_id = getattr(record, "job_id", None)
        if entry is None:
            return self._record_without_effect(job_id, record, now_ms)
        if isinstance(record, ENDING_RECORDS):
            self.outbox.drop(job_id, *ENDING_RECORDS)
        if isinstance(record, AttemptStarted):
            self.outbox.drop(job_id, AttemptStarted)
        return self._sync(entry, now_ms)

    def _record_without_effect(self, job_id, record, now_ms: int) -> list[Action]:
        """Another record came first; what we had on its way may be void."""
        entry = self.ledger.get(job_id) if job_id is not None else None
        if entry is None:
            return []
        self.outbox.drop(job_id, type(record))
        gang = self.gang_by_id.get(job_id)
        if gang is not None and record == gang.claim and entry.claim != record:
            if gang.stage is not Stage.CLAIMING:
                return []
            return self._follow(gang, gang.drop("another claim came first"), now_ms)
        if isinstance(record, ENDING_RECORDS) and not entry.phase.is_final:
            return self._sync(entry, now_ms)
        return []

    def _configuration_changed(
        self, event: events.ConfigurationChanged, now_ms: int
    ) -> list[Action]:
        self._configuration = event.configuration
        self._overruns = OverrunRules.of(event.configuration)
        lines = self._scheduler.set_configuration(event.configuration, now_ms)
        actions = [LogDecision(line) for line in lines or ()]
        return actions + self._sync_all(now_ms)

    def _role_changed(self, event: events.RoleChanged, now_ms: int) -> list[Action]:
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
                actions += self._follow(gang, gang.drop("role lost"), now_ms)
            elif gang.stage is Stage.STARTING or job_id in self._submitted_by_id:
                continue
            else:
                self._forget(job_id, now_ms)
        for entry in self.ledger.active():
            self._scheduler.remove(entry.spec.job_id, now_ms)
        return actions

    def _log_reachable(self, event: events.LogReachable, now_ms: int) -> list[Action]:
        is_up = event.is_up and event.is_current
        if is_up == self.is_log_up:
            return []
        self.is_log_up = is_up
        if not is_up and self.outbox.is_empty:
            # The log knows all jobs that were accepted in earlier outages.
            self._off_log = JobLedger()
        return self._sync_all(now_ms)

    def _gang_answered(self, event, now_ms: int) -> list[Action]:
        """Hand an answer to its gang; a lease without one is let go."""
        action = event.action
        is_lease = isinstance(event, events.LeaseAnswered)
        source = action.request if is_lease else action
        gang = self.gang_by_id.get(source.job_id)
        if gang is None or gang.claim.attempt != source.attempt:
            if is_lease and event.verdict is not events.Verdict.DENIED:
                return [ReleaseLease(action.worker, source.lease_id)]
            return []
        if action.worker not in gang.member_by_worker:
            return []
        method = _GANG_METHOD_BY_TYPE[type(event)]
        return self._follow(gang, method(gang, event, now_ms), now_ms)

    def _renew_answered(self, event: events.RenewAnswered, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        for lease_id in event.action.lease_ids:
            job_id = lease_id.rsplit("/", 2)[0]
            gang = self.gang_by_id.get(job_id)
            if gang is not None:
                actions += gang.renewed(event, now_ms)
        return list(dict.fromkeys(actions))

    def _append_answered(
        self, event: events.AppendAnswered, now_ms: int
    ) -> list[Action]:
        record = event.action.record
        if isinstance(record, AttemptClaimed):
            gang = self.gang_by_id.get(record.job_id)
            if gang is not None and gang.claim == record:
                gang.claim_appended(event.verdict is events.Verdict.APPLIED, now_ms)
            return []
        self.outbox.answered(event.action, event.verdict, now_ms)
        return self._due(now_ms)

    def _tick(self, event: events.Tick, now_ms: int) -> list[Action]:
        self._wall_offset_ms = event.wall_ms - now_ms
        actions: list[Action] = []
        for job_id, gang in list(self.gang_by_id.items()):
            if gang.stage is Stage.CONCLUDED:
                actions += self._concluded(gang, now_ms)
            else:
                actions += self._follow(gang, gang.tick(now_ms), now_ms)
                actions += self._enforce_rules(job_id, now_ms)
        actions += self._workers.renewals(self.gang_by_id.values(), now_ms)
        if self.is_placer:
            actions += self._end_overdue(now_ms)
            actions += self._decide(now_ms)
        return actions + self._due(now_ms)

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
        detail = self._overruns.stop_reason(gang, now_ms)
        if detail is not None:
            return self._stop(gang, Reason.OVER_DECLARED, detail, now_ms)
        return self._overruns.throttles(gang, now_ms)

    def _usage_observed(self, event: events.UsageObserved, now_ms: int) -> list[Action]:
        for report in event.reports:
            gang = self.gang_by_id.get(report.job_id)
            if gang is not None and gang.claim.attempt == report.attempt:
                gang.peak_memory_bytes = max(
                    gang.peak_memory_bytes, report.peak_memory_bytes
                )
        return []

    def _decide(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        for decision in self._scheduler.decide(now_ms):
            actions.append(LogDecision(decision.decision))
            actions += _DECISION_BY_TYPE[type(decision)](self, decision, now_ms)
        return actions

    def _place(self, place: Place, now_ms: int) -> list[Action]:
        job_id = place.spec.job_id
        entry = self.ledger.get(job_id)
        is_off_log = job_id in self._submitted_by_id
        is_placeable = is_off_log or (
            self.is_log_up and entry is not None and entry.is_waiting
        )
        boot_ids = self._workers.boot_ids(place.grants)
        if job_id in self.gang_by_id:
            return []
        if not is_placeable or boot_ids is None:
            self._scheduler.placement_failed(job_id, "", now_ms)
            return []
        newest = 0 if entry is None else entry.attempt
        attempt = max(newest, self._attempt_floor_by_id.get(job_id, 0)) + 1
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
        return self._follow(gang, gang.tick(now_ms), now_ms)

    def _reclaim(self, decision: Reclaim | Move, now_ms: int) -> list[Action]:
        gang = self.gang_by_id.get(decision.job_id)
        if gang is None:
            return []
        detail = f"for {decision.for_job_id}"
        actions = gang.checkpoint(
            decision.deadline_ms, Reason.RECLAIMED, detail, now_ms
        )
        return self._follow(gang, actions, now_ms)

    def _reject(self, decision: Reject, now_ms: int) -> list[Action]:
        """End a job that can never run here, or move it to where it can."""
        entry = self.ledger.get(decision.job_id)
        if entry is None or not entry.is_waiting:
            return []
        home = self._new_home(entry.spec)
        if home is None:
            return self._end_waiting(entry, decision.reason, decision.detail, now_ms)
        return self._move(entry, home, decision.reason, now_ms)

    def _probe(self, decision: Probe, now_ms: int) -> list[Action]:
        self._workers.probe(decision.worker)
        return [ObserveWorker(decision.worker)]

    def _submitted_off_log(
        self, event: events.JobSubmittedOffLog, now_ms: int
    ) -> list[Action]:
        spec = event.spec
        refusal = None
        if not self.is_placer:
            refusal = "the log is down and this instance is not the placer"
        elif self.entry(spec.job_id) is not None:
            return [AnswerSubmission(spec.job_id, None)]
        else:
            self._submitted_by_id[spec.job_id] = spec
            self._scheduler.add_waiting(spec, now_ms)
            actions = self._decide(now_ms)
            if spec.job_id in self.gang_by_id:
                return actions
            del self._submitted_by_id[spec.job_id]
            self._scheduler.remove(spec.job_id, now_ms)
            refusal = "the log is down and no place is free at once"
            not_run = NotRun(Reason.LOG_UNAVAILABLE, refusal, REFUSED_RETRY_AFTER_MS)
            return [*actions, AnswerSubmission(spec.job_id, not_run)]
        not_run = NotRun(Reason.LOG_UNAVAILABLE, refusal, REFUSED_RETRY_AFTER_MS)
        return [AnswerSubmission(spec.job_id, not_run)]


_GANG_METHOD_BY_TYPE = {
    events.LeaseAnswered: Gang.lease_answered,
    events.StartAnswered: Gang.start_answered,
    events.CommandAnswered: Gang.command_answered,
    events.FenceAnswered: Gang.fence_answered,
}

_DECISION_BY_TYPE = {
    Place: PlacerMachine._place,
    Reclaim: PlacerMachine._reclaim,
    Move: PlacerMachine._reclaim,
    Reject: PlacerMachine._reject,
    Probe: PlacerMachine._probe,
}

_HANDLER_BY_TYPE = {
    events.AppendAnswered: PlacerMachine._append_answered,
    events.CommandAnswered: PlacerMachine._gang_answered,
    events.ConfigurationChanged: PlacerMachine._configuration_changed,
    events.FenceAnswered: PlacerMachine._gang_answered,
    events.JobSubmittedOffLog: PlacerMachine._submitted_off_log,
    events.LeaseAnswered: PlacerMachine._gang_answered,
    events.LogReachable: PlacerMachine._log_reachable,
    events.RecordRead: PlacerMachine._record_read,
    events.RenewAnswered: PlacerMachine._renew_answered,
    events.RoleChanged: PlacerMachine._role_changed,
    events.StartAnswered: PlacerMachine._gang_answered,
    events.Tick: PlacerMachine._tick,
    events.UsageObserved: PlacerMachine._usage_observed,
    events.WorkerObserved: PlacerMachine._worker_observed,
    events.WorkerUnreachable: PlacerMachine._worker_unreachable,
    events.WorkersListed: PlacerMachine._workers_listed,
}
