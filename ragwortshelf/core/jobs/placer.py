"""The placer of one data centre: jobs of the log meet the workers."""

from __future__ import annotations

import heapq

from ..model import Configuration, JobPhase, JobSpec, NotRun, Reason
from ..placement import (
    Move,
    Place,
    Probe,
    Reclaim,
    Reject,
    Scheduler,
    fits_data_centre,
    home_data_centre,
)
from ..streams import (
    AttemptClaimed,
    AttemptEnded,
    AttemptStarted,
    JobAccepted,
    JobEnded,
    JobMoved,
)
from . import events
from .actions import (
    Action,
    AnswerSubmission,
    LogDecision,
    ObserveWorker,
    ReleaseLease,
)
from .book import JobBook
from .conclusion import conclude, end_without_attempt
from .entry import JobEntry
from .gang import Gang, Stage
from .label import LeaseLabel
from .members import canonical_grants
from .outbox import Outbox
from .overruns import OverrunRules
from .workers import WorkerTable

__all__ = ["PlacerMachine"]

REFUSED_RETRY_AFTER_MS = 2_000
ENDING_RECORDS = (AttemptEnded, JobEnded, JobMoved)


class PlacerMachine:
    """Deterministic machine: `handle` takes an event and returns actions.

    ``holder`` names this instance and its incarnation, so no other process ever
    speaks for the same leases. Each instance of a data centre runs a machine, and all
    of them fold the jobs stream into ``book``; only while it has the role of placer
    does a machine act. Two machines with the role at once cost work, never safety:
    workers arbitrate leases, and the log arbitrates claims.
    """

    def __init__(
        self,
        data_centre: str,
        holder: str,
        scheduler: Scheduler,
        book: JobBook | None = None,
    ) -> None:
        self.data_centre = data_centre
        self.holder = holder
        self.book = JobBook() if book is None else book
        self.is_placer = False
        self.is_log_up = False
        self.gang_by_id: dict[str, Gang] = {}
        self.outbox = Outbox()
        self._scheduler = scheduler
        self._workers = WorkerTable(scheduler)
        self._configuration = Configuration()
        self._off_log = JobBook()
        self._submitted_by_id: dict[str, JobSpec] = {}
        self._attempt_floor_by_id: dict[str, int] = {}
        self._stage_by_id: dict[str, Stage] = {}
        self._deadlines: list[tuple[int, str]] = []
        self._wall_offset_ms = 0
        self._overruns = OverrunRules()

    def handle(self, event: events.Event, now_ms: int) -> tuple[Action, ...]:
        """Take one event at ``now_ms`` and return what is to be done."""
        actions = _HANDLER_BY_TYPE[type(event)](self, event, now_ms)
        return tuple(actions)

    def entry(self, job_id: str) -> JobEntry | None:
        """Return the job as the log tells it, or as accepted while the log is down."""
        return self.book.get(job_id) or self._off_log.get(job_id)

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

    # Log, configuration and role

    def _record_read(self, event: events.RecordRead, now_ms: int) -> list[Action]:
        record = event.record
        entry = self.book.apply(record)
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
        entry = self.book.get(job_id) if job_id is not None else None
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
        for entry in self.book.active():
            self._scheduler.remove(entry.spec.job_id, now_ms)
        return actions

    def _log_reachable(self, event: events.LogReachable, now_ms: int) -> list[Action]:
        is_up = event.is_up and event.is_current
        if is_up == self.is_log_up:
            return []
        self.is_log_up = is_up
        if not is_up and self.outbox.is_empty:
            # The log knows all jobs that were accepted in earlier outages.
            self._off_log = JobBook()
        return self._sync_all(now_ms)

    def _sync_all(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        for entry in list(self.book.active()):
            actions += self._sync(entry, now_ms)
        return actions

    # One job

    def _sync(self, entry: JobEntry, now_ms: int) -> list[Action]:
        """Bring gang and scheduler in line with what the log says of a job."""
        if not self.is_placer and entry.spec.job_id not in self.gang_by_id:
            return []
        if entry.phase.is_final:
            return self._release_ended(entry, now_ms)
        if entry.home_data_centre != self.data_centre:
            return self._sync_elsewhere(entry, now_ms)
        if entry.is_open:
            return self._sync_open(entry, now_ms)
        return self._sync_waiting(entry, now_ms)

    def _sync_elsewhere(self, entry: JobEntry, now_ms: int) -> list[Action]:
        job_id = entry.spec.job_id
        self._scheduler.remove(job_id, now_ms)
        gang = self.gang_by_id.get(job_id)
        if gang is None:
            return []
        if gang.stage in (Stage.LEASING, Stage.CLAIMING):
            return self._follow(gang, gang.drop("the job moved away"), now_ms)
        if gang.claim.attempt <= entry.attempt:
            self._forget(job_id, now_ms)
            return gang.release()
        return []

    def _sync_open(self, entry: JobEntry, now_ms: int) -> list[Action]:
        job_id, claim = entry.spec.job_id, entry.claim
        gang = self.gang_by_id.get(job_id)
        is_same = gang is not None and (
            (gang.claim.attempt, gang.claim.holder) == (claim.attempt, claim.holder)
        )
        actions: list[Action] = []
        if gang is not None and not is_same:
            actions += gang.release()
            self._forget(job_id, now_ms)
        if not is_same:
            return actions + self._adopt_claim(entry, now_ms)
        if gang.stage is Stage.CLAIMING and entry.is_cancel_requested:
            ending = gang.end(Reason.CANCELLED, "", now_ms)
            return self._follow(gang, ending, now_ms)
        if gang.stage is Stage.CLAIMING:
            return self._follow(gang, gang.claim_won(now_ms), now_ms)
        return self._stop_if_cancelled(entry, now_ms)

    def _adopt_claim(self, entry: JobEntry, now_ms: int) -> list[Action]:
        """Take over an attempt that the log knows and this machine does not."""
        if not self.is_placer:
            return []
        is_running = entry.phase is JobPhase.STARTED
        gang = Gang(
            entry.spec,
            entry.claim,
            Stage.RUNNING if is_running else Stage.ADOPTING,
            now_ms,
            accepted_by=entry.accepted_by,
        )
        self._add_gang(gang, now_ms)
        self._scheduler.set_running(entry.spec, entry.claim.grants, now_ms)
        actions: list[Action] = [
            ObserveWorker(member.worker) for member in gang.members
        ]
        if not is_running and entry.claim.holder == self.holder:
            # We gave this attempt up before any start, and nobody else may start it.
            ending = gang.end(Reason.INSTANCE_LOST, "given up before start", now_ms)
            actions += self._follow(gang, ending, now_ms)
        return actions + self._stop_if_cancelled(entry, now_ms)

    def _sync_waiting(self, entry: JobEntry, now_ms: int) -> list[Action]:
        job_id = entry.spec.job_id
        gang = self.gang_by_id.get(job_id)
        actions: list[Action] = []
        if gang is not None and gang.claim.attempt <= entry.attempt:
            self._forget(job_id, now_ms)
            actions += gang.release()
            gang = None
        if gang is not None:
            return actions + self._stop_if_cancelled(entry, now_ms)
        if entry.is_cancel_requested:
            return actions + self._end_waiting(entry, Reason.CANCELLED, "", now_ms)
        if self.outbox.has_pending(job_id, JobEnded, JobMoved):
            return actions
        if not self.is_log_up:
            # Only the log can arbitrate the claim of a job that it holds.
            self._scheduler.remove(job_id, now_ms)
            return actions
        home = self._new_home(entry.spec)
        if home is not None:
            return actions + self._move(entry, home, Reason.NEVER_FITS, now_ms)
        if entry.spec.deadline_wall_ms is not None:
            item = (entry.spec.deadline_wall_ms, job_id)
            heapq.heappush(self._deadlines, item)
        self._scheduler.add_waiting(entry.spec, now_ms, entry.checkpoint)
        return actions

    def _stop_if_cancelled(self, entry: JobEntry, now_ms: int) -> list[Action]:
        gang = self.gang_by_id.get(entry.spec.job_id)
        if gang is None or not entry.is_cancel_requested:
            return []
        return self._stop(gang, Reason.CANCELLED, "", now_ms)

    def _stop(
        self, gang: Gang, reason: Reason, detail: str, now_ms: int
    ) -> list[Action]:
        """End a gang at any stage; without a claim there is nothing to prove."""
        if gang.stage is Stage.LEASING and not gang.is_off_log:
            actions = self._follow(gang, gang.drop(reason), now_ms)
            entry = self.entry(gang.spec.job_id)
            return actions + self._end_waiting(entry, reason, detail, now_ms)
        if gang.stage in (Stage.LEASING, Stage.CLAIMING):
            return []
        return self._follow(gang, gang.end(reason, detail, now_ms), now_ms)

    def _end_waiting(
        self, entry: JobEntry, reason: Reason, detail: str, now_ms: int
    ) -> list[Action]:
        job_id = entry.spec.job_id
        self._scheduler.remove(job_id, now_ms)
        record = end_without_attempt(entry, reason, detail, self._wall_ms(now_ms))
        self.outbox.set_pending(job_id, record, now_ms)
        return self._due(now_ms)

    def _release_ended(self, entry: JobEntry, now_ms: int) -> list[Action]:
        job_id = entry.spec.job_id
        self.outbox.drop(job_id, AttemptStarted, *ENDING_RECORDS)
        self._attempt_floor_by_id.pop(job_id, None)
        gang = self.gang_by_id.get(job_id)
        self._forget(job_id, now_ms)
        return [] if gang is None else gang.release()

    # Gangs

    def _add_gang(self, gang: Gang, now_ms: int) -> None:
        self.gang_by_id[gang.spec.job_id] = gang
        self._stage_by_id[gang.spec.job_id] = gang.stage

    def _forget(self, job_id: str, now_ms: int) -> None:
        self.gang_by_id.pop(job_id, None)
        self._stage_by_id.pop(job_id, None)
        self._scheduler.remove(job_id, now_ms)

    def _follow(self, gang: Gang, actions: list[Action], now_ms: int) -> list[Action]:
        """Act on a stage that the gang has come to."""
        job_id = gang.spec.job_id
        known = self._stage_by_id.get(job_id)
        if gang.stage is known or self.gang_by_id.get(job_id) is not gang:
            return actions
        self._stage_by_id[job_id] = gang.stage
        if gang.stage is Stage.DROPPED:
            return actions + self._dropped(gang, now_ms)
        if gang.stage is Stage.RUNNING:
            return actions + self._running(gang, now_ms)
        if gang.stage is Stage.CONCLUDED:
            return actions + self._concluded(gang, now_ms)
        return actions

    def _dropped(self, gang: Gang, now_ms: int) -> list[Action]:
        job_id = gang.spec.job_id
        del self.gang_by_id[job_id]
        del self._stage_by_id[job_id]
        self._attempt_floor_by_id[job_id] = gang.claim.attempt
        if self._submitted_by_id.pop(job_id, None) is not None:
            self._scheduler.remove(job_id, now_ms)
            refusal = NotRun(
                Reason.LOG_UNAVAILABLE, gang.detail, REFUSED_RETRY_AFTER_MS
            )
            return [AnswerSubmission(job_id, refusal)]
        entry = self.book.get(job_id)
        if entry is None:
            self._scheduler.remove(job_id, now_ms)
            return []
        self._scheduler.placement_failed(job_id, gang.blamed_worker or "", now_ms)
        if entry.is_waiting:
            return self._sync_waiting(entry, now_ms)
        return []

    def _running(self, gang: Gang, now_ms: int) -> list[Action]:
        job_id = gang.spec.job_id
        self._scheduler.set_running(gang.spec, gang.claim.grants, now_ms)
        answer = self._record_off_log(gang) if gang.is_off_log else []
        entry = self.entry(job_id)
        if entry is None or entry.phase is JobPhase.STARTED:
            return answer
        record = AttemptStarted(job_id, gang.claim.attempt, self._wall_ms(now_ms))
        if self.book.get(job_id) is None:
            self._off_log.apply(record)
            self.outbox.push_backlog(record)
        else:
            self.outbox.set_pending(job_id, record, now_ms)
        actions = answer + self._due(now_ms)
        if not self.is_placer:
            self._forget(job_id, now_ms)
        return actions + self._stop_if_cancelled(entry, now_ms)

    def _concluded(self, gang: Gang, now_ms: int) -> list[Action]:
        """Record what the proofs say; tell the scheduler how the tasks ended."""
        job_id = gang.spec.job_id
        actions: list[Action] = []
        if gang.is_off_log and self.entry(job_id) is None:
            if not gang.may_have_started:
                # Nobody was told that it is accepted, and it can start no more.
                return gang.release() + self._dropped(gang, now_ms)
            actions += self._record_off_log(gang)
        entry = self.book.get(job_id)
        if entry is None or self.outbox.has_pending(job_id, *ENDING_RECORDS):
            return actions
        record = conclude(gang, entry, self._configuration, self._wall_ms(now_ms))
        self.outbox.set_pending(job_id, record, now_ms)
        if record.reason in (Reason.TASK_FAILED, Reason.FAILS_EVERYWHERE):
            workers = (gang.blamed_worker,) if gang.blamed_worker else ()
            self._task_ended(gang, workers, False, now_ms)
        elif record.reason is Reason.TASK_SUCCEEDED:
            self._task_ended(gang, tuple(gang.member_by_worker), True, now_ms)
        return actions + self._due(now_ms)

    def _task_ended(self, gang, workers, succeeded: bool, now_ms: int) -> None:
        spec = gang.spec
        self._scheduler.task_ended(spec.job_id, spec.kind, workers, succeeded, now_ms)

    def _record_off_log(self, gang: Gang) -> list[Action]:
        """Accept a job that the log does not know and that may have started.

        Before that it is neither recorded nor accepted: whoever finds the leases of a
        group that never started can fence and forget it, whatever its submitter heard.
        """
        job_id = gang.spec.job_id
        if self.entry(job_id) is None:
            record = JobAccepted(gang.spec, gang.accepted_by, gang.claim)
            self._off_log.apply(record)
            self.outbox.push_backlog(record)
        if self._submitted_by_id.pop(job_id, None) is None:
            return []
        return [AnswerSubmission(job_id, None)]

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

    # Decisions

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

    def _due(self, now_ms: int) -> list[Action]:
        return list(self.outbox.due(now_ms)) if self.is_log_up else []

    def _wall_ms(self, now_ms: int) -> int:
        return now_ms + self._wall_offset_ms

    def _end_overdue(self, now_ms: int) -> list[Action]:
        """End waiting jobs whose deadline has passed."""
        actions: list[Action] = []
        wall_ms = self._wall_ms(now_ms)
        while self._deadlines and self._deadlines[0][0] <= wall_ms:
            entry = self.book.get(heapq.heappop(self._deadlines)[1])
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
        entry = self.book.get(job_id)
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
        entry = self.book.get(decision.job_id)
        if entry is None or not entry.is_waiting:
            return []
        home = self._new_home(entry.spec)
        if home is None:
            return self._end_waiting(entry, decision.reason, decision.detail, now_ms)
        return self._move(entry, home, decision.reason, now_ms)

    def _new_home(self, spec: JobSpec) -> str | None:
        """Return another data centre if the job fits there and cannot fit here."""
        here = self._configuration.data_centres_by_name.get(self.data_centre)
        if here is not None and fits_data_centre(spec, here):
            return None
        home = home_data_centre(spec, self._configuration)
        return None if home == self.data_centre else home

    def _move(
        self, entry: JobEntry, home: str, reason: Reason, now_ms: int
    ) -> list[Action]:
        job_id = entry.spec.job_id
        self._scheduler.remove(job_id, now_ms)
        record = JobMoved(job_id, entry.moves + 1, home, reason)
        self.outbox.set_pending(job_id, record, now_ms)
        return self._due(now_ms)

    def _probe(self, decision: Probe, now_ms: int) -> list[Action]:
        self._workers.probe(decision.worker)
        return [ObserveWorker(decision.worker)]

    # Workers

    def _workers_listed(self, event: events.WorkersListed, now_ms: int) -> list[Action]:
        return self._workers.listed(event.workers, now_ms) if event.workers else []

    def _worker_unreachable(
        self, event: events.WorkerUnreachable, now_ms: int
    ) -> list[Action]:
        self._workers.unreachable(event.worker, now_ms)
        return []

    def _worker_observed(
        self, event: events.WorkerObserved, now_ms: int
    ) -> list[Action]:
        report = event.report
        actions: list[Action] = []
        for job_id in dict.fromkeys(lease.job_id for lease in report.leases):
            gang = self.gang_by_id.get(job_id)
            if gang is not None and report.worker not in gang.member_by_worker:
                continue
            actions += self._job_observed(job_id, event, now_ms)
        for gang in list(self.gang_by_id.values()):
            if report.worker in gang.member_by_worker:
                observed = gang.observed(report, event.asked_ms, now_ms)
                actions += self._follow(gang, observed, now_ms)
        self._workers.observed(report, self.gang_by_id, now_ms)
        return actions

    def _job_observed(
        self, job_id: str, event: events.WorkerObserved, now_ms: int
    ) -> list[Action]:
        """Clean up leases that are over; adopt gangs that the log does not know."""
        actions: list[Action] = []
        entry = self.entry(job_id)
        for lease in event.report.leases:
            if lease.job_id != job_id or not self.is_placer:
                continue
            if self._is_over(lease, entry):
                release = ReleaseLease(event.report.worker, lease.lease_id)
                actions.append(release)
            elif entry is None and job_id not in self.gang_by_id:
                self._adopt_label(lease, now_ms)
        return actions

    def _is_over(self, lease, entry: JobEntry | None) -> bool:
        """Whether the log or ourselves have no more use for the lease."""
        if self.book.has_ended(lease.job_id):
            return True
        if entry is None or lease.job_id in self.gang_by_id:
            return False
        if entry.is_waiting and lease.attempt <= entry.attempt:
            return True
        floor = self._attempt_floor_by_id.get(lease.job_id, 0)
        return lease.holder == self.holder and entry.attempt < lease.attempt <= floor

    def _adopt_label(self, lease, now_ms: int) -> None:
        """Rebuild an attempt from a lease alone; the log may be down or behind."""
        label = self._workers.label(lease)
        if not isinstance(label, LeaseLabel):
            return
        is_running = lease.has_started and lease.is_live
        if not is_running and not label.is_off_log:
            return
        claim = AttemptClaimed(
            lease.job_id,
            lease.attempt,
            lease.holder,
            self.data_centre,
            label.grants,
            label.boot_ids,
            self._wall_ms(now_ms),
        )
        gang = Gang(
            label.spec,
            claim,
            Stage.ADOPTING,
            now_ms,
            accepted_by=label.accepted_by,
            is_off_log=label.is_off_log,
        )
        self._add_gang(gang, now_ms)
        self._scheduler.set_running(label.spec, label.grants, now_ms)

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
