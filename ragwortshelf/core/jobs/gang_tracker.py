"""The gangs of a placer, and the records that follow from their stages."""

from __future__ import annotations

from ..model import Configuration, JobPhase, JobSpec, NotRun, Reason
from ..placement import (
    DataCentreScheduler,
)
from ..streams import (
    AttemptEnded,
    AttemptStarted,
    JobAccepted,
    JobEnded,
    JobMoved,
)
from .actions import (
    Action,
    AnswerSubmission,
)
from .ending_records import ending_record, ending_record_for_waiting_job
from .gang import Gang
from .job_entry import JobEntry
from .ledger import JobLedger
from .outbox import Outbox
from .overruns import OverrunRules
from .stages import Stage
from .worker_table import WorkerTable

__all__ = ["ENDING_RECORD_TYPES", "REFUSED_RETRY_AFTER_MS", "GangTracker"]

REFUSED_RETRY_AFTER_MS = 2_000
ENDING_RECORD_TYPES = (AttemptEnded, JobEnded, JobMoved)


class GangTracker:
    """Holds the gangs of a placer and records their starts and ends in the log.

    Subclasses reconcile the gangs with the log and with the workers.
    ``_off_log_ledger`` holds jobs accepted while the log was down, and
    ``_unanswered_spec_by_id`` jobs submitted then whose submitter has no answer yet.
    ``_dropped_attempt_by_id`` is the last attempt of a job that this placer dropped;
    its number is not used again. ``_deadlines`` is a heap of wall-clock deadlines of
    waiting jobs.
    """

    def __init__(
        self,
        data_centre: str,
        holder: str,
        scheduler: DataCentreScheduler,
        ledger: JobLedger | None = None,
    ) -> None:
        self.data_centre = data_centre
        self.holder = holder
        self.ledger = JobLedger() if ledger is None else ledger
        self.is_placer = False
        self.is_log_up = False
        self.gang_by_id: dict[str, Gang] = {}
        self.outbox = Outbox()
        self._scheduler = scheduler
        self._workers = WorkerTable(scheduler)
        self._configuration = Configuration()
        self._off_log_ledger = JobLedger()
        self._unanswered_spec_by_id: dict[str, JobSpec] = {}
        self._dropped_attempt_by_id: dict[str, int] = {}
        self._handled_stage_by_id: dict[str, Stage] = {}
        self._deadlines: list[tuple[int, str]] = []
        self._wall_offset_ms = 0
        self._overrun_rules = OverrunRules()

    def entry(self, job_id: str) -> JobEntry | None:
        """Return the job's state in the log, or else as accepted off log.

        Return None if the job is known from neither.
        """
        return self.ledger.get(job_id) or self._off_log_ledger.get(job_id)

    def _add_gang(self, gang: Gang, now_ms: int) -> None:
        self.gang_by_id[gang.spec.job_id] = gang
        self._handled_stage_by_id[gang.spec.job_id] = gang.stage

    def _remove_gang(self, job_id: str, now_ms: int) -> None:
        self.gang_by_id.pop(job_id, None)
        self._handled_stage_by_id.pop(job_id, None)
        self._scheduler.remove(job_id, now_ms)

    def _handle_stage_change(
        self, gang: Gang, actions: list[Action], now_ms: int
    ) -> list[Action]:
        """Return ``actions`` and those that follow if the gang's stage has changed."""
        job_id = gang.spec.job_id
        handled_stage = self._handled_stage_by_id.get(job_id)
        if gang.stage is handled_stage or self.gang_by_id.get(job_id) is not gang:
            return actions
        self._handled_stage_by_id[job_id] = gang.stage
        if gang.stage is Stage.DROPPED:
            return actions + self._handle_dropped(gang, now_ms)
        if gang.stage is Stage.RUNNING:
            return actions + self._handle_running(gang, now_ms)
        if gang.stage is Stage.CONCLUDED:
            return actions + self._handle_concluded(gang, now_ms)
        return actions

    def _handle_dropped(self, gang: Gang, now_ms: int) -> list[Action]:
        job_id = gang.spec.job_id
        del self.gang_by_id[job_id]
        del self._handled_stage_by_id[job_id]
        self._dropped_attempt_by_id[job_id] = gang.claim.attempt
        if self._unanswered_spec_by_id.pop(job_id, None) is not None:
            self._scheduler.remove(job_id, now_ms)
            refusal = NotRun(
                Reason.LOG_UNAVAILABLE, gang.detail, REFUSED_RETRY_AFTER_MS
            )
            return [AnswerSubmission(job_id, refusal)]
        entry = self.ledger.get(job_id)
        if entry is None:
            self._scheduler.remove(job_id, now_ms)
            return []
        self._scheduler.placement_failed(job_id, gang.failed_worker or "", now_ms)
        if entry.is_waiting:
            return self._sync_waiting(entry, now_ms)
        return []

    def _handle_running(self, gang: Gang, now_ms: int) -> list[Action]:
        job_id = gang.spec.job_id
        self._scheduler.set_running(gang.spec, gang.claim.grants, now_ms)
        answer = self._record_off_log(gang) if gang.is_off_log else []
        entry = self.entry(job_id)
        if entry is None or entry.phase is JobPhase.STARTED:
            return answer
        record = AttemptStarted(job_id, gang.claim.attempt, self._wall_ms(now_ms))
        if self.ledger.get(job_id) is None:
            self._off_log_ledger.apply(record)
            self.outbox.push_backlog(record)
        else:
            self.outbox.set_pending(job_id, record, now_ms)
        actions = answer + self._due_appends(now_ms)
        if not self.is_placer:
            self._remove_gang(job_id, now_ms)
        return actions + self._stop_if_cancelled(entry, now_ms)

    def _handle_concluded(self, gang: Gang, now_ms: int) -> list[Action]:
        """Record how the attempt ended, and report it to the scheduler."""
        job_id = gang.spec.job_id
        actions: list[Action] = []
        if gang.is_off_log and self.entry(job_id) is None:
            if not gang.may_have_started:
                # The job can no longer start, and was never reported as accepted.
                return gang.release() + self._handle_dropped(gang, now_ms)
            actions += self._record_off_log(gang)
        entry = self.ledger.get(job_id)
        if entry is None or self.outbox.has_pending(job_id, *ENDING_RECORD_TYPES):
            return actions
        record = ending_record(gang, entry, self._configuration, self._wall_ms(now_ms))
        self.outbox.set_pending(job_id, record, now_ms)
        if record.reason in (Reason.TASK_FAILED, Reason.FAILS_EVERYWHERE):
            workers = (gang.failed_worker,) if gang.failed_worker else ()
            self._report_task_end(gang, workers, False, now_ms)
        elif record.reason is Reason.TASK_SUCCEEDED:
            self._report_task_end(gang, tuple(gang.member_by_worker), True, now_ms)
        return actions + self._due_appends(now_ms)

    def _report_task_end(self, gang, workers, succeeded: bool, now_ms: int) -> None:
        spec = gang.spec
        self._scheduler.task_ended(spec.job_id, spec.kind, workers, succeeded, now_ms)

    def _record_off_log(self, gang: Gang) -> list[Action]:
        """Record a job that the log lacks; accept it unless its submitter was answered.

        This is done only once a task may have started. A placer that finds the leases
        of a group without any start can therefore fence and forget the group: the job
        was never reported as accepted.
        """
        job_id = gang.spec.job_id
        if self.entry(job_id) is None:
            record = JobAccepted(gang.spec, gang.accepted_by, gang.claim)
            self._off_log_ledger.apply(record)
            self.outbox.push_backlog(record)
        if self._unanswered_spec_by_id.pop(job_id, None) is None:
            return []
        return [AnswerSubmission(job_id, None)]

    def _stop_gang(
        self, gang: Gang, reason: Reason, detail: str, now_ms: int
    ) -> list[Action]:
        """Stop a gang because its job ends.

        A gang that is still leasing is dropped without a fence, since it has no claim
        in the log and cannot have started. A gang that has appended its claim, or an
        off-log one that is leasing, is left to reach its next stage.
        """
        if gang.stage is Stage.LEASING and not gang.is_off_log:
            actions = self._handle_stage_change(gang, gang.drop(reason), now_ms)
            entry = self.entry(gang.spec.job_id)
            return actions + self._end_waiting(entry, reason, detail, now_ms)
        if gang.stage in (Stage.LEASING, Stage.CLAIMING):
            return []
        return self._handle_stage_change(gang, gang.end(reason, detail, now_ms), now_ms)

    def _stop_if_cancelled(self, entry: JobEntry, now_ms: int) -> list[Action]:
        gang = self.gang_by_id.get(entry.spec.job_id)
        if gang is None or not entry.is_cancel_requested:
            return []
        return self._stop_gang(gang, Reason.CANCELLED, "", now_ms)

    def _end_waiting(
        self, entry: JobEntry, reason: Reason, detail: str, now_ms: int
    ) -> list[Action]:
        job_id = entry.spec.job_id
        self._scheduler.remove(job_id, now_ms)
        record = ending_record_for_waiting_job(
            entry, reason, detail, self._wall_ms(now_ms)
        )
        self.outbox.set_pending(job_id, record, now_ms)
        return self._due_appends(now_ms)

    def _due_appends(self, now_ms: int) -> list[Action]:
        return list(self.outbox.due(now_ms)) if self.is_log_up else []

    def _wall_ms(self, now_ms: int) -> int:
        return now_ms + self._wall_offset_ms
