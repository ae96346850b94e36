"""The gangs of a placer, from one stage to the next."""

from __future__ import annotations

from ..model import Configuration, JobPhase, JobSpec, NotRun, Reason
from ..placement import (
    Scheduler,
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
from .conclusion import conclude, end_without_attempt
from .entry import JobEntry
from .gang import Gang
from .ledger import JobLedger
from .outbox import Outbox
from .overruns import OverrunRules
from .stages import Stage
from .workers import WorkerTable

__all__ = ["ENDING_RECORDS", "REFUSED_RETRY_AFTER_MS", "GangTracker"]

REFUSED_RETRY_AFTER_MS = 2_000
ENDING_RECORDS = (AttemptEnded, JobEnded, JobMoved)


class GangTracker:
    """Keeps gangs and records what becomes of them.

    Subclasses bring gangs in line with the log and with the workers.
    """

    def __init__(
        self,
        data_centre: str,
        holder: str,
        scheduler: Scheduler,
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
        self._off_log = JobLedger()
        self._submitted_by_id: dict[str, JobSpec] = {}
        self._attempt_floor_by_id: dict[str, int] = {}
        self._stage_by_id: dict[str, Stage] = {}
        self._deadlines: list[tuple[int, str]] = []
        self._wall_offset_ms = 0
        self._overruns = OverrunRules()

    def entry(self, job_id: str) -> JobEntry | None:
        """Return the job as the log tells it, or as accepted while the log is down."""
        return self.ledger.get(job_id) or self._off_log.get(job_id)

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
        entry = self.ledger.get(job_id)
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
        if self.ledger.get(job_id) is None:
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
        entry = self.ledger.get(job_id)
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

    def _stop_if_cancelled(self, entry: JobEntry, now_ms: int) -> list[Action]:
        gang = self.gang_by_id.get(entry.spec.job_id)
        if gang is None or not entry.is_cancel_requested:
            return []
        return self._stop(gang, Reason.CANCELLED, "", now_ms)

    def _end_waiting(
        self, entry: JobEntry, reason: Reason, detail: str, now_ms: int
    ) -> list[Action]:
        job_id = entry.spec.job_id
        self._scheduler.remove(job_id, now_ms)
        record = end_without_attempt(entry, reason, detail, self._wall_ms(now_ms))
        self.outbox.set_pending(job_id, record, now_ms)
        return self._due(now_ms)

    def _due(self, now_ms: int) -> list[Action]:
        return list(self.outbox.due(now_ms)) if self.is_log_up else []

    def _wall_ms(self, now_ms: int) -> int:
        return now_ms + self._wall_offset_ms
